//! Report of a run with all its measures.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Report of a run. Its measures come from the stand-ins and the callers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Name of the experiment.
    pub experiment: String,
    /// Description of what the experiment shows.
    pub about: String,
    /// Name of the deployment.
    pub deployment: String,
    /// System under test: `lavenderseam` or a baseline.
    pub system: String,
    /// Seed of the load and the stand-ins.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Number of flows that were established.
    pub flows_opened: u64,
    /// Number of flows that could not be established.
    pub flows_failed: u64,
    /// Number of established flows that ended although neither side closed them, except those in
    /// `flows_given_up`.
    pub flows_broken: u64,
    /// Number of established flows that ended although neither side closed them, in a failure
    /// domain that operators had taken out of service.
    pub flows_given_up: u64,
    /// Number of requests sent.
    pub requests_sent: u64,
    /// Number of requests with a complete and correct response.
    pub answered: u64,
    /// Number of requests that were refused and certainly not executed.
    pub refused_not_run: u64,
    /// Number of requests without a response that may have been executed.
    pub outcome_unknown: u64,
    /// Number of responses with the wrong content or length or for another request, and of edits
    /// that were answered although they were not executed.
    pub answers_wrong: u64,
    /// Number of responses from another service, and of events that came from another service or
    /// could not be parsed.
    pub wrong_service: u64,
    /// Number of attempts at requests beyond the first.
    pub retries: u64,
    /// Number of edits that were executed more than once.
    pub ran_twice: u64,
    /// Number of edits that were executed although they were reported as not executed.
    pub refused_but_ran: u64,
    /// Number of edits with unknown outcome that were executed.
    pub unknown_ran: u64,
    /// Counts over all live feeds.
    pub feeds: FeedReport,
    /// Ratio of the highest to the mean number of requests per target, by service.
    pub imbalance: BTreeMap<String, f64>,
    /// As `imbalance`, but only over the targets that no fault affected.
    pub imbalance_untouched: BTreeMap<String, f64>,
    /// Work of each target.
    pub targets: Vec<TargetWork>,
    /// Highest ratio of concurrent work to capacity on a cold backend server.
    pub overload_peak: f64,
    /// Number of times that a backend server failed from overload.
    pub falls: u64,
    /// Longest time from taking a failure domain out of service to its last activity (a packet from
    /// one of its agents, or a request at one of its backend servers), in milliseconds.
    pub packets_to_domain_out_ms: u64,
    /// Longest time from the drain of a target, or the stop of its agent, to the last new work at
    /// the target, in milliseconds.
    pub new_work_to_leaving_ms: u64,
    /// Longest time until a change by an operator was in force at a daemon that was reachable
    /// meanwhile, in milliseconds.
    pub config_in_force_ms: u64,
    /// Number of times that a record went back to an earlier revision at a daemon.
    pub config_reverts: u64,
    /// Number of edits by racing operators that were lost.
    pub race_lost: u64,
    /// Duration of the longest graceful stop, in milliseconds.
    pub longest_stop_ms: u64,
    /// Graceful stops after which the process exited with a code other than 0 or by a signal.
    pub stops_failed: Vec<String>,
    /// Names of the processes that exited although no fault of the schedule ended them.
    pub crashed: Vec<String>,
    /// Share of the requests sent that were answered.
    pub served_share: f64,
    /// Share of the requests sent in each second that were answered.
    pub served_share_per_second: Vec<f64>,
    /// Share of the requests sent in each second that the available targets had the capacity to
    /// answer.
    pub capacity_share_per_second: Vec<f64>,
    /// Latency percentiles by kind of request.
    pub latency: BTreeMap<String, LatencyPercentiles>,
    /// Bytes per second exchanged with the object API, by IP address of the client; clients that
    /// don't bind an address share the loopback address.
    pub store_bytes_per_second: BTreeMap<String, f64>,
    /// TCP payload bytes per second of remote calls and of the object API, by process.
    pub control_bytes_per_second: BTreeMap<String, f64>,
    /// Requests per second to the object API.
    pub store_calls_per_second: f64,
    /// Number of requests that the object API throttled.
    pub store_throttled: u64,
    /// Number of packets that the fabric forwarded to each balancer.
    pub packets_to_balancers: BTreeMap<String, u64>,
    /// Faults as they were carried out.
    pub faults: Vec<FaultReport>,
    /// Expectations and whether they were met.
    pub expectations: Vec<ExpectationResult>,
}

