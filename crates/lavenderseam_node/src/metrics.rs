//! Prometheus metrics of a process.

use lavenderseam_passthrough::balancer::DiscardReason;
use lavenderseam_passthrough::message::Reason;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::fmt::{self, Write};
use std::sync::atomic::AtomicU64;

use crate::http::{Request, Service, ServiceResponse};

/// Upper bounds of the latency histograms' buckets, in seconds: from one network hop to the longest
/// timeout of a caller.
const LATENCY_BUCKETS_SECONDS: [f64; 10] =
    [0.0005, 0.001, 0.002, 0.005, 0.02, 0.05, 0.1, 0.25, 1.0, 5.0];

/// Label value that is written as its `Display` text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DisplayLabel<T>(pub T);

/// Label set of metrics that are counted by cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    /// Why the balancer reset the flow or dropped the packet.
    pub cause: DisplayLabel<DiscardReason>,
}

/// Label set of metrics that are counted by reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Why the agent returned the packet.
    pub reason: DisplayLabel<Reason>,
}

/// Label set of metrics that are counted by kind of record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RecordLabel {
    /// Name of the kind.
    pub record: &'static str,
}

/// Label set of rejected heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RejectionLabel {
    /// Name of the reason for which an agent rejected the heartbeat.
    pub reason: &'static str,
}

/// Metrics of a process; each field is named as its metric, without the prefix.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Number of packets received: by a balancer from callers, by an agent from balancers.
    pub packets: Counter,
    /// Number of received packets that open a flow.
    pub openers: Counter,
    /// Number of packets forwarded to an agent or delivered to the backend server.
    pub forwarded: Counter,
    /// Number of resets sent to callers, by cause.
    pub resets: Family<CauseLabel, Counter>,
    /// Number of packets dropped, by cause.
    pub drops: Family<CauseLabel, Counter>,
    /// Number of packets that agents returned to balancers, by reason.
    pub returned: Family<ReasonLabel, Counter>,
    /// Number of packets that a balancer kept while it searched for the owners of their flows.
    pub held: Counter,
    /// Number of location queries that a balancer sent to agents, or an agent answered.
    pub location_queries: Counter,
    /// Number of questions to other balancers about the targets that they know.
    pub targets_queries: Counter,
    /// Number of questions of an agent to balancers about its earlier runs.
    pub run_queries: Counter,
    /// Number of copies of packets that a balancer sent to agents, or an agent received, to verify
    /// their flows.
    pub verifications: Counter,
    /// Number of inputs that could not be decoded, such as packets, messages and records.
    pub malformed: Counter,
    /// Number of readable heartbeats that an agent rejected, by reason.
    pub heartbeats_rejected: Family<RejectionLabel, Counter>,
    /// Number of failed operations on sockets.
    pub socket_errors: Counter,
    /// Number of requests to the store that failed.
    pub store_errors: Counter,
    /// Number of requests to the store.
    pub store_calls: Counter,
    /// Number of watches that were given up because fewer balancers run than at their start.
    pub watches_abandoned: Counter,
    /// Number of records that were ignored because a newer one is held, by kind.
    pub records_ignored: Family<RecordLabel, Counter>,
    /// Time since the store last answered a list or watch, in seconds, by kind.
    pub store_age_seconds: Family<RecordLabel, Gauge<f64, AtomicU64>>,
    /// Version number of the desired state in force; 0 if there is none.
    pub desired_version: Gauge,
    /// Number of the store revision of the desired state in force; 0 if there is none.
    pub desired_revision: Gauge,
    /// Number of times that the store was restored from a copy, as far as the process knows.
    pub store_epoch: Gauge,
    /// Number of flows that the process tracks.
    pub flows: Gauge,
    /// Number of flows that an agent no longer tracks because they were idle for the maximum age of a
    /// flow.
    pub expired: Counter,
    /// Number of request slots in use: by flows that wait for an answer, or by failed requests.
    pub busy: Gauge,
    /// Mean number of requests at the backend server, as counted from the packets of each flow.
    pub pending_mean: Gauge<f64, AtomicU64>,
    /// The same mean by Little's law: the response times of all requests answered in a second.
    pub answered_mean: Gauge<f64, AtomicU64>,
    /// Duration of requests to the store except watches, in seconds.
    pub store_seconds: LatencyHistogram,
    /// Number of requests whose flow the backend server ended without an answer.
    pub broken: Counter,
    /// Time from a request to the start of the backend server's answer, in seconds.
    pub answer_seconds: LatencyHistogram,
}

