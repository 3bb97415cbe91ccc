//! State of the backend server beside the agent, derived from its heartbeats.

use std::fmt;
use std::time::Duration;

use lavenderseam_core::time::Instant;

use crate::message::TargetState;

/// Sequence number of the first heartbeat of a run.
///
/// A heartbeat sent before the agent listened may be lost, but flows are admitted only after a
/// heartbeat was acknowledged. So if the first heartbeat that the agent receives has this number,
/// the agent has missed no flow of that run.
const FIRST_HEARTBEAT_SEQUENCE: u64 = 1;

/// Heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifier of the backend server.
    pub id: String,
    /// Start time of the backend server in milliseconds since the Unix epoch; `None` if it isn't
    /// reported.
    pub started_at_ms: Option<u64>,
    /// Time since the start of the backend server by the clock of the VM; `None` if it is unknown.
    pub age: Option<Duration>,
    /// Sequence number of the heartbeat within one run of the backend server.
    pub sequence: u64,
    /// Name of the service that the backend server belongs to.
    pub service: String,
    /// `true` if the backend server is draining and accepts no new flows.
    pub draining: bool,
    /// Requests that the backend server processes concurrently.
    pub slots: u16,
    /// Time for which the backend server remains cold.
    pub cold_remaining: Duration,
}

/// One run of a backend server, from its start to its termination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BackendRun {
    id: String,
    started_at_ms: Option<u64>,
    sequence: u64,
    draining: bool,
    /// Requests that the backend server processes concurrently.
    pub(crate) slots: u16,
    /// Time at which the backend server becomes warm.
    warm_at: Instant,
    /// `true` if the agent has seen every flow that this run may hold.
    all_flows_seen: bool,
    /// `true` if the backend server has announced that it terminates.
    departed: bool,
}

/// State of the backend server beside the agent.
#[derive(Clone, Debug, Default)]
pub(crate) enum BackendState {
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

/// Effect of an accepted heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// The known run continues in the same state.
    Unchanged,
    /// The known run continues, and the state of the target has changed.
    StateChanged,
    /// The known run continues, although it was taken to have terminated.
    Resumed,
    /// A new run has started.
    NewRun {
        /// `true` if the new run replaces a run that was still considered alive.
        replaces_running: bool,
    },
}

/// Reason for which a heartbeat is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The heartbeat belongs to an earlier run, or is older than one accepted before.
    Stale,
    /// The sender belongs to another service; holds the name of that service.
    OtherService(String),
}

impl Heartbeat {
    /// Returns `true` if certainly no earlier heartbeat of the run was acknowledged.
    ///
    /// A heartbeat that fails is repeated at once, but one that was acknowledged is followed by the
    /// next one only after the interval. Half of it allows for intervals that vary.
    fn is_first_acknowledged(&self, interval: Duration) -> bool {
        let is_early = |age| age < interval / 2;
        self.sequence <= FIRST_HEARTBEAT_SEQUENCE || self.age.is_some_and(is_early)
    }
}

impl BackendState {
    /// Processes a heartbeat.
    ///
    /// `interval` is the time between an acknowledged heartbeat and the next one; 0 if it is
    /// unknown.
    pub(crate) fn apply(
        &mut self,
        heartbeat: &Heartbeat,
        interval: Duration,
        now: Instant,
    ) -> Result<HeartbeatEffect, Rejection> {
        let run = match self {
            Self::Unknown => {
                *self = Self::Running(BackendRun::new(
                    heartbeat,
                    heartbeat.is_first_acknowledged(interval),
                    now,
                ));
                return Ok(HeartbeatEffect::NewRun {
                    replaces_running: false,
                });
            }
            Self::Absent => {
                *self = Self::Running(BackendRun::new(heartbeat, true, now));
                return Ok(HeartbeatEffect::NewRun {
                    replaces_running: false,
                });
            }
            Self::Running(run) | Self::Terminated(run) => run,
        };
        if run.id == heartbeat.id && run.started_at_ms == heartbeat.started_at_ms {
            if heartbeat.sequence <= run.sequence {
                return Err(Rejection::Stale);
            }
            let state_changed = run.draining != heartbeat.draining;
            run.refresh(heartbeat, now);
            if let Self::Terminated(run) = self {
                // The evidence of its end was wrong, so that it still holds its flows.
                run.all_flows_seen = false;
                *self = Self::Running(run.clone());
                return Ok(HeartbeatEffect::Resumed);
            }
            return Ok(if state_changed {
                HeartbeatEffect::StateChanged
            } else {
                HeartbeatEffect::Unchanged
            });
        }
        if heartbeat.started_at_ms < run.started_at_ms {
            return Err(Rejection::Stale);
        }
        let replaces = matches!(self, Self::Running(_));
        *self = Self::Running(BackendRun::new(heartbeat, true, now));
        Ok(HeartbeatEffect::NewRun {
            replaces_running: replaces,
        })
    }

