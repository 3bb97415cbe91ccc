//! Flows of one backend server, and the number of requests that wait for a response.

use std::time::Duration;

use lavenderseam_core::time::Instant;

use super::Settings;
use crate::flow::{Flow, FlowMap};
use crate::segment::Segment;

/// Time constant of the exponentially weighted mean of pending requests.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// State of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FlowState {
    /// The SYN was delivered; holds the initial sequence number of the backend server once it has
    /// answered.
    SynReceived(Option<u32>),
    /// The caller has acknowledged the SYN of the backend server.
    Established,
    /// Both ends have closed the flow, or one has reset it.
    Closed,
}

/// Outcome of a pending request, with the time since the request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The backend server has sent the first data of its response.
    Answered(Duration),
    /// The backend server has ended the flow without a response.
    Aborted(Duration),
}

/// State of one flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowEntry {
    /// State of the flow.
    pub(crate) state: FlowState,
    /// Time since which a request has been waiting for its response; `None` if no request is
    /// pending.
    pending_since: Option<Instant>,
    /// Sequence number after the caller's last data; `None` if the caller has sent no data.
    request_end: Option<u32>,
    /// End of the caller's data that the backend server had acknowledged when it last sent data;
    /// `None` if it has sent none.
    answered_end: Option<u32>,
    /// Next sequence number of the backend server; `None` if it isn't known.
    backend_next_sequence: Option<u32>,
    last_used: Instant,
    caller_fin: bool,
    backend_fin: bool,
    /// `true` if another run of the backend server has become known since the flow was admitted, and no
    /// packet of that run has shown that it holds the flow.
    pub(crate) may_be_lost: bool,
}

/// Flows of one backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowTracker {
    table: FlowMap<FlowEntry>,
    pending: u32,
    mean_pending: f32,
    mean_updated_at: Instant,
}

impl FlowTracker {
    /// Returns the entry of a flow.
    pub(crate) fn get(&self, flow: Flow) -> Option<&FlowEntry> {
        self.table.get(&flow)
    }

    /// Adds a newly admitted flow, which counts as a pending request until its first response.
    pub(crate) fn admit(&mut self, flow: Flow, now: Instant) {
        self.remove(flow, now);
        self.update_mean(now);
        self.pending += 1;
        let entry = FlowEntry {
            state: FlowState::SynReceived(None),
            pending_since: Some(now),
            request_end: None,
            answered_end: None,
            backend_next_sequence: None,
            last_used: now,
            caller_fin: false,
            backend_fin: false,
            may_be_lost: false,
        };
        self.table.insert(flow, entry);
    }

    /// Adds a flow that the backend server holds, as a segment that it sent shows.
    pub(crate) fn insert_existing(&mut self, segment: &Segment, now: Instant) {
        // A SYN with ACK doesn't show whether the caller will continue the flow at this target.
        let state = if segment.flags.syn {
            FlowState::SynReceived(Some(segment.sequence))
        } else {
            FlowState::Established
        };
        let entry = FlowEntry {
            state,
            pending_since: None,
            request_end: None,
            answered_end: None,
            backend_next_sequence: None,
            last_used: now,
            caller_fin: false,
            backend_fin: false,
            may_be_lost: false,
        };
        self.table.entry(segment.flow).or_insert(entry);
    }

    /// Updates a flow with a segment from the caller.
    pub(crate) fn on_caller_segment(&mut self, segment: &Segment, now: Instant) {
        self.update_mean(now);
        let Some(entry) = self.table.get_mut(&segment.flow) else {
            return;
        };
        entry.last_used = now;
        if !segment.is_syn() && matches!(entry.state, FlowState::SynReceived(_)) {
            entry.state = FlowState::Established;
        }
        // A retransmitted request may cross its response and won't be answered a second time. An
        // agent that has restarted knows of the response only from the backend server's packets.
        let is_request =
            segment.has_new_data(entry.request_end) && segment.has_new_data(entry.answered_end);
        if entry.state == FlowState::Established && is_request {
            entry.request_end = Some(segment.payload_end());
            // The flow may already count as a pending request because of its SYN.
            if entry.pending_since.replace(now).is_none() {
                self.pending += 1;
            }
        }
        entry.caller_fin |= segment.flags.fin;
        if segment.flags.rst {
            entry.state = FlowState::Closed;
        }
        self.close_if_ended(segment.flow);
    }

    /// Updates a flow with a segment from the backend server; returns the outcome of the pending
    /// request, if the segment ends it.
    pub(crate) fn on_backend_segment(
        &mut self,
        segment: &Segment,
        now: Instant,
    ) -> Option<RequestOutcome> {
        self.update_mean(now);
        let entry = self.table.get_mut(&segment.flow)?;
        entry.last_used = now;
        entry.may_be_lost = false;
        if segment.flags.syn && matches!(entry.state, FlowState::SynReceived(_)) {
            entry.state = FlowState::SynReceived(Some(segment.sequence));
        }
        if segment.payload_length > 0 && segment.flags.ack {
            entry.answered_end = Some(segment.acknowledgment);
        }
        let mut reply = None;
        if let Some(since) = entry.pending_since {
            let elapsed = now.since(since);
            if segment.payload_length > 0 {
                reply = Some(RequestOutcome::Answered(elapsed));
            } else if entry.is_aborted_by(segment) {
                reply = Some(RequestOutcome::Aborted(elapsed));
            }
        }
        if reply.is_some() {
            entry.pending_since = None;
            self.pending = self.pending.saturating_sub(1);
        }
        entry.backend_next_sequence = segment.next_sequence(entry.backend_next_sequence);
        entry.backend_fin |= segment.flags.fin;
        if segment.flags.rst {
            entry.state = FlowState::Closed;
        }
        self.close_if_ended(segment.flow);
        reply
    }

