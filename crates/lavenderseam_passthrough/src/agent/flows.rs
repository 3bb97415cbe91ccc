//! The flows of one backend server, and how much work they mean.

use std::time::Duration;

use lavenderseam_core::time::Instant;

use super::Settings;
use crate::flow::{Flow, Table};
use crate::segment::Segment;

/// Span over which the mean work is taken.
const MEAN_SPAN: Duration = Duration::from_secs(1);

/// State of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The opener was handed over; holds the first sequence number that the backend server
    /// answered with.
    Opening(Option<u32>),
    /// The caller has answered.
    Open,
    /// Both ends have closed it, or one has given it up.
    Closed,
}

/// What a packet of the backend server means for a request that waits; holds how long it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It begins the answer.
    Answered(Duration),
    /// It ends the flow without an answer.
    Broken(Duration),
}

/// A flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    /// Its state.
    pub(crate) state: State,
    /// Since when a request has been waiting for its answer.
    waiting: Option<Instant>,
    /// End of the caller's data so far; none if it has sent none.
    requested: Option<u32>,
    /// Number that follows what the backend server has sent so far; none if it isn't known.
    answered: Option<u32>,
    used: Instant,
    caller_closed: bool,
    backend_closed: bool,
}

/// The flows of one backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flows {
    table: Table<Entry>,
    busy: u32,
    mean: f32,
    counted: Instant,
}

impl Flows {
    /// The entry of a flow.
    pub(crate) fn get(&self, flow: Flow) -> Option<&Entry> {
        self.table.get(&flow)
    }

    /// Notes a flow that was just admitted; it counts as work until its first answer.
    pub(crate) fn admit(&mut self, flow: Flow, now: Instant) {
        self.remove(flow, now);
        self.count(now);
        self.busy += 1;
        let entry = Entry {
            state: State::Opening(None),
            waiting: Some(now),
            requested: None,
            answered: None,
            used: now,
            caller_closed: false,
            backend_closed: false,
        };
        self.table.insert(flow, entry);
    }

    /// Notes a flow that the backend server turns out to hold, by a packet that it sent.
    pub(crate) fn find(&mut self, segment: &Segment, now: Instant) {
        // An answer to an opener doesn't say whether the caller follows it.
        let state = if segment.flags.syn {
            State::Opening(Some(segment.sequence))
        } else {
            State::Open
        };
        let entry = Entry {
            state,
            waiting: None,
            requested: None,
            answered: None,
            used: now,
            caller_closed: false,
            backend_closed: false,
        };
        self.table.entry(segment.flow).or_insert(entry);
    }

    /// Notes a packet of the caller.
    pub(crate) fn take_request(&mut self, segment: &Segment, now: Instant) {
        self.count(now);
        let Some(entry) = self.table.get_mut(&segment.flow) else {
            return;
        };
        entry.used = now;
        if !segment.is_opener() && matches!(entry.state, State::Opening(_)) {
            entry.state = State::Open;
        }
        // A request that was sent again may cross its answer, and isn't answered twice.
        if entry.state == State::Open && segment.has_new_data(entry.requested) {
            entry.requested = Some(segment.end());
            // The opener of the flow may have counted as work already.
            if entry.waiting.replace(now).is_none() {
                self.busy += 1;
            }
        }
        entry.caller_closed |= segment.flags.fin;
        if segment.flags.rst {
            entry.state = State::Closed;
        }
        self.settle(segment.flow);
    }

    /// Notes a packet of the backend server; returns what it means for a request that waits.
    pub(crate) fn take_answer(&mut self, segment: &Segment, now: Instant) -> Option<Reply> {
        self.count(now);
        let entry = self.table.get_mut(&segment.flow)?;
        entry.used = now;
        if segment.flags.syn && matches!(entry.state, State::Opening(_)) {
            entry.state = State::Opening(Some(segment.sequence));
        }
        let mut reply = None;
        if let Some(since) = entry.waiting {
            let waited = now.since(since);
            if segment.length > 0 {
                reply = Some(Reply::Answered(waited));
            } else if entry.is_broken_by(segment) {
                reply = Some(Reply::Broken(waited));
            }
        }
        if reply.is_some() {
            entry.waiting = None;
            self.busy = self.busy.saturating_sub(1);
        }
        entry.answered = segment.follows(entry.answered);
        entry.backend_closed |= segment.flags.fin;
        if segment.flags.rst {
            entry.state = State::Closed;
        }
        self.settle(segment.flow);
        reply
    }