/// Counts over all live feeds of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReport {
    /// Number of feeds that were subscribed to.
    pub opened: u64,
    /// Number of times that a feed moved to another flow.
    pub moved: u64,
    /// Number of events received.
    pub events: u64,
    /// Number of events missed.
    pub gaps: u64,
    /// Number of events received more than once.
    pub repeats: u64,
    /// Longest time without an event, in milliseconds.
    pub longest_silence_ms: u64,
}

/// Work of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWork {
    /// Name of the target.
    pub target: String,
    /// Name of the target's service.
    pub service: String,
    /// Name of the target's failure domain.
    pub domain: String,
    /// Number of requests that the target executed.
    pub requests: u64,
}

/// Latency percentiles of the answered requests of one kind, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyPercentiles {
    /// Number of requests answered.
    pub count: u64,
    /// Median latency.
    pub p50: f64,
    /// 90th percentile of the latency.
    pub p90: f64,
    /// 99th percentile of the latency.
    pub p99: f64,
    /// 99.9th percentile of the latency.
    pub p999: f64,
    /// Highest latency.
    pub max: f64,
}

/// A fault and when it was in effect; times are in milliseconds from the start of the load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultReport {
    /// Action and subject of the fault.
    pub fault: String,
    /// Time at which the fault was scheduled to begin.
    pub at_ms: u64,
    /// Time at which the fault took effect.
    pub from_ms: Option<u64>,
    /// Time at which the fault was undone.
    pub until_ms: Option<u64>,
    /// Reason why the fault could not be carried out.
    pub failed: Option<String>,
}

/// An expectation and whether it was met.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExpectationResult {
    /// Name of the measure.
    pub measure: String,
    /// Bound that the measure must meet.
    pub expected: String,
    /// Measured value; NaN if no measure has the name.
    pub value: f64,
    /// `true` if the value meets the bound.
    pub holds: bool,
}

impl RunReport {
    /// Returns the value of a measure by its name in experiment files; `None` if no measure has the
    /// name.
    #[must_use]
    pub fn measure_value(&self, name: &str) -> Option<f64> {
        let from_count = |count: u64| Some(count as f64);
        match name {
            "flows_opened" => from_count(self.flows_opened),
            "flows_broken" => from_count(self.flows_broken),
            "flows_given_up" => from_count(self.flows_given_up),
            "requests_sent" => from_count(self.requests_sent),
            "answered" => from_count(self.answered),
            "refused_not_run" => from_count(self.refused_not_run),
            "outcome_unknown" => from_count(self.outcome_unknown),
            "answers_wrong" => from_count(self.answers_wrong),
            "ran_twice" => from_count(self.ran_twice),
            "refused_but_ran" => from_count(self.refused_but_ran),
            "wrong_service" => from_count(self.wrong_service),
            "imbalance" => Some(self.imbalance.values().copied().fold(0.0, f64::max)),
            "overload_peak" => Some(self.overload_peak),
            "packets_to_domain_out_ms" => from_count(self.packets_to_domain_out_ms),
            "new_work_to_leaving_ms" => from_count(self.new_work_to_leaving_ms),
            "config_in_force_ms" => from_count(self.config_in_force_ms),
            "config_reverts" => from_count(self.config_reverts),
            "served_share" => Some(self.served_share),
            "feed_gaps" => from_count(self.feeds.gaps),
            "feed_repeats" => from_count(self.feeds.repeats),
            "feed_silence_ms" => from_count(self.feeds.longest_silence_ms),
            "race_lost" => from_count(self.race_lost),
            "stops_failed" => from_count(self.stops_failed.len() as u64),
            "crashed" => from_count(self.crashed.len() as u64),
            _ => None,
        }
    }

    /// Returns `true` if all expectations were met.
    #[must_use]
    pub fn expectations_hold(&self) -> bool {
        self.expectations
            .iter()
            .all(|expectation| expectation.holds)
    }
}

impl LatencyPercentiles {
    /// Returns the percentiles of a histogram of latencies in microseconds.
    #[must_use]
    pub fn new(histogram: &Histogram<u64>) -> Self {
        let value_at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            count: histogram.len(),
            p50: value_at(0.5),
            p90: value_at(0.9),
            p99: value_at(0.99),
            p999: value_at(0.999),
            max: histogram.max() as f64 / 1e3,
        }
    }
}
