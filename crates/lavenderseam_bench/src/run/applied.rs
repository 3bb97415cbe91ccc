//! What has been done to a deployment, and when.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::schedule::Fault;
use crate::standins::now_ms;

/// One fault as it was carried out; times are in milliseconds since the epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The fault.
    pub fault: Fault,
    /// When it took hold: an order of operators when the object API accepted it.
    pub from_ms: Option<u64>,
    /// When it was undone.
    pub until_ms: Option<u64>,
    /// Whether it could not be carried out.
    pub failed: Option<String>,
}

/// What has been done, by the position of the fault in the schedule.
#[derive(Clone, Debug, Default)]
pub struct Log {
    entries: Arc<Mutex<Vec<Applied>>>,
}

impl Log {
    /// A log for a schedule.
    #[must_use]
    pub fn new(faults: &[Fault]) -> Self {
        let entry = |fault: &Fault| Applied {
            fault: fault.clone(),
            from_ms: None,
            until_ms: None,
            failed: None,
        };
        Self {
            entries: Arc::new(Mutex::new(faults.iter().map(entry).collect())),
        }
    }

    /// Notes that a fault holds from now on.
    pub fn begun(&self, index: usize) {
        self.entries.lock()[index].from_ms = Some(now_ms());
    }

    /// Notes that a fault is undone.
    pub fn ended(&self, index: usize) {
        self.entries.lock()[index].until_ms = Some(now_ms());
    }

    /// Notes that a fault could not be carried out.
    pub fn failed(&self, index: usize, cause: &impl ToString) {
        self.entries.lock()[index].failed = Some(cause.to_string());
    }

    /// All entries.
    #[must_use]
    pub fn entries(&self) -> Vec<Applied> {
        self.entries.lock().clone()
    }
}
