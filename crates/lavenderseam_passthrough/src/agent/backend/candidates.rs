//! Runs that may have replaced the known one, by the heartbeats that have arrived.
//!
//! Heartbeats may be late, or come from a sender that isn't the backend server. A series holds those of one
//! run with consecutive sequence numbers. Several series are kept, so that other heartbeats between those of
//! the backend server don't interrupt its series.

use super::heartbeat::{Deregistration, Heartbeat, SERVING_HEARTBEAT_SEQUENCE};

/// Maximum number of series. Beyond it, the series whose last heartbeat is the oldest is removed.
const MAX_SERIES: usize = 8;
/// Heartbeats of the known run after which a series is no longer taken for that of the running one. The
/// first may be a late one.
const MAX_CONTRADICTIONS: u8 = 2;

/// Heartbeats of one run with consecutive sequence numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Series {
    id: String,
    started_at_ms: u64,
    pub(super) first_sequence: u64,
    last_sequence: u64,
    /// Heartbeats of the known run since the last one of the series.
    contradictions: u8,
}

/// Series of heartbeats that don't follow the last one of the known run.
#[derive(Clone, Debug, Default)]
pub(super) struct Candidates(Vec<Series>);

impl Candidates {
    /// Adds a heartbeat to the series that it continues, or begins another one; returns the series.
    pub(super) fn insert(&mut self, heartbeat: &Heartbeat) -> Series {
        let mut series = self.0.iter();
        let continued = series.position(|series| series.precedes(heartbeat));
        let mut series = match continued {
            Some(index) => self.0.remove(index),
            None => Series::new(heartbeat),
        };
        series.last_sequence = heartbeat.sequence;
        series.contradictions = 0;
        if self.0.len() == MAX_SERIES {
            self.0.remove(0);
        }
        self.0.push(series.clone());
        series
    }

    /// Returns `true` if a heartbeat is the last one of a series.
    pub(super) fn contains(&self, heartbeat: &Heartbeat) -> bool {
        let mut series = self.0.iter();
        series
            .any(|series| series.is_run_of(heartbeat) && series.last_sequence == heartbeat.sequence)
    }

    /// Returns `true` if a heartbeat of the same run has arrived.
    pub(super) fn knows_run_of(&self, heartbeat: &Heartbeat) -> bool {
        self.0.iter().any(|series| series.is_run_of(heartbeat))
    }

    /// Records a heartbeat of the known run.
    pub(super) fn contradict(&mut self) {
        for series in &mut self.0 {
            series.contradictions = series.contradictions.saturating_add(1);
        }
    }

    /// Removes the series of a run that terminates.
    pub(super) fn remove(&mut self, deregistration: &Deregistration) {
        let terminates =
            |series: &Series| deregistration.belongs_to(&series.id, series.started_at_ms);
        self.0.retain(|series| !terminates(series));
    }

    /// Removes the series of the run that a heartbeat belongs to.
    pub(super) fn remove_run_of(&mut self, heartbeat: &Heartbeat) {
        self.0.retain(|series| !series.is_run_of(heartbeat));
    }

    /// Removes all series.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns `true` if another run than the known one may be running.
    pub(super) fn may_run(&self) -> bool {
        self.0.iter().any(Series::may_run)
    }

    /// Returns `true` if another run may be running that may get no flows yet.
    pub(super) fn may_be_starting(&self) -> bool {
        let mut series = self.0.iter();
        series.any(|series| series.may_run() && series.first_sequence < SERVING_HEARTBEAT_SEQUENCE)
    }
}

impl Series {
    fn new(heartbeat: &Heartbeat) -> Self {
        Self {
            id: heartbeat.id.clone(),
            started_at_ms: heartbeat.started_at_ms,
            first_sequence: heartbeat.sequence,
            last_sequence: heartbeat.sequence,
            contradictions: 0,
        }
    }

    /// Returns the number of heartbeats.
    pub(super) const fn len(&self) -> u64 {
        self.last_sequence - self.first_sequence + 1
    }

    fn may_run(&self) -> bool {
        self.contradictions < MAX_CONTRADICTIONS
    }

    fn is_run_of(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.belongs_to(&self.id, self.started_at_ms)
    }

    /// Returns `true` if a heartbeat is the next one of the series.
    fn precedes(&self, heartbeat: &Heartbeat) -> bool {
        self.is_run_of(heartbeat) && heartbeat.sequence == self.last_sequence + 1
    }
}
