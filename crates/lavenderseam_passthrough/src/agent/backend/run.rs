//! One run of a backend server, from its start to its termination.

use std::time::Duration;

use lavenderseam_core::time::Instant;

use super::super::Settings;
use super::heartbeat::Heartbeat;

/// Maximum number of heartbeats in a row that an agent misses: one a second while it is stopped. One with a
/// higher number may come from another writer, and would let those that follow look late.
const MAX_MISSED_HEARTBEATS: u64 = 16;

/// One run of a backend server, from its start to its termination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BackendRun {
    pub(super) id: String,
    pub(super) started_at_ms: u64,
    pub(super) sequence: u64,
    pub(super) draining: bool,
    /// Requests that the backend server processes concurrently.
    pub(crate) slots: u16,
    /// Heartbeats that have arrived in order.
    pub(super) heartbeats: u64,
    /// Time at which the run became known.
    known_since: Instant,
    /// Time of the last heartbeat.
    heard_at: Instant,
    /// Time at which the backend server becomes warm.
    warm_at: Instant,
    /// `true` if the agent has seen every flow that this run may hold.
    pub(super) all_flows_seen: bool,
    /// `true` if the agent has seen every flow unless an agent before it has let some through.
    pub(super) depends_on_predecessor: bool,
    /// Shortest idle time after which the agent has stopped tracking flows of this run.
    pub(super) expired_after: Option<Duration>,
    /// `true` if the port of the backend server was closed at the end of this run.
    pub(super) port_closed: bool,
    /// `true` if the backend server has announced that it terminates.
    pub(super) departed: bool,
}

impl BackendRun {
    pub(super) fn new(
        heartbeat: &Heartbeat,
        heartbeats: u64,
        all_flows_seen: bool,
        now: Instant,
    ) -> Self {
        Self {
            id: heartbeat.id.clone(),
            started_at_ms: heartbeat.started_at_ms,
            sequence: heartbeat.sequence,
            draining: heartbeat.draining,
            slots: heartbeat.slots.max(1),
            heartbeats,
            known_since: now,
            heard_at: now,
            warm_at: now + heartbeat.cold_remaining,
            all_flows_seen,
            depends_on_predecessor: false,
            expired_after: None,
            port_closed: false,
            departed: false,
        }
    }

    /// Sets whether the agent has seen every flow unless an agent before it has let some through.
    pub(super) const fn with_dependence_on_predecessor(mut self, depends: bool) -> Self {
        self.depends_on_predecessor = depends;
        self
    }

    /// Returns `true` if a heartbeat belongs to this run.
    pub(super) fn is_run_of(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.belongs_to(&self.id, self.started_at_ms)
    }

    /// Returns `true` if a heartbeat may follow the last one.
    ///
    /// A heartbeat that the agent has missed was sent about an interval after the last one.
    pub(super) fn is_followed_by(
        &self,
        heartbeat: &Heartbeat,
        settings: &Settings,
        now: Instant,
    ) -> bool {
        let Some(missed) = heartbeat.sequence.checked_sub(self.sequence + 1) else {
            return false;
        };
        let interval = settings.heartbeat_interval;
        let may_have_missed = now.since(self.heard_at) >= interval - interval / 4;
        missed == 0 || (missed <= MAX_MISSED_HEARTBEATS && may_have_missed)
    }

    pub(super) fn refresh(&mut self, heartbeat: &Heartbeat, now: Instant) {
        self.sequence = heartbeat.sequence;
        self.draining = heartbeat.draining;
        self.slots = heartbeat.slots.max(1);
        self.heartbeats += 1;
        self.heard_at = now;
        self.warm_at = now + heartbeat.cold_remaining;
        self.port_closed = false;
        self.departed = false;
    }

    /// Records that the backend server may hold flows that the agent doesn't know.
    pub(super) const fn doubt_flows(&mut self) {
        self.all_flows_seen = false;
        self.depends_on_predecessor = false;
    }

    /// Returns `true` if a heartbeat of the run is overdue: by half an interval, because intervals vary
    /// and a call takes its time.
    pub(super) fn is_silent(&self, settings: &Settings, now: Instant) -> bool {
        let interval = settings.heartbeat_interval;
        now.since(self.heard_at) >= interval.saturating_add(interval / 2)
    }

    /// Returns `true` if heartbeats of the run have arrived over half an interval or more.
    ///
    /// A backend server waits for about an interval after an acknowledged heartbeat; late heartbeats arrive
    /// one right after the other.
    pub(super) fn is_lasting(&self, settings: &Settings) -> bool {
        self.heard_at.since(self.known_since) >= settings.heartbeat_interval / 2
    }

    /// Returns `true` if the backend server is draining.
    pub(crate) const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns `true` if the backend server is cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.warm_at
    }
}
