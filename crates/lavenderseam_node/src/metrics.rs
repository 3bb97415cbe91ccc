//! Counters and histograms, served as text.

use lavenderseam_passthrough::balancer::Cause;
use lavenderseam_passthrough::message::Reason;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::fmt::{self, Write};

use crate::http::{Answer, Request, Service};

/// Bounds of the latency histograms, in seconds: from a hop to a caller's longest time limit.
const LATENCIES: [f64; 10] = [0.0005, 0.001, 0.002, 0.005, 0.02, 0.05, 0.1, 0.25, 1.0, 5.0];

/// A label with a cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Word<T>(pub T);

/// Labels by cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByCause {
    /// Why.
    pub cause: Word<Cause>,
}

/// Labels by reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByReason {
    /// Why.
    pub reason: Word<Reason>,
}

/// The counters of a process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Packets taken in.
    pub packets: Counter,
    /// Openers among them.
    pub openers: Counter,
    /// Packets passed on.
    pub forwarded: Counter,
    /// Flows reset, by cause.
    pub resets: Family<ByCause, Counter>,
    /// Packets dropped, by cause.
    pub drops: Family<ByCause, Counter>,
    /// Packets that agents returned, by reason.
    pub returned: Family<ByReason, Counter>,
    /// Bytes that can't be read.
    pub malformed: Counter,
    /// Failures of sockets.
    pub socket_errors: Counter,
    /// Calls to the store that failed.
    pub store_errors: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Flows known.
    pub flows: Gauge,
    /// Flows that wait for the backend server.
    pub busy: Gauge,
    /// Time of a call to the store other than a watch, in seconds.
    pub store_seconds: Latency,
    /// Requests that the backend server ended without an answer.
    pub broken: Counter,
    /// Time until the backend server answered a request, in seconds.
    pub answer_seconds: Latency,
}

/// A histogram of latencies.
#[derive(Debug)]
pub struct Latency(pub Histogram);

impl Metrics {
    /// The text page of a process's metrics.
    #[must_use]
    pub fn page(&self) -> String {
        let mut registry = Registry::with_prefix("lavenderseam");
        registry.register("packets", "Packets taken in", self.packets.clone());
        registry.register("openers", "Openers taken in", self.openers.clone());
        registry.register("forwarded", "Packets passed on", self.forwarded.clone());
        registry.register("resets", "Flows reset", self.resets.clone());
        registry.register("drops", "Packets dropped", self.drops.clone());
        registry.register("returned", "Packets returned", self.returned.clone());
        registry.register("malformed", "Unreadable input", self.malformed.clone());
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
        registry.register("flows", "Flows known", self.flows.clone());
        registry.register("busy", "Flows that wait for an answer", self.busy.clone());
        let store = self.store_seconds.0.clone();
        registry.register("store_seconds", "Time of a call to the store", store);
        let broken = self.broken.clone();
        registry.register("broken", "Requests ended without an answer", broken);
        let answer = self.answer_seconds.0.clone();
        registry.register(
            "answer_seconds",
            "Time of a backend server's answer",
            answer,
        );
        let mut page = String::new();
        match encode(&mut page, &registry) {
            Ok(()) => page,
            Err(error) => format!("# metrics can't be written: {error}\n"),
        }
    }
}

impl Default for Latency {
    fn default() -> Self {
        Self(Histogram::new(LATENCIES))
    }
}

impl Service for Metrics {
    fn answer(&self, _: &Request) -> Answer {
        Answer::text(self.page())
    }
}

impl<T: fmt::Display> EncodeLabelValue for Word<T> {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        write!(encoder, "{}", self.0)
    }
}