    /// Forgets a flow.
    pub(crate) fn remove(&mut self, flow: Flow, now: Instant) {
        self.count(now);
        if let Some(entry) = self.table.remove(&flow)
            && entry.waiting.is_some()
        {
            self.busy = self.busy.saturating_sub(1);
        }
    }

    /// Forgets all flows and returns those that were open; the caller of a half-open one may follow
    /// another target.
    pub(crate) fn clear(&mut self, now: Instant) -> Vec<Flow> {
        self.count(now);
        self.busy = 0;
        let table = std::mem::take(&mut self.table);
        let open = table
            .into_iter()
            .filter(|(_, entry)| entry.state == State::Open);
        open.map(|(flow, _)| flow).collect()
    }

    /// Forgets flows that have ended, and work that has waited too long.
    pub(crate) fn expire(&mut self, settings: &Settings, now: Instant) {
        self.count(now);
        let busy = &mut self.busy;
        self.table.retain(|_, entry| {
            let limit = match entry.state {
                State::Opening(_) => settings.embryonic,
                State::Open => settings.idle,
                State::Closed => settings.closed,
            };
            let keep = now.since(entry.used) < limit;
            let limit = if entry.requested.is_some() {
                settings.waiting
            } else {
                settings.opening
            };
            let late = |since| !keep || now.since(since) >= limit;
            if entry.waiting.is_some_and(late) {
                entry.waiting = None;
                *busy = busy.saturating_sub(1);
            }
            keep
        });
    }

    /// Flows that wait for an answer.
    pub(crate) fn busy(&self) -> u16 {
        u16::try_from(self.busy).unwrap_or(u16::MAX)
    }

    /// Mean of the flows that wait for an answer, in hundredths.
    pub(crate) fn mean(&mut self, now: Instant) -> u16 {
        self.count(now);
        (self.mean * 100.0).clamp(0.0, f32::from(u16::MAX)) as u16
    }

    /// Flows held.
    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    /// Brings the mean up to the present; to be called before `busy` changes.
    fn count(&mut self, now: Instant) {
        let passed = now.since(self.counted).as_secs_f32() / MEAN_SPAN.as_secs_f32();
        self.counted = now;
        let weight = (-passed).exp();
        self.mean = self.mean * weight + self.busy as f32 * (1.0 - weight);
    }

    /// Marks a flow closed once both ends have closed it.
    fn settle(&mut self, flow: Flow) {
        let Some(entry) = self.table.get_mut(&flow) else {
            return;
        };
        if entry.caller_closed && entry.backend_closed {
            entry.state = State::Closed;
        }
        if entry.state == State::Closed && entry.waiting.take().is_some() {
            self.busy = self.busy.saturating_sub(1);
        }
    }
}

impl Entry {
    /// Whether a packet of the backend server ends the flow without an answer to its request.
    ///
    /// Packets may cross each other: an end whose number is ahead of what was sent so far comes
    /// after an answer that is still on its way.
    fn is_broken_by(&self, segment: &Segment) -> bool {
        let nothing_before = self.answered == Some(segment.sequence);
        let ends = segment.flags.rst || (segment.flags.fin && nothing_before);
        ends && self.requested.is_some()
    }

    /// Whether a packet of the caller may belong to the flow as the backend server opened it.
    ///
    /// A repeated opener may have reached another target too; the caller follows one of the two
    /// and acknowledges that one's sequence number.
    pub(crate) fn fits(&self, segment: &Segment) -> bool {
        match self.state {
            State::Opening(Some(first)) => segment.acknowledges(first),
            State::Opening(None) => false,
            State::Open | State::Closed => true,
        }
    }
}
