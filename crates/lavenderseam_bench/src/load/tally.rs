//! What the callers have seen.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::check::Fault;
use super::client::Failure;
use super::edit::{Edit, EditOutcome};
use super::feed::FeedCounts;
use super::kind::Kind;

/// Longest latency that is told apart, in microseconds.
const LATENCY_LIMIT: u64 = 60_000_000;

/// Counts of one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole and right.
    pub answered: u64,
    /// Requests refused that surely did not run.
    pub refused_not_run: u64,
    /// Requests without an answer that may have run.
    pub unknown: u64,
    /// Answers that were wrong in content, length or request.
    pub wrong: u64,
    /// Answers from another service.
    pub wrong_service: u64,
}

/// Requests sent in one second of the run, and those of them that were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Requests sent.
    pub sent: u64,
    /// Of these, requests answered whole and right.
    pub answered: u64,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Answered,
    Failed(Failure),
    Wrong(Fault),
}

/// What the callers have seen; shared by all of them.
#[derive(Default)]
pub struct Tally {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    counts: BTreeMap<Kind, Counts>,
    latencies: BTreeMap<Kind, Histogram<u64>>,
    seconds: BTreeMap<String, Vec<Second>>,
    edits: Vec<Edit>,
    feeds: FeedCounts,
}

impl Tally {
    /// Notes a request as it is sent; `at` is its time in the run.
    pub(crate) fn sent(&self, kind: Kind, service: &str, at: Duration) {
        let mut state = self.state.lock();
        state.counts.entry(kind).or_default().sent += 1;
        state.second(service, at).sent += 1;
    }

    /// Notes what became of a request that was sent at a time in the run.
    pub(crate) fn ended(
        &self,
        kind: Kind,
        service: &str,
        at: Duration,
        took: Duration,
        outcome: Outcome,
    ) {
        let mut state = self.state.lock();
        let counts = state.counts.entry(kind).or_default();
        match outcome {
            Outcome::Answered => counts.answered += 1,
            Outcome::Failed(Failure::NotRun) => counts.refused_not_run += 1,
            Outcome::Failed(Failure::Unknown) => counts.unknown += 1,
            Outcome::Wrong(Fault::Content) => counts.wrong += 1,
            Outcome::Wrong(Fault::Service) => counts.wrong_service += 1,
        }
        if outcome == Outcome::Answered {
            state.second(service, at).answered += 1;
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            state.latency(kind).saturating_record(micros);
        }
    }

    /// Notes what the caller of an edit was told.
    pub(crate) fn edit(&self, id: String, outcome: EditOutcome) {
        self.state.lock().edits.push(Edit { id, outcome });
    }

    /// Changes the counts of the feeds.
    pub(crate) fn feeds(&self, change: impl FnOnce(&mut FeedCounts)) {
        change(&mut self.state.lock().feeds);
    }

    /// Counts of a kind.
    #[must_use]
    pub fn counts(&self, kind: Kind) -> Counts {
        let state = self.state.lock();
        state.counts.get(&kind).copied().unwrap_or_default()
    }

    /// Counts of the feeds.
    #[must_use]
    pub fn feed_counts(&self) -> FeedCounts {
        self.state.lock().feeds
    }

    /// What the callers of the edits were told.
    #[must_use]
    pub fn edits(&self) -> Vec<Edit> {
        self.state.lock().edits.clone()
    }

    /// Requests by service and second of the run.
    #[must_use]
    pub fn seconds(&self) -> BTreeMap<String, Vec<Second>> {
        self.state.lock().seconds.clone()
    }

    /// Latencies of answered requests of a kind, in microseconds.
    #[must_use]
    pub fn latencies(&self, kind: Kind) -> Option<Histogram<u64>> {
        self.state.lock().latencies.get(&kind).cloned()
    }
}

impl State {
    fn second(&mut self, service: &str, at: Duration) -> &mut Second {
        let index = usize::try_from(at.as_secs()).unwrap_or(usize::MAX);
        let seconds = self.seconds.entry(service.to_owned()).or_default();
        if seconds.len() <= index {
            seconds.resize(index + 1, Second::default());
        }
        &mut seconds[index]
    }

    fn latency(&mut self, kind: Kind) -> &mut Histogram<u64> {
        self.latencies.entry(kind).or_insert_with(|| {
            Histogram::new_with_bounds(1, LATENCY_LIMIT, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constants"))
        })
    }
}