    /// Removes a flow.
    pub(crate) fn remove(&mut self, flow: Flow, now: Instant) {
        self.update_mean(now);
        if let Some(entry) = self.table.remove(&flow)
            && entry.pending_since.is_some()
        {
            self.pending = self.pending.saturating_sub(1);
        }
    }

    /// Removes all flows and returns those that were established.
    ///
    /// The caller of a half-open flow may have continued it at another target, so such flows are
    /// left out.
    pub(crate) fn clear(&mut self, now: Instant) -> Vec<Flow> {
        self.update_mean(now);
        self.pending = 0;
        let table = std::mem::take(&mut self.table);
        let established = table
            .into_iter()
            .filter(|(_, entry)| entry.state == FlowState::Established);
        established.map(|(flow, _)| flow).collect()
    }

    /// Handles another run of the backend server, which may hold some of the flows: it may have accepted
    /// them before its first heartbeat. The requests of the others will never be answered, so none counts
    /// as pending.
    pub(crate) fn on_other_run(&mut self, now: Instant) {
        self.update_mean(now);
        self.pending = 0;
        for entry in self.table.values_mut() {
            entry.pending_since = None;
            entry.may_be_lost = true;
        }
    }

    /// Removes flows whose timeout has elapsed, and stops counting requests that have been pending
    /// for too long; returns the number of established flows that were removed.
    pub(crate) fn expire(&mut self, settings: &Settings, now: Instant) -> usize {
        self.update_mean(now);
        let pending = &mut self.pending;
        let mut expired = 0;
        self.table.retain(|_, entry| {
            let limit = match entry.state {
                FlowState::SynReceived(_) => settings.handshake_timeout,
                FlowState::Established => settings.max_flow_age,
                FlowState::Closed => settings.closed_flow_retention,
            };
            let retain = now.since(entry.last_used) < limit;
            expired += usize::from(!retain && entry.state == FlowState::Established);
            let limit = if entry.request_end.is_some() {
                settings.request_timeout
            } else {
                settings.first_request_timeout
            };
            let timed_out = |since| !retain || now.since(since) >= limit;
            if entry.pending_since.is_some_and(timed_out) {
                entry.pending_since = None;
                *pending = pending.saturating_sub(1);
            }
            retain
        });
        expired
    }

    /// Returns the number of pending requests.
    pub(crate) fn pending_requests(&self) -> u16 {
        u16::try_from(self.pending).unwrap_or(u16::MAX)
    }

    /// Returns the mean number of pending requests, in hundredths.
    pub(crate) fn mean_pending_hundredths(&mut self, now: Instant) -> u16 {
        self.update_mean(now);
        (self.mean_pending * 100.0).clamp(0.0, f32::from(u16::MAX)) as u16
    }

    /// Returns the number of flows.
    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    /// Brings the mean up to date; must be called before the number of pending requests changes.
    fn update_mean(&mut self, now: Instant) {
        let elapsed =
            now.since(self.mean_updated_at).as_secs_f32() / MEAN_TIME_CONSTANT.as_secs_f32();
        self.mean_updated_at = now;
        let old_weight = (-elapsed).exp();
        self.mean_pending =
            self.mean_pending * old_weight + self.pending as f32 * (1.0 - old_weight);
    }

    /// Closes a flow once both ends have sent a FIN, and ends the pending request of a closed flow.
    fn close_if_ended(&mut self, flow: Flow) {
        let Some(entry) = self.table.get_mut(&flow) else {
            return;
        };
        if entry.caller_fin && entry.backend_fin {
            entry.state = FlowState::Closed;
        }
        if entry.state == FlowState::Closed && entry.pending_since.take().is_some() {
            self.pending = self.pending.saturating_sub(1);
        }
    }
}

impl FlowEntry {
    /// Returns `true` if the segment from the backend server ends the flow without a response to
    /// the pending request.
    ///
    /// Segments may be reordered: a FIN with a sequence number beyond the data seen so far follows
    /// a response that is still in flight.
    fn is_aborted_by(&self, segment: &Segment) -> bool {
        let in_order = self.backend_next_sequence == Some(segment.sequence);
        let ends = segment.flags.rst || (segment.flags.fin && in_order);
        ends && self.request_end.is_some()
    }

    /// Returns `true` if a segment from the caller may belong to the flow as opened by this backend
    /// server.
    ///
    /// Retransmissions of a SYN may open the flow at two targets. The caller continues at one of
    /// them and acknowledges the initial sequence number of that one.
    pub(crate) fn accepts(&self, segment: &Segment) -> bool {
        match self.state {
            FlowState::SynReceived(Some(isn)) => segment.acknowledges(isn),
            FlowState::SynReceived(None) => false,
            FlowState::Established | FlowState::Closed => true,
        }
    }
}