    /// Records that the port of the backend server is closed; returns `true` if the state has
    /// changed.
    pub(crate) fn on_closed_port(&mut self) -> bool {
        if matches!(self, Self::Unknown) {
            *self = Self::Absent;
            return true;
        }
        self.mark_terminated()
    }

    /// Marks the current run as terminated; returns `true` if it was running.
    fn mark_terminated(&mut self) -> bool {
        if let Self::Running(run) = self {
            *self = Self::Terminated(run.clone());
            return true;
        }
        false
    }

    /// Marks the run of the backend server with this identifier as terminated; returns `true` if it
    /// was running.
    pub(crate) fn mark_departed(&mut self, id: &str) -> bool {
        let is_running = matches!(self, Self::Running(run) if run.id == id);
        let departed = is_running && self.mark_terminated();
        if let Self::Terminated(run) = self {
            run.departed |= departed;
        }
        departed
    }

    /// Returns the current run, or `None` if no backend server is known to be running.
    pub(crate) const fn current_run(&self) -> Option<&BackendRun> {
        match self {
            Self::Running(run) => Some(run),
            Self::Unknown | Self::Absent | Self::Terminated(_) => None,
        }
    }

    /// Returns `true` if the backend server has announced that it terminates.
    pub(crate) const fn has_departed(&self) -> bool {
        matches!(self, Self::Terminated(run) if run.departed)
    }

    /// Returns `true` if nothing is known about the backend server.
    pub(crate) const fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown)
    }

    /// Returns `true` if the agent has seen every flow that the backend server may hold.
    pub(crate) const fn has_seen_all_flows(&self) -> bool {
        match self {
            Self::Unknown => false,
            Self::Running(run) => run.all_flows_seen,
            Self::Absent | Self::Terminated(_) => true,
        }
    }

    /// Returns the state of the target as announced to balancers.
    pub(crate) fn state(&self) -> TargetState {
        match self {
            Self::Unknown => TargetState::Unknown,
            Self::Absent | Self::Terminated(_) => TargetState::Ended,
            Self::Running(run) if run.draining => TargetState::Draining,
            Self::Running(_) => TargetState::Ready,
        }
    }
}

impl BackendRun {
    fn new(heartbeat: &Heartbeat, all_flows_seen: bool, now: Instant) -> Self {
        Self {
            id: heartbeat.id.clone(),
            started_at_ms: heartbeat.started_at_ms,
            sequence: heartbeat.sequence,
            draining: heartbeat.draining,
            slots: heartbeat.slots.max(1),
            warm_at: now + heartbeat.cold_remaining,
            all_flows_seen,
            departed: false,
        }
    }

    fn refresh(&mut self, heartbeat: &Heartbeat, now: Instant) {
        self.sequence = heartbeat.sequence;
        self.draining = heartbeat.draining;
        self.slots = heartbeat.slots.max(1);
        self.warm_at = now + heartbeat.cold_remaining;
        self.departed = false;
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

impl fmt::Display for Rejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale => formatter.write_str("heartbeat is out of order or from an earlier run"),
            Self::OtherService(service) => {
                write!(
                    formatter,
                    "heartbeat comes from a backend server of another service, {service:?}"
                )
            }
        }
    }
}

impl std::error::Error for Rejection {}
