//! Timeouts and limits of an agent.

use std::time::Duration;

/// Timeouts and limits of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between announcements to a responsive balancer.
    pub announce_interval: Duration,
    /// Time between two heartbeats of a backend server that are acknowledged.
    pub heartbeat_interval: Duration,
    /// Time for which the agent waits for its registration before it admits flows without it.
    pub registration_timeout: Duration,
    /// Time between announcements to a balancer that has just become known and hasn't replied yet;
    /// it may be starting, too.
    pub introduction_interval: Duration,
    /// Time for which these announcements continue.
    pub introduction_period: Duration,
    /// Time between announcements to an unresponsive balancer.
    pub unresponsive_announce_interval: Duration,
    /// Time without a message after which a balancer counts as unresponsive.
    pub unresponsive_after: Duration,
    /// Time without a message after which a balancer is removed.
    pub balancer_expiry: Duration,
    /// Time since the last message of a balancer within which the agent announces that it receives
    /// the balancer's messages: three replies to announcements.
    pub receipt_window: Duration,
    /// Time between requests for the balancers that a balancer knows; new balancers also contact
    /// the agents themselves.
    pub balancer_query_interval: Duration,
    /// Time without a message from any balancer after which the agent looks balancers up in the
    /// store.
    pub lookup_after: Duration,
    /// Time that a half-open flow waits for the caller; callers give up a SYN after 1.4 s.
    pub handshake_timeout: Duration,
    /// Time for which a new flow counts as a pending request while the caller sends none: a round
    /// trip to the caller, and a retransmission.
    pub first_request_timeout: Duration,
    /// Time for which an idle flow is tracked: the maximum age of a flow.
    ///
    /// The idle timeout that operators configure may be raised while a flow is open, so it can't tell
    /// whether the backend server still holds the flow.
    pub max_flow_age: Duration,
    /// Time for which a closed flow is still tracked, so that its backend server can answer late
    /// packets.
    pub closed_flow_retention: Duration,
    /// Time for which the flows of a terminated backend server are remembered; callers retransmit
    /// within 1.6 s.
    pub ended_flow_retention: Duration,
    /// Maximum number of remembered flows of terminated backend servers.
    pub max_ended_flows: usize,
    /// Maximum number of flows if the service has no limit.
    pub default_max_flows: usize,
    /// Time after which an unanswered request no longer counts as pending.
    pub request_timeout: Duration,
    /// Maximum number of requests per slot, running and queued, when a flow may be queued: with a
    /// longer queue, the wait exceeds that of a retry at another target.
    pub max_requests_per_slot: u16,
    /// New flows per second that a cold backend server accepts while its service's limit is
    /// unknown.
    pub default_cold_rate: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            announce_interval: Duration::from_millis(400),
            heartbeat_interval: Duration::from_secs(1),
            registration_timeout: Duration::ZERO,
            introduction_interval: Duration::from_millis(100),
            introduction_period: Duration::from_secs(2),
            unresponsive_announce_interval: Duration::from_secs(3),
            unresponsive_after: Duration::from_secs(10),
            balancer_expiry: Duration::from_secs(120),
            receipt_window: Duration::from_millis(1_300),
            balancer_query_interval: Duration::from_secs(5),
            lookup_after: Duration::from_millis(1_500),
            handshake_timeout: Duration::from_millis(2_000),
            first_request_timeout: Duration::from_millis(300),
            max_flow_age: Duration::from_secs(3_600),
            closed_flow_retention: Duration::from_secs(5),
            ended_flow_retention: Duration::from_secs(10),
            max_ended_flows: 16_384,
            default_max_flows: 65_536,
            request_timeout: Duration::from_secs(5),
            max_requests_per_slot: 3,
            default_cold_rate: 5.0,
        }
    }
}
