//! Tracks the flows of all callers and when flows broke.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use parking_lot::Mutex;

use super::client::FlowCounts;

/// A flow that ended although neither side closed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenFlow {
    /// Time at which the broken flow was detected, in milliseconds since the epoch.
    pub detected_at_ms: u64,
    /// Local address of the caller; the IP address may be unspecified.
    pub caller: SocketAddr,
}

/// Counts the flows of all callers and lists the broken ones.
#[derive(Debug, Default)]
pub struct FlowTracker {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    counts_by_session: BTreeMap<usize, FlowCounts>,
    /// Number of broken flows of each session that are already in `broken_flows`.
    recorded_broken: BTreeMap<usize, usize>,
    broken_flows: Vec<BrokenFlow>,
}

impl FlowTracker {
    /// Records the current counts of a session and all its broken flows up to now.
    pub(crate) fn record_session(
        &self,
        session: usize,
        counts: FlowCounts,
        broken: &[SocketAddr],
        now_ms: u64,
    ) {
        let mut state = self.state.lock();
        state.counts_by_session.insert(session, counts);
        let recorded = state
            .recorded_broken
            .insert(session, broken.len())
            .unwrap_or(0);
        let new = broken.iter().skip(recorded);
        let new = new.map(|caller| BrokenFlow {
            detected_at_ms: now_ms,
            caller: *caller,
        });
        state.broken_flows.extend(new);
    }

    /// Returns the sum of the counts of all sessions.
    #[must_use]
    pub fn total_counts(&self) -> FlowCounts {
        let state = self.state.lock();
        let add = |sum: FlowCounts, counts: &FlowCounts| FlowCounts {
            opened: sum.opened + counts.opened,
            failed: sum.failed + counts.failed,
            feeds_moved: sum.feeds_moved + counts.feeds_moved,
            retries: sum.retries + counts.retries,
        };
        state
            .counts_by_session
            .values()
            .fold(FlowCounts::default(), add)
    }

    /// Returns all broken flows of all sessions.
    #[must_use]
    pub fn broken_flows(&self) -> Vec<BrokenFlow> {
        self.state.lock().broken_flows.clone()
    }
}
