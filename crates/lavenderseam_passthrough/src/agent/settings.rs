//! Bounds of an agent.

use std::time::Duration;

/// Bounds of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between announcements to a balancer.
    pub announce: Duration,
    /// Time between announcements to a balancer that hasn't answered for `quiet`.
    pub retry: Duration,
    /// How long a balancer may be unheard before announcements to it become rare.
    pub quiet: Duration,
    /// How long a balancer may be unheard before it is forgotten.
    pub forget: Duration,
    /// How long ago a balancer was heard at most for the agent to say that it hears it: three
    /// answers to announcements.
    pub hears: Duration,
    /// Time between two questions for the balancers that a balancer knows: new ones greet the
    /// agents themselves.
    pub ask: Duration,
    /// How long the agent may be without any balancer before it looks them up in the store.
    pub alone: Duration,
    /// How long an opened flow may wait for the caller: callers give an opener up after 1.4 s.
    pub embryonic: Duration,
    /// How long an opened flow counts as work while the caller sends no request: a round trip to
    /// the caller, and a retransmission.
    pub opening: Duration,
    /// How long a flow may be silent: the longest idle time that operators order, and a margin.
    pub idle: Duration,
    /// How long a closed flow is still led to its backend server, which answers what is late.
    pub closed: Duration,
    /// How long the flows of an ended backend server are remembered: callers retransmit within
    /// 1.6 s.
    pub ended: Duration,
    /// Flows of ended backend servers that are remembered.
    pub ended_limit: usize,
    /// Flows held if the service names no limit.
    pub flows: usize,
    /// How long a request may be unanswered and still count as work.
    pub waiting: Duration,
    /// Requests for each slot, running and waiting, up to which an opener may queue: beyond it
    /// the wait is longer than a retry elsewhere.
    pub queue: u16,
    /// Openers a second that a cold backend server is given before its service's figure is known.
    pub cold_rate: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            announce: Duration::from_millis(400),
            retry: Duration::from_secs(3),
            quiet: Duration::from_secs(10),
            forget: Duration::from_secs(120),
            hears: Duration::from_millis(1_300),
            ask: Duration::from_secs(5),
            alone: Duration::from_millis(1_500),
            embryonic: Duration::from_millis(2_000),
            opening: Duration::from_millis(300),
            idle: Duration::from_secs(40),
            closed: Duration::from_secs(5),
            ended: Duration::from_secs(10),
            ended_limit: 16_384,
            flows: 65_536,
            waiting: Duration::from_secs(5),
            queue: 3,
            cold_rate: 5.0,
        }
    }
}
