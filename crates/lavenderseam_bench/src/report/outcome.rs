//! Everything that a run has measured.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Everything that a run has measured; the stand-ins and the callers have counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Name of the experiment.
    pub experiment: String,
    /// What it shows.
    pub about: String,
    /// Deployment.
    pub deployment: String,
    /// What was measured: `lavenderseam`, or the baseline.
    pub system: String,
    /// Seed.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Flows established.
    pub flows_opened: u64,
    /// Flows that could not be established.
    pub flows_failed: u64,
    /// Established flows that ended although neither side ended them.
    pub flows_broken: u64,
    /// As `flows_broken`, but in a failure domain that operators had taken out.
    pub flows_given_up: u64,
    /// Requests sent.
    pub requests_sent: u64,
    /// Requests answered whole and right.
    pub answered: u64,
    /// Requests refused that surely did not run.
    pub refused_not_run: u64,
    /// Requests without an answer that may have run.
    pub outcome_unknown: u64,
    /// Answers wrong in content, length or request, and edits answered that did not run.
    pub answers_wrong: u64,
    /// Answers and events that came from another service.
    pub wrong_service: u64,
    /// Attempts at requests beyond the first.
    pub retries: u64,
    /// Edits that ran more than once.
    pub ran_twice: u64,
    /// Edits that ran although their caller was told that they did not.
    pub refused_but_ran: u64,
    /// Edits with unknown outcome that ran.
    pub unknown_ran: u64,
    /// Live feeds.
    pub feeds: Feeds,
    /// Most over mean work of a service's targets, by service.
    pub imbalance: BTreeMap<String, f64>,
    /// As `imbalance`, over the targets that no fault touched.
    pub imbalance_untouched: BTreeMap<String, f64>,
    /// Work by target.
    pub targets: Vec<TargetWork>,
    /// Most concurrent work on a cold backend server over what it bore.
    pub overload_peak: f64,
    /// Times that a backend server fell over.
    pub falls: u64,
    /// Time from the order to take a failure domain out to its last sign of work: a packet from
    /// one of its agents, or a request at one of its backend servers. In milliseconds.
    pub packets_to_domain_out_ms: u64,
    /// Time from the order to leave to the last new work at the target, in milliseconds.
    pub new_work_to_leaving_ms: u64,
    /// Longest time until an order was in force at a daemon that answered all along, in
    /// milliseconds.
    pub config_in_force_ms: u64,
    /// Times that a record went back at a daemon.
    pub config_reverts: u64,
    /// Edits of racing operators that were lost.
    pub race_lost: u64,
    /// Longest planned stop, in milliseconds.
    pub longest_stop_ms: u64,
    /// Planned stops with an exit code other than 0.
    pub stops_failed: Vec<String>,
    /// Processes that ended although nothing ended them.
    pub crashed: Vec<String>,
    /// Of the requests sent, the share answered.
    pub served_share: f64,
    /// Of the requests sent in each second, the share answered.
    pub served_share_per_second: Vec<f64>,
    /// In each second, the share of the requests that the targets left could have answered.
    pub capacity_share_per_second: Vec<f64>,
    /// Latencies by kind of request.
    pub latency: BTreeMap<String, Latency>,
    /// Bytes a second exchanged with the object API, by the caller's IP address; callers that
    /// don't bind one share the loopback address.
    pub store_bytes_per_second: BTreeMap<String, f64>,
    /// Bytes a second of remote calls and of the object API over TCP, by process.
    pub control_bytes_per_second: BTreeMap<String, f64>,
    /// Calls a second at the object API.
    pub store_calls_per_second: f64,
    /// Calls that the object API refused for their rate.
    pub store_throttled: u64,
    /// Packets that the fabric handed to each balancer.
    pub packets_to_balancers: BTreeMap<String, u64>,
    /// Faults as they were carried out.
    pub faults: Vec<Marked>,
    /// Expectations and whether they hold.
    pub expectations: Vec<Checked>,
}

/// Counts of the live feeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feeds {
    /// Feeds followed.
    pub opened: u64,
    /// Times that a feed moved to another flow.
    pub moved: u64,
    /// Events received.
    pub events: u64,
    /// Events missed.
    pub gaps: u64,
    /// Events received again.
    pub repeats: u64,
    /// Longest time without an event, in milliseconds.
    pub longest_silence_ms: u64,
}

/// Work of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWork {
    /// Name.
    pub target: String,
    /// Its service.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Requests that ran.
    pub requests: u64,
}

/// Latencies, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Requests answered.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Longest.
    pub max: f64,
}

/// A fault on the time axis; times are in milliseconds from the start of the load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marked {
    /// What was done.
    pub fault: String,
    /// When it was due.
    pub at_ms: u64,
    /// When it took hold.
    pub from_ms: Option<u64>,
    /// When it was undone.
    pub until_ms: Option<u64>,
    /// Why it could not be carried out.
    pub failed: Option<String>,
}

/// An expectation and whether it holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Checked {
    /// Measure.
    pub measure: String,
    /// What is expected.
    pub expected: String,
    /// What was measured.
    pub value: f64,
    /// Whether it holds.
    pub holds: bool,
}

impl Outcome {
    /// A measure by its name; none if no measure has the name.
    #[must_use]
    pub fn measure(&self, name: &str) -> Option<f64> {
        let count = |number: u64| Some(number as f64);
        match name {
            "flows_opened" => count(self.flows_opened),
            "flows_broken" => count(self.flows_broken),
            "flows_given_up" => count(self.flows_given_up),
            "requests_sent" => count(self.requests_sent),
            "answered" => count(self.answered),
            "refused_not_run" => count(self.refused_not_run),
            "outcome_unknown" => count(self.outcome_unknown),
            "answers_wrong" => count(self.answers_wrong),
            "ran_twice" => count(self.ran_twice),
            "refused_but_ran" => count(self.refused_but_ran),
            "wrong_service" => count(self.wrong_service),
            "imbalance" => Some(self.imbalance.values().copied().fold(0.0, f64::max)),
            "overload_peak" => Some(self.overload_peak),
            "packets_to_domain_out_ms" => count(self.packets_to_domain_out_ms),
            "new_work_to_leaving_ms" => count(self.new_work_to_leaving_ms),
            "config_in_force_ms" => count(self.config_in_force_ms),
            "config_reverts" => count(self.config_reverts),
            "served_share" => Some(self.served_share),
            "feed_gaps" => count(self.feeds.gaps),
            "feed_repeats" => count(self.feeds.repeats),
            "feed_silence_ms" => count(self.feeds.longest_silence_ms),
            "race_lost" => count(self.race_lost),
            "stops_failed" => count(self.stops_failed.len() as u64),
            "crashed" => count(self.crashed.len() as u64),
            _ => None,
        }
    }

    /// Whether all expectations hold.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.expectations.iter().all(|checked| checked.holds)
    }
}

impl Latency {
    /// Percentiles of a histogram in microseconds.
    #[must_use]
    pub fn new(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / 1e3,
        }
    }
}
