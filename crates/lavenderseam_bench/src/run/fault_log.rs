//! Log of the faults that were injected into a deployment, and when.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::schedule::Fault;
use crate::stand_ins::unix_time_ms;

/// One fault of the schedule and how it was carried out; times are in milliseconds since the epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InjectedFault {
    /// Fault as scheduled.
    pub fault: Fault,
    /// Time at which the fault took effect; for a change by an operator, when the object API
    /// accepted it.
    pub from_ms: Option<u64>,
    /// Time at which the fault was undone.
    pub until_ms: Option<u64>,
    /// Reason why the fault could not be carried out.
    pub failure: Option<String>,
}

/// Log of the faults of a schedule, by their index in the schedule.
#[derive(Clone, Debug, Default)]
pub struct FaultLog {
    entries: Arc<Mutex<Vec<InjectedFault>>>,
}

impl FaultLog {
    /// Returns a log for a schedule whose faults have not begun yet.
    #[must_use]
    pub fn new(faults: &[Fault]) -> Self {
        let entry = |fault: &Fault| InjectedFault {
            fault: fault.clone(),
            from_ms: None,
            until_ms: None,
            failure: None,
        };
        Self {
            entries: Arc::new(Mutex::new(faults.iter().map(entry).collect())),
        }
    }

    /// Records that a fault takes effect now.
    pub fn record_start(&self, index: usize) {
        self.entries.lock()[index].from_ms = Some(unix_time_ms());
    }

    /// Records that a fault is undone now.
    pub fn record_end(&self, index: usize) {
        self.entries.lock()[index].until_ms = Some(unix_time_ms());
    }

    /// Records that a fault could not be carried out, and why.
    pub fn record_failure(&self, index: usize, error: &impl ToString) {
        self.entries.lock()[index].failure = Some(error.to_string());
    }

    /// Returns the entries of all faults, in the order of the schedule.
    #[must_use]
    pub fn entries(&self) -> Vec<InjectedFault> {
        self.entries.lock().clone()
    }
}
