//! Timeouts, limits and placement weights of a balancer.

use std::ops::Range;
use std::time::Duration;

/// Timeouts, limits and placement weights of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Minimum time for which the target of an idle flow is cached; the owner of a flow that is idle
    /// for longer is searched for.
    pub flow_retention: Duration,
    /// Maximum number of flows in each of the cache's two generations.
    pub flow_cache_capacity: usize,
    /// Age of a flow from which its agent is asked to confirm that it holds the flow. Flows of a
    /// single request end sooner, and cost no confirmation.
    pub confirmation_delay: Duration,
    /// Time after which a target that hasn't answered a SYN counts as unresponsive, so that a
    /// retransmitted SYN goes to another target; callers retransmit after 200 ms.
    pub response_timeout: Duration,
    /// Time without a message from its agent after which a target is suspect and gets no new flows:
    /// three announcement intervals.
    pub suspect_after: Duration,
    /// Time without a message from any agent after which the balancer reports that it isn't ready,
    /// so that the network sends callers to another balancer; agents announce themselves at
    /// different times.
    pub unready_after: Duration,
    /// Time without a message after which an agent is removed; at least the maximum age of a flow,
    /// because a removed agent is no longer asked for flows.
    pub agent_expiry: Duration,
    /// Time between rounds of gossip with other balancers.
    pub gossip_interval: Duration,
    /// Time without gossip after which a balancer counts as isolated from all others.
    pub isolation_timeout: Duration,
    /// Time for which records may differ from those of another balancer before they are fetched;
    /// the store's watch or an agent's announcement usually brings them sooner.
    pub fetch_delay: Duration,
    /// Time between two reports of open flows, and between two writes of them; the requests of a
    /// flow that opens between the last write and a loss of power may be lost.
    pub checkpoint_interval: Duration,
    /// Uptime of a balancer from which it writes flows, so that every balancer has read the flows
    /// from before a stop of everything.
    pub min_uptime_to_checkpoint: Duration,
    /// Time for which the flows of a balancer that reports none are still written: longer than a
    /// restart of its VM takes, and about the time for which callers keep an idle flow.
    pub reported_flow_retention: Duration,
    /// Maximum number of flows that a balancer reports.
    pub max_reported_flows: usize,
    /// Number of balancers whose flows one record holds.
    pub balancers_per_checkpoint: usize,
    /// Placement cost of a target in another failure domain, as a fraction of its slots; crossing
    /// domains costs latency and traffic.
    pub cross_domain_cost: f32,
    /// Placement cost of a cold target, as a fraction of its slots.
    pub cold_cost: f32,
    /// Placement cost of a target that responds much faster than the other targets of its service,
    /// as a fraction of its slots; a backend server that fails every request looks like that.
    pub fast_response_cost: f32,
    /// Minimum ratio of the typical response time to that of such a target; the response times of
    /// healthy targets differ by less.
    pub fast_response_ratio: u16,
    /// Minimum typical response time for which the ratio is evaluated, in tenths of a millisecond;
    /// below it, a failure is hardly faster than a response.
    pub min_typical_response_tenths_ms: u16,
    /// One in this many flows ignores the cost of fast targets, to detect when they have recovered.
    pub flows_per_trial: u64,
    /// Maximum placement cost from the rendezvous ranking, as a fraction of a target's slots, so
    /// that balancers with the same view don't all choose the same target.
    pub rank_cost: f32,
    /// Maximum number of targets that a SYN is sent to for a free slot, and then for a place in a
    /// queue. Loads are known well enough that further attempts seldom succeed, and during an
    /// overload each attempt costs every process a message.
    pub max_attempts: usize,
    /// Time for which a target without a free slot is skipped: about the time in which one of a few
    /// slots becomes free.
    pub no_free_slot_hold: Duration,
    /// Time for which a target that refused to queue a flow is skipped: long enough that an
    /// overload costs few messages, and short compared to a caller's timeout.
    pub rejection_hold: Duration,
    /// Number of likely targets that a packet of an unknown flow is sent to before all agents are
    /// asked: enough for a lightly loaded service, whose flows are at the first targets in
    /// rendezvous order.
    pub max_search_visits: usize,
    /// Time after the restart of an agent for which all agents are asked at once: others may be restarted
    /// next, and a visit of a target without an agent loses the packet.
    pub visit_pause: Duration,
    /// Time for which flows are gathered for a location query if none was sent recently.
    pub query_gather_time: Duration,
    /// Minimum time between location queries for each target asked, which bounds the messages that
    /// searches cost.
    pub query_interval_per_target: Duration,
    /// Minimum time between verifications of flows for each target that gets a copy of the packet.
    pub verification_interval_per_target: Duration,
    /// Time that a flow waits for its verification before all agents are asked again.
    pub max_verification_wait: Duration,
    /// Time for which an agent that restarts may be silent. A search asks again about a flow for that long,
    /// before packets of the flow are sent to targets that don't answer.
    pub agent_restart_time: Duration,
    /// Time after which a location query or verification is repeated to the targets that haven't answered.
    pub query_retry_interval: Duration,
    /// Number of times that a location query or verification is sent to a target that doesn't
    /// answer.
    pub max_query_transmissions: u32,
    /// Time for which packets of a flow that all known targets have denied are kept while the
    /// balancer may not know all targets: callers give up most requests within it.
    pub uncertain_timeout: Duration,
    /// Time after which a search that waits for another packet of its caller is given up; callers
    /// retransmit within 1.6 s.
    pub max_search_age: Duration,
    /// Maximum number of flows whose owner is searched for at once.
    pub max_searches: usize,
    /// Minimum uptime of a balancer before it may conclude that no target holds a flow; agents that
    /// it doesn't know yet announce themselves within this time.
    pub min_uptime: Duration,
    /// Uptime during which a balancer introduces itself to the registered agents that it hasn't heard:
    /// from when those that know it have announced themselves, until it concludes without the others.
    pub introduction_uptime: Range<Duration>,
    /// Minimum uptime for the same conclusion if many registered agents have sent no message yet,
    /// because they are still starting.
    pub min_uptime_while_agents_start: Duration,
    /// Minimum uptime before a registered agent that was reported as silent, and has sent no message
    /// since the start, is taken to have failed: several intervals of announcements to a balancer
    /// that doesn't reply.
    pub min_uptime_with_silent_agents: Duration,
    /// Time without a message after which an agent is reported as silent: longer than a restart of
    /// its VM usually takes.
    pub silence_report_after: Duration,
    /// Number of registered agents for each one that may have failed for good; more missing ones
    /// are taken to be starting.
    pub targets_per_failed_agent: usize,
    /// Time for which gossip of another balancer that knows the same targets lets a starting balancer
    /// reject new flows: several rounds of gossip.
    pub agreement_lifetime: Duration,
    /// Minimum uptime for the same conclusion if the balancer knows no other balancer to compare
    /// its targets with.
    pub min_uptime_alone: Duration,
    /// Time in the receive queue from which new flows are rejected: half of the time after which
    /// callers retransmit a SYN, so that an admitted flow still opens in time.
    pub max_queue_delay: Duration,
    /// Time over which a flow sent to a target counts towards its load, unless a load report
    /// arrives first.
    pub unreported_lifetime: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            flow_retention: Duration::from_secs(16),
            flow_cache_capacity: 1 << 19,
            confirmation_delay: Duration::from_millis(500),
            response_timeout: Duration::from_millis(150),
            suspect_after: Duration::from_millis(1_300),
            unready_after: Duration::from_millis(800),
            agent_expiry: Duration::from_secs(60),
            gossip_interval: Duration::from_millis(500),
            isolation_timeout: Duration::from_secs(5),
            fetch_delay: Duration::from_millis(400),
            checkpoint_interval: Duration::from_secs(1),
            min_uptime_to_checkpoint: Duration::from_secs(10),
            reported_flow_retention: Duration::from_secs(15),
            max_reported_flows: 256,
            balancers_per_checkpoint: 16,
            cross_domain_cost: 0.35,
            cold_cost: 0.5,
            fast_response_cost: 3.0,
            fast_response_ratio: 8,
            min_typical_response_tenths_ms: 80,
            flows_per_trial: 64,
            rank_cost: 0.2,
            max_attempts: 3,
            no_free_slot_hold: Duration::from_millis(20),
            rejection_hold: Duration::from_millis(50),
            max_search_visits: 4,
            visit_pause: Duration::from_secs(5),
            query_gather_time: Duration::from_millis(2),
            query_interval_per_target: Duration::from_millis(1),
            verification_interval_per_target: Duration::from_micros(250),
            max_verification_wait: Duration::from_millis(200),
            agent_restart_time: Duration::from_millis(800),
            query_retry_interval: Duration::from_millis(60),
            max_query_transmissions: 4,
            uncertain_timeout: Duration::from_secs(2),
            max_search_age: Duration::from_secs(10),
            max_searches: 1 << 12,
            min_uptime: Duration::from_millis(1_200),
            introduction_uptime: Duration::from_millis(500)..Duration::from_secs(5),
            min_uptime_while_agents_start: Duration::from_secs(3),
            min_uptime_with_silent_agents: Duration::from_millis(500),
            silence_report_after: Duration::from_secs(5),
            targets_per_failed_agent: 20,
            agreement_lifetime: Duration::from_secs(3),
            min_uptime_alone: Duration::from_secs(3),
            max_queue_delay: Duration::from_millis(100),
            unreported_lifetime: Duration::from_millis(60),
        }
    }
}
