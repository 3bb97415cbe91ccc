//! State of the backend server beside the agent, derived from its heartbeats.
//!
//! An agent may deny a flow only if it has seen every flow of the current run of its backend server. It
//! may have missed flows because it has restarted beside a running backend server, and nothing on the VM
//! tells a process of the one before it. So no agent lets flows through to a run before a certain
//! heartbeat of it, the serving one. An agent that has received all heartbeats from an earlier one on
//! knows that no agent before it has let flows through; the same holds if the port of the backend server
//! was closed before. The first heartbeat alone doesn't show it: until then an agent may have let flows
//! through in the belief that the run before was still running.
//!
//! A heartbeat may be a late one of a run that has ended, or come from another writer that passes for the
//! backend server. So a run is only a candidate until two of its heartbeats have arrived in a row, and it
//! replaces a running one only once that one is silent. A run that was replaced comes back in the same way,
//! because the heartbeats of the other one may have been those that were wrong. The time of day doesn't
//! matter, because clocks jump. `model/heartbeats.pml` shows that each of these rules is needed.

mod candidates;
mod heartbeat;
mod run;

use std::time::Duration;

use lavenderseam_core::time::Instant;

use super::Settings;
use crate::message::TargetState;
use candidates::{Candidates, Series};
pub use heartbeat::{
    Departure, Deregistration, Heartbeat, HeartbeatEffect, Rejection, SERVING_HEARTBEAT_SEQUENCE,
};
use heartbeat::{FIRST_HEARTBEAT_SEQUENCE, MAX_HEARTBEAT_SEQUENCE};
pub(crate) use run::BackendRun;

/// Consecutive heartbeats after which a run replaces one that isn't silent: one of the two senders isn't the
/// backend server, and it isn't known which. There are fewer late heartbeats than that.
const CONTESTING_HEARTBEATS: u64 = 16;

/// Consecutive heartbeats by which the known run continues with numbers below its last one, because that one
/// came from another sender. There are fewer late heartbeats than that.
const RENUMBERING_HEARTBEATS: u64 = 4;

/// State of the backend server beside the agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backend {
    state: BackendState,
    /// Heartbeats of other runs than the known one.
    candidates: Candidates,
    /// Heartbeats of the known run that don't follow its last one.
    out_of_order: Candidates,
    /// `true` if the first heartbeat of a run arrived although its port wasn't found closed before. The agent
    /// before this one may have let flows through to that run, which it took for the run before.
    was_silent_at_start: bool,
}

/// State of the backend server beside the agent.
#[derive(Clone, Debug, Default)]
enum BackendState {
    /// No heartbeat has been received; a backend server may be running and may hold flows.
    #[default]
    Unknown,
    /// No heartbeat has been received, and the port of the backend server was closed, so that it
    /// holds no flows.
    Absent,
    /// The backend server is running.
    Running(BackendRun),
    /// The backend server has terminated; holds its last run.
    Terminated(BackendRun),
}

impl Backend {
    /// Processes a heartbeat.
    pub(crate) fn apply(
        &mut self,
        heartbeat: &Heartbeat,
        has_predecessor: Option<bool>,
        settings: &Settings,
        now: Instant,
    ) -> Result<HeartbeatEffect, Rejection> {
        if !(FIRST_HEARTBEAT_SEQUENCE..=MAX_HEARTBEAT_SEQUENCE).contains(&heartbeat.sequence) {
            return Err(Rejection::ImplausibleSequence(heartbeat.sequence));
        }
        if matches!(self.state, BackendState::Unknown) {
            self.was_silent_at_start |= heartbeat.sequence == FIRST_HEARTBEAT_SEQUENCE;
        }
        if let BackendState::Running(run) | BackendState::Terminated(run) = &self.state
            && run.is_run_of(heartbeat)
        {
            let last = run.sequence;
            let follows = run.is_followed_by(heartbeat, settings, now);
            if follows || self.renumbers(heartbeat, last, settings, now) {
                return Ok(self.continue_run(heartbeat, now));
            }
            return Err(Rejection::OutOfOrder(last));
        }
        if self.candidates.contains(heartbeat) {
            return Err(Rejection::OutOfOrder(heartbeat.sequence));
        }
        let is_new = !self.candidates.knows_run_of(heartbeat);
        let series = self.candidates.insert(heartbeat);
        let is_known = series.len() > 1 && heartbeat.may_serve();
        if !is_known || !self.may_be_replaced(&series, settings, now) {
            return Ok(HeartbeatEffect::Starting { is_new });
        }
        let first_sequence = series.first_sequence;
        let mut depends_on_predecessor = false;
        let all_flows_seen = match &self.state {
            BackendState::Unknown => {
                let is_early = first_sequence < SERVING_HEARTBEAT_SEQUENCE;
                let may_be_new = is_early && !self.was_silent_at_start;
                depends_on_predecessor = may_be_new && has_predecessor != Some(true);
                may_be_new && has_predecessor == Some(false)
            }
            BackendState::Absent => true,
            // The agent may have let flows through to the new run in the belief that the known one
            // was still running, until it received a heartbeat of the new one. If it hasn't seen all
            // flows of the known one, the agent before it may have done so as well.
            BackendState::Running(run) | BackendState::Terminated(run) => {
                let is_first = first_sequence == FIRST_HEARTBEAT_SEQUENCE;
                let has_closed_port = self.has_closed_port();
                depends_on_predecessor = is_first && run.depends_on_predecessor && !has_closed_port;
                (is_first && run.all_flows_seen) || has_closed_port
            }
        };
        self.out_of_order.clear();
        // Another run may still be starting.
        self.candidates.remove_run_of(heartbeat);
        let run = BackendRun::new(heartbeat, series.len(), all_flows_seen, now);
        Ok(self.start_run(run.with_dependence_on_predecessor(depends_on_predecessor)))
    }