/// Histogram of latencies, in seconds.
#[derive(Debug)]
pub struct LatencyHistogram(pub Histogram);

impl Metrics {
    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode_text(&self) -> String {
        let mut registry = Registry::with_prefix("lavenderseam");
        registry.register("packets", "Packets taken in", self.packets.clone());
        registry.register("openers", "Openers taken in", self.openers.clone());
        registry.register("forwarded", "Packets passed on", self.forwarded.clone());
        registry.register("resets", "Flows reset", self.resets.clone());
        registry.register("drops", "Packets dropped", self.drops.clone());
        registry.register("returned", "Packets returned", self.returned.clone());
        registry.register("held", "Packets kept during a search", self.held.clone());
        registry.register(
            "location_queries",
            "Queries for the owners of flows",
            self.location_queries.clone(),
        );
        let targets_queries = self.targets_queries.clone();
        registry.register(
            "targets_queries",
            "Questions to balancers about their targets",
            targets_queries,
        );
        let run_queries = self.run_queries.clone();
        registry.register(
            "run_queries",
            "Questions to balancers about earlier runs of the agent",
            run_queries,
        );
        let verifications = self.verifications.clone();
        registry.register("verifications", "Copies to verify flows", verifications);
        registry.register("malformed", "Unreadable input", self.malformed.clone());
        registry.register(
            "heartbeats_rejected",
            "Heartbeats rejected",
            self.heartbeats_rejected.clone(),
        );
        registry.register(
            "socket_errors",
            "Socket failures",
            self.socket_errors.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register("store_errors", "Failed calls", self.store_errors.clone());
        registry.register(
            "watches_abandoned",
            "Watches given up early",
            self.watches_abandoned.clone(),
        );
        registry.register(
            "records_ignored",
            "Records older than those held",
            self.records_ignored.clone(),
        );
        registry.register(
            "store_age_seconds",
            "Time since the store's last answer",
            self.store_age_seconds.clone(),
        );
        registry.register(
            "desired_version",
            "Version of the desired state in force",
            self.desired_version.clone(),
        );
        registry.register(
            "desired_revision",
            "Revision of the desired state in force",
            self.desired_revision.clone(),
        );
        registry.register(
            "store_epoch",
            "Restores of the store from a copy",
            self.store_epoch.clone(),
        );
        registry.register("flows", "Flows known", self.flows.clone());
        registry.register(
            "expired",
            "Idle flows no longer tracked",
            self.expired.clone(),
        );
        registry.register("busy", "Flows that wait for an answer", self.busy.clone());
        registry.register(
            "pending_mean",
            "Mean requests at the backend server, counted",
            self.pending_mean.clone(),
        );
        registry.register(
            "answered_mean",
            "Mean requests at the backend server, by Little's law",
            self.answered_mean.clone(),
        );
        let store_histogram = self.store_seconds.0.clone();
        registry.register(
            "store_seconds",
            "Time of a call to the store",
            store_histogram,
        );
        let broken = self.broken.clone();
        registry.register("broken", "Requests ended without an answer", broken);
        let answer_histogram = self.answer_seconds.0.clone();
        registry.register(
            "answer_seconds",
            "Time of a backend server's answer",
            answer_histogram,
        );
        let mut text = String::new();
        match encode(&mut text, &registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics can't be written: {error}\n"),
        }
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self(Histogram::new(LATENCY_BUCKETS_SECONDS))
    }
}

impl Service for Metrics {
    fn handle(&self, _: &Request) -> ServiceResponse {
        ServiceResponse::prometheus_text(self.encode_text())
    }
}

impl<T: fmt::Display> EncodeLabelValue for DisplayLabel<T> {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        write!(encoder, "{}", self.0)
    }
}
