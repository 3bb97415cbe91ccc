//! Statistics of the load as the callers observe it.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::check::ResponseError;
use super::client::RequestError;
use super::edit_result::{EditOutcome, EditResult};
use super::feed::FeedCounts;
use super::request_kind::RequestKind;

/// Highest latency that the histograms record, in microseconds; higher latencies are clamped to it.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counts of the requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests with a complete and correct response.
    pub answered: u64,
    /// Number of requests that were refused and certainly not executed.
    pub refused_not_run: u64,
    /// Number of requests without a response that may have been executed.
    pub unknown: u64,
    /// Number of responses with the wrong content or length, or for another request.
    pub wrong: u64,
    /// Number of responses from another service.
    pub wrong_service: u64,
}

/// Counts of the requests that were sent in one second of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of these requests with a complete and correct response, whenever it arrived.
    pub answered: u64,
}

/// Result of a request as its caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestResult {
    /// The response is complete and correct.
    Answered,
    /// There is no response.
    Error(RequestError),
    /// The response is defective.
    Invalid(ResponseError),
}

/// Statistics of the load, shared by all callers.
#[derive(Default)]
pub struct LoadStatistics {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    counts: BTreeMap<RequestKind, RequestCounts>,
    latencies: BTreeMap<RequestKind, Histogram<u64>>,
    /// Counts by service and second of the run.
    per_second: BTreeMap<String, Vec<SecondCounts>>,
    edits: Vec<EditResult>,
    feeds: FeedCounts,
}

impl LoadStatistics {
    /// Records that a request is sent; `offset` is its planned time from the start of the load.
    pub(crate) fn record_sent(&self, kind: RequestKind, service: &str, offset: Duration) {
        let mut state = self.state.lock();
        state.counts.entry(kind).or_default().sent += 1;
        state.second_counts_mut(service, offset).sent += 1;
    }

    /// Records the result of a request; `offset` is its planned time from the start of the load.
    pub(crate) fn record_result(
        &self,
        kind: RequestKind,
        service: &str,
        offset: Duration,
        latency: Duration,
        result: RequestResult,
    ) {
        let mut state = self.state.lock();
        let counts = state.counts.entry(kind).or_default();
        match result {
            RequestResult::Answered => counts.answered += 1,
            RequestResult::Error(RequestError::NotExecuted) => counts.refused_not_run += 1,
            RequestResult::Error(RequestError::Unknown) => counts.unknown += 1,
            RequestResult::Invalid(ResponseError::InvalidContent) => counts.wrong += 1,
            RequestResult::Invalid(ResponseError::WrongService) => counts.wrong_service += 1,
        }
        if result == RequestResult::Answered {
            state.second_counts_mut(service, offset).answered += 1;
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            state
                .latency_histogram_mut(kind)
                .saturating_record(latency_us);
        }
    }

    /// Records the outcome that was reported to the caller of an edit.
    pub(crate) fn record_edit(&self, id: String, outcome: EditOutcome) {
        self.state.lock().edits.push(EditResult { id, outcome });
    }

    /// Updates the counts of the live feeds.
    pub(crate) fn update_feeds(&self, update: impl FnOnce(&mut FeedCounts)) {
        update(&mut self.state.lock().feeds);
    }

    /// Returns the counts of the requests of a kind.
    #[must_use]
    pub fn request_counts(&self, kind: RequestKind) -> RequestCounts {
        let state = self.state.lock();
        state.counts.get(&kind).copied().unwrap_or_default()
    }

    /// Returns the counts over all live feeds.
    #[must_use]
    pub fn feed_counts(&self) -> FeedCounts {
        self.state.lock().feeds
    }

    /// Returns all edits with the outcomes that were reported to their callers.
    #[must_use]
    pub fn edits(&self) -> Vec<EditResult> {
        self.state.lock().edits.clone()
    }

    /// Returns the request counts by service and second of the run.
    #[must_use]
    pub fn counts_per_second(&self) -> BTreeMap<String, Vec<SecondCounts>> {
        self.state.lock().per_second.clone()
    }

    /// Returns the latency histogram of the answered requests of a kind, in microseconds.
    #[must_use]
    pub fn latency_histogram(&self, kind: RequestKind) -> Option<Histogram<u64>> {
        self.state.lock().latencies.get(&kind).cloned()
    }
}

impl State {
    /// Returns the counts of a service in the second that contains `offset`.
    fn second_counts_mut(&mut self, service: &str, offset: Duration) -> &mut SecondCounts {
        let index = usize::try_from(offset.as_secs()).unwrap_or(usize::MAX);
        let seconds = self.per_second.entry(service.to_owned()).or_default();
        if seconds.len() <= index {
            seconds.resize(index + 1, SecondCounts::default());
        }
        &mut seconds[index]
    }

    /// Returns the latency histogram of a kind of request, which is created if needed.
    fn latency_histogram_mut(&mut self, kind: RequestKind) -> &mut Histogram<u64> {
        self.latencies.entry(kind).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .unwrap_or_else(|_| unreachable!("the histogram bounds are valid constants"))
        })
    }
}
