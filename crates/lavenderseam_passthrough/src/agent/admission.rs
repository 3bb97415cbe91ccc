//! Whether the backend server is given a packet.

use lavenderseam_core::time::Instant;

use super::Agent;
use super::flows::State;
use crate::flow::Flow;
use crate::message::{Carry, Reason};
use crate::segment::Segment;

/// What becomes of a packet that isn't returned.
pub(super) enum Step {
    /// Its flow is held here.
    Known,
    /// It opens a flow here.
    Admitted,
    /// The backend server is asked whether it holds the flow.
    Tried,
    /// It is dropped.
    Dropped,
}

impl Agent {
    pub(super) fn decide(
        &mut self,
        segment: &Segment,
        carry: &Carry,
        now: Instant,
    ) -> Result<Step, Reason> {
        if segment.flags.syn && segment.flags.ack {
            // Only backend servers send these.
            return Ok(Step::Dropped);
        }
        let entry = self.flows.get(segment.flow).copied();
        if segment.is_opener() {
            return match entry.map(|entry| entry.state) {
                Some(State::Opening(_)) => Ok(Step::Known),
                // A late copy of the opener says nothing to a flow that is open.
                Some(State::Open) => Ok(Step::Dropped),
                Some(State::Closed) | None => self.admit(segment.flow, carry, now),
            };
        }
        if entry.is_some_and(|entry| entry.fits(segment)) {
            return Ok(Step::Known);
        }
        if self.ended.contains_key(&segment.flow) {
            return Err(Reason::Ended);
        }
        if entry.is_none() && !self.backend.is_certain() {
            return Ok(Step::Tried);
        }
        Err(Reason::NotHeld)
    }

    /// Openers a second that the backend server bears while it is cold.
    pub(super) fn cold_rate(&self) -> Option<f64> {
        if self.limits.known {
            self.limits.cold_rate
        } else {
            Some(self.settings.cold_rate)
        }
    }

    fn admit(&mut self, flow: Flow, carry: &Carry, now: Instant) -> Result<Step, Reason> {
        let Some(present) = self.backend.present() else {
            return Err(Reason::Unready);
        };
        if carry.service != self.service {
            return Err(Reason::OtherService);
        }
        if present.is_draining() {
            return Err(Reason::Draining);
        }
        if self.limits.out {
            return Err(Reason::DomainOut);
        }
        if self.doubt.rejects(now) {
            return Err(Reason::Shed);
        }
        let (slots, cold) = (present.slots, present.is_cold(now));
        let connections = self.limits.connections.map(|limit| limit as usize);
        if self.flows.len() >= connections.unwrap_or(self.settings.flows) {
            return Err(Reason::Full);
        }
        let free = slots.saturating_sub(self.penalties.slots(now));
        let queue = if carry.trail.queues {
            free.saturating_mul(self.settings.queue)
        } else {
            free
        };
        if self.flows.busy() >= queue {
            return Err(Reason::Busy);
        }
        if cold {
            let rate = self.cold_rate();
            if self.warmup.left(rate, now) == 0 {
                return Err(Reason::Cold);
            }
        }
        // Openers count before the backend server is cold too: it may turn cold unannounced.
        self.warmup.take(now);
        self.ended.remove(&flow);
        self.flows.admit(flow, now);
        Ok(Step::Admitted)
    }
}
