//! The flows of all callers: when which of them broke, and at which target.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use super::client::FlowCounts;

/// Flows that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// When it was noticed, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The target that the session was last answered by, if any.
    pub target: Option<String>,
    /// Number of flows.
    pub flows: u64,
}

/// The flows of all callers.
#[derive(Debug, Default)]
pub struct Flows {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    seen: BTreeMap<usize, FlowCounts>,
    targets: BTreeMap<usize, String>,
    broken: Vec<Broken>,
}

impl Flows {
    /// Notes the target that answers a session.
    pub(crate) fn answered(&self, session: usize, target: &str) {
        let mut state = self.state.lock();
        if state.targets.get(&session).map(String::as_str) != Some(target) {
            state.targets.insert(session, target.to_owned());
        }
    }

    /// Notes a session's counts.
    pub(crate) fn observe(&self, session: usize, counts: FlowCounts, now_ms: u64) {
        let mut state = self.state.lock();
        let seen = state.seen.insert(session, counts).unwrap_or_default();
        let flows = counts.broken.saturating_sub(seen.broken);
        if flows > 0 {
            let target = state.targets.get(&session).cloned();
            state.broken.push(Broken {
                at_ms: now_ms,
                target,
                flows,
            });
        }
    }

    /// Counts of all sessions together.
    #[must_use]
    pub fn total(&self) -> FlowCounts {
        let state = self.state.lock();
        let add = |sum: FlowCounts, counts: &FlowCounts| FlowCounts {
            opened: sum.opened + counts.opened,
            failed: sum.failed + counts.failed,
            feeds_moved: sum.feeds_moved + counts.feeds_moved,
            retries: sum.retries + counts.retries,
            broken: sum.broken + counts.broken,
        };
        state.seen.values().fold(FlowCounts::default(), add)
    }

    /// The flows that broke.
    #[must_use]
    pub fn broken(&self) -> Vec<Broken> {
        self.state.lock().broken.clone()
    }
}