    /// Returns `true` if the known run goes on with a heartbeat that doesn't follow its last one.
    ///
    /// Either that one or those that arrive now come from another writer, or are late.
    fn renumbers(
        &mut self,
        heartbeat: &Heartbeat,
        last: u64,
        settings: &Settings,
        now: Instant,
    ) -> bool {
        let series = self.out_of_order.insert(heartbeat);
        if heartbeat.sequence > last {
            series.len() > 1 && self.may_be_replaced(&series, settings, now)
        } else {
            series.len() >= RENUMBERING_HEARTBEATS
        }
    }

    /// Returns `true` if the run of a series of heartbeats may take the place of the known one.
    fn may_be_replaced(&self, series: &Series, settings: &Settings, now: Instant) -> bool {
        match &self.state {
            BackendState::Running(run) => {
                let contesting = if run.is_lasting(settings) {
                    CONTESTING_HEARTBEATS
                } else {
                    CONTESTING_HEARTBEATS.min(run.heartbeats + 1)
                };
                run.is_silent(settings, now) || series.len() >= contesting
            }
            BackendState::Unknown | BackendState::Absent | BackendState::Terminated(_) => true,
        }
    }

    /// Handles a further heartbeat of the known run.
    ///
    /// While another run may be starting, one of the two has ended, and a late heartbeat of it may be
    /// the last. So a single heartbeat doesn't end the start.
    fn continue_run(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatEffect {
        let mut state_changed = false;
        if let BackendState::Running(run) | BackendState::Terminated(run) = &mut self.state {
            state_changed = run.draining != heartbeat.draining;
            run.refresh(heartbeat, now);
        }
        let had_candidate = self.has_candidate();
        self.candidates.contradict();
        if self.has_candidate() {
            return HeartbeatEffect::Starting { is_new: false };
        }
        if let BackendState::Terminated(run) = &mut self.state {
            // The evidence of its end was wrong, so that it still holds its flows.
            run.doubt_flows();
            self.state = BackendState::Running(run.clone());
            HeartbeatEffect::Resumed
        } else if state_changed || had_candidate {
            HeartbeatEffect::StateChanged
        } else {
            HeartbeatEffect::Unchanged
        }
    }

    /// Starts another run.
    fn start_run(&mut self, run: BackendRun) -> HeartbeatEffect {
        let all_flows_seen = run.all_flows_seen;
        let previous = std::mem::replace(&mut self.state, BackendState::Running(run));
        let replaces_running = matches!(previous, BackendState::Running(_));
        HeartbeatEffect::NewRun {
            replaces_running,
            all_flows_seen,
        }
    }

    /// Returns `true` if the last run has terminated and the port of the backend server was closed.
    const fn has_closed_port(&self) -> bool {
        matches!(&self.state, BackendState::Terminated(run) if run.port_closed)
    }

    /// Records that the port of the backend server is closed; returns `true` if the state has
    /// changed.
    pub(crate) fn on_closed_port(&mut self) -> bool {
        let mut was_closed = true;
        match &mut self.state {
            BackendState::Unknown => {
                self.state = BackendState::Absent;
                self.candidates.clear();
                return true;
            }
            BackendState::Running(run) | BackendState::Terminated(run) => {
                was_closed = std::mem::replace(&mut run.port_closed, true);
            }
            BackendState::Absent => {}
        }
        let had_candidate = self.has_candidate();
        self.candidates.clear();
        self.mark_terminated();
        !was_closed || had_candidate
    }

    /// Marks the current run as terminated.
    fn mark_terminated(&mut self) {
        if let BackendState::Running(run) = &self.state {
            self.state = BackendState::Terminated(run.clone());
        }
    }

    /// Handles the notice of a backend server that it terminates.
    ///
    /// It may be late, and from an earlier run under the same identifier, or come from another writer. So
    /// flows end only with the port, and a run that hasn't announced a drain goes on until then.
    pub(crate) fn on_deregistration(&mut self, deregistration: &Deregistration) -> Departure {
        self.candidates.remove(deregistration);
        let BackendState::Running(run) = &mut self.state else {
            return Departure::OtherRun;
        };
        if !deregistration.belongs_to(&run.id, run.started_at_ms) {
            return Departure::OtherRun;
        }
        run.departed = true;
        if !run.draining {
            return Departure::Unexpected;
        }
        self.mark_terminated();
        Departure::Accepted
    }

    /// Returns the current run, or `None` if no backend server is known to be running.
    pub(crate) const fn current_run(&self) -> Option<&BackendRun> {
        match &self.state {
            BackendState::Running(run) => Some(run),
            BackendState::Unknown | BackendState::Absent | BackendState::Terminated(_) => None,
        }
    }

    /// Returns `true` if the backend server has announced that it terminates.
    pub(crate) const fn has_departed(&self) -> bool {
        matches!(&self.state, BackendState::Terminated(run) if run.departed)
    }

    /// Returns `true` if a run is or was known to be running.
    pub(crate) const fn has_run(&self) -> bool {
        matches!(
            self.state,
            BackendState::Running(_) | BackendState::Terminated(_)
        )
    }

    /// Returns `true` if nothing is known about the backend server.
    pub(crate) const fn is_unknown(&self) -> bool {
        matches!(self.state, BackendState::Unknown)
    }

    /// Records that the agent no longer tracks flows that were idle for `max_age`.
    pub(crate) fn on_flows_expired(&mut self, max_age: Duration) {
        if let BackendState::Running(run) = &mut self.state {
            let lowest = run.expired_after.unwrap_or(max_age);
            run.expired_after = Some(lowest.min(max_age));
        }
    }

    /// Applies the maximum age of a flow; returns `true` if the backend server may therefore hold flows
    /// that the agent no longer tracks.
    pub(crate) fn on_max_flow_age(&mut self, max_age: Duration) -> bool {
        let BackendState::Running(run) = &mut self.state else {
            return false;
        };
        let has_forgotten = run.expired_after.is_some_and(|expired| expired < max_age);
        let had_seen_all = run.all_flows_seen;
        if has_forgotten {
            run.doubt_flows();
        }
        has_forgotten && had_seen_all
    }

    /// Returns `true` if it depends on earlier runs of the agent whether this one has seen every flow that
    /// the backend server may hold.
    pub(crate) fn depends_on_predecessor(&self) -> bool {
        match &self.state {
            BackendState::Unknown => self.candidates.may_be_starting() && !self.was_silent_at_start,
            BackendState::Running(run) | BackendState::Terminated(run) => {
                run.depends_on_predecessor
            }
            BackendState::Absent => false,
        }
    }

    /// Applies what the balancers know of earlier runs of the agent; returns `true` if it changes what the
    /// agent knows of the flows.
    pub(crate) const fn on_predecessor_known(&mut self, has_predecessor: bool) -> bool {
        let (BackendState::Running(run) | BackendState::Terminated(run)) = &mut self.state else {
            return false;
        };
        if !run.depends_on_predecessor {
            return false;
        }
        let had_seen_all = run.all_flows_seen;
        if has_predecessor {
            run.doubt_flows();
        } else {
            run.all_flows_seen = true;
        }
        had_seen_all == has_predecessor
    }

    /// Returns `true` if the agent has seen every flow that the backend server may hold.
    pub(crate) const fn has_seen_all_flows(&self) -> bool {
        match &self.state {
            BackendState::Unknown => false,
            BackendState::Running(run) => run.all_flows_seen,
            BackendState::Absent => true,
            BackendState::Terminated(run) => run.port_closed || run.all_flows_seen,
        }
    }

    /// Returns `true` if the backend server has announced its end, and its port isn't known to be closed.
    pub(crate) const fn is_expected_to_end(&self) -> bool {
        match &self.state {
            BackendState::Running(run) | BackendState::Terminated(run) => {
                run.departed && !run.port_closed
            }
            BackendState::Unknown | BackendState::Absent => false,
        }
    }

    /// Returns `true` if another run seems to have started, so that no flows are let through.
    ///
    /// Beside a running one, only a run that may not have reached its serving heartbeat counts: flows that
    /// are let through to a later one mislead no other agent.
    pub(crate) fn has_candidate(&self) -> bool {
        match &self.state {
            BackendState::Running(_) => self.candidates.may_be_starting(),
            BackendState::Unknown | BackendState::Absent | BackendState::Terminated(_) => {
                self.candidates.may_run()
            }
        }
    }

    /// Returns the state of the target as announced to balancers.
    pub(crate) fn state(&self) -> TargetState {
        if self.has_candidate() {
            return TargetState::Unknown;
        }
        match &self.state {
            BackendState::Unknown => TargetState::Unknown,
            BackendState::Absent | BackendState::Terminated(_) => TargetState::Ended,
            BackendState::Running(run) if run.draining => TargetState::Draining,
            BackendState::Running(_) => TargetState::Ready,
        }
    }
}
