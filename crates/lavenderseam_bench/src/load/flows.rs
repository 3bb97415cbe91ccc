//! The flows of all callers, and which of them broke when.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use parking_lot::Mutex;

use super::client::FlowCounts;

/// A flow that broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    /// When it was noticed, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The caller's address; the IP address may be left open.
    pub caller: SocketAddr,
}

/// The flows of all callers.
#[derive(Debug, Default)]
pub struct Flows {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    counts: BTreeMap<usize, FlowCounts>,
    known: BTreeMap<usize, usize>,
    broken: Vec<Broken>,
}

impl Flows {
    /// Notes the counts of a session and its broken flows so far.
    pub(crate) fn observe(
        &self,
        session: usize,
        counts: FlowCounts,
        broken: &[SocketAddr],
        now_ms: u64,
    ) {
        let mut state = self.state.lock();
        state.counts.insert(session, counts);
        let known = state.known.insert(session, broken.len()).unwrap_or(0);
        let new = broken.iter().skip(known);
        let new = new.map(|caller| Broken {
            at_ms: now_ms,
            caller: *caller,
        });
        state.broken.extend(new);
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
        };
        state.counts.values().fold(FlowCounts::default(), add)
    }

    /// The flows that broke.
    #[must_use]
    pub fn broken(&self) -> Vec<Broken> {
        self.state.lock().broken.clone()
    }
}
