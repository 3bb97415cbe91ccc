//! Balancer state machine: decides which agent receives a packet.
//!
//! 1. A packet of a known flow goes to the target that the flow was sent to before.
//! 2. A SYN goes to the target with the lowest fraction of its slots in use.
//! 3. A packet of an unknown flow is sent to a few targets, one after another; if none of them holds
//!    the flow, the balancer keeps the packet and asks all agents, because only they know.
//!
//! An agent that can't accept a packet returns it, and the balancer tries the next target. A caller
//! is reset only if the failure is certain: every target has rejected the SYN, or the backend
//! server that held the flow has terminated. All other cases are left to the caller's
//! retransmission.

mod agreement;
mod cache;
mod certainty;
mod checkpoint;
mod conclusion;
mod location;
mod opening;
mod out_of_service;
mod peers;
mod registrations;
mod resolution;
mod revalidation;
mod routes;
mod search;
mod searches;
mod settings;
mod silence;
mod target;
mod targets;
mod verdict;
mod verification;

use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::time::Instant;

use crate::desired::{
    CarriedOverDomains, DesiredState, OutOfServiceDomains, RegisteredAgent, RegisteredBalancers,
};
use crate::flow::Flow;
use crate::message::{
    Announcement, AttemptedTargets, FlowConfirmation, FlowReport, ForwardHeader, Hello,
    INCOMPLETE_TARGETS, LocationQuery, MAX_ATTEMPTED_TARGETS, Reason, RecordVersions, ReturnHeader,
    RunQuery, RunReply, ServiceId, TargetId, TargetSnapshot,
};
use crate::segment::Segment;
use agreement::Agreements;
use cache::FlowCache;
pub use certainty::Premises;
use checkpoint::Checkpoints;
pub use checkpoint::{Checkpoint, StoredFlow, TooManyFlows};
use out_of_service::OutOfService;
use peers::Peers;
use registrations::Registrations;
pub use resolution::{Resolution, SearchAction};
use revalidation::Revalidations;
use routes::Routes;
use searches::Searches;
pub use settings::Settings;
use silence::SilenceReports;
pub use targets::TargetCounts;
use targets::{AnnouncementEffect, Targets};
pub use verdict::{DiscardReason, Verdict};

/// Time between two ticks from which the process is assumed to have been suspended, so that its
/// state is stale.
const MAX_TICK_GAP: Duration = Duration::from_millis(1_000);

/// Maximum number of balancers that a message names, so that it fits into a datagram: an address takes
/// up to 7 bytes.
const MAX_NAMED_BALANCERS: usize = 200;
/// Maximum number of unheard agents that a balancer introduces itself to in one round of gossip, which
/// bounds its messages in a large fleet.
const MAX_INTRODUCTIONS_PER_ROUND: usize = 64;

/// Identity and addresses of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Failure domain of the balancer.
    pub domain: String,
    /// Address at which the balancer receives messages from other processes.
    pub address: SocketAddrV4,
    /// Address at which the balancer serves remote calls.
    pub rpc_address: SocketAddrV4,
}

/// Action that the balancer requests as time passes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send gossip to another balancer.
    Gossip {
        /// Balancer to send the gossip to.
        to: SocketAddrV4,
        /// Gossip to send.
        gossip: RecordVersions,
    },
    /// Fetch the records of another balancer.
    FetchRecords {
        /// Address for remote calls of the other balancer.
        rpc: SocketAddrV4,
    },
    /// Introduce this balancer to an agent.
    SendHello {
        /// Agent to contact.
        agent: SocketAddrV4,
        /// Message to send to the agent.
        hello: Hello,
    },
    /// Write to the store whether an agent still sends messages.
    ReportSilence {
        /// Address of the agent.
        agent: SocketAddrV4,
        /// `true` if the agent no longer sends messages.
        is_silent: bool,
    },
    /// Ask an agent which flows its target holds.
    QueryFlows {
        /// Agent to ask.
        agent: SocketAddrV4,
        /// Query to send.
        query: LocationQuery,
    },
    /// Report open flows to a balancer that collects them.
    ReportFlows {
        /// Balancer to send the report to.
        to: SocketAddrV4,
        /// Report to send.
        report: FlowReport,
    },
    /// Write the collected flows of a partition to the store.
    WriteCheckpoint {
        /// Number of the partition.
        partition: u32,
        /// Flows to write.
        checkpoint: Checkpoint,
    },
    /// Reports that a target was removed because its agent has sent no message for too long.
    AgentExpired {
        /// Address of the agent.
        agent: SocketAddrV4,
    },
}

/// Result of an announcement.
#[derive(Clone, Debug, PartialEq)]
pub struct AnnouncementOutcome {
    /// Reply to send to the agent.
    pub reply: Hello,
    /// `true` if the target is new, or its state, service or failure domain has changed.
    pub target_changed: bool,
    /// Questions about flows that the target may have lost.
    pub actions: Vec<SearchAction>,
}

/// State machine of one balancer.
#[derive(Debug)]
pub struct Balancer {
    identity: Identity,
    settings: Settings,
    desired_state: Option<DesiredState>,
    routes: Routes,
    out_of_service: OutOfService,
    targets: Targets,
    cache: FlowCache,
    searches: Searches,
    revalidations: Revalidations,
    checkpoints: Checkpoints,
    peers: Peers,
    agreements: Agreements,
    last_gossip: Instant,
    /// `true` if the last gossip told the others which targets are known here.
    offered_targets: bool,
    registrations: Registrations,
    silence: SilenceReports,
    /// Time of the first tick, or of the first tick after the process was suspended.
    running_since: Option<Instant>,
    last_tick: Instant,
    /// Time that the packet being handled spent in the receive queue.
    queue_delay: Duration,
}

impl Balancer {
    /// Creates a balancer with default settings.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self::with_settings(identity, Settings::default())
    }

    /// Creates a balancer with the given settings.
    #[must_use]
    pub fn with_settings(identity: Identity, settings: Settings) -> Self {
        Self {
            identity,
            desired_state: None,
            routes: Routes::default(),
            out_of_service: OutOfService::default(),
            targets: Targets::default(),
            cache: FlowCache::new(settings.flow_retention, settings.flow_cache_capacity),
            searches: Searches::default(),
            revalidations: Revalidations::default(),
            checkpoints: Checkpoints::default(),
            peers: Peers::default(),
            agreements: Agreements::default(),
            last_gossip: Instant::default(),
            offered_targets: false,
            registrations: Registrations::default(),
            silence: SilenceReports::default(),
            running_since: None,
            last_tick: Instant::default(),
            queue_delay: Duration::ZERO,
            settings,
        }
    }

    /// Sets the time that packets spend in the receive queue before they are read.
    pub fn set_queue_delay(&mut self, queue_delay: Duration) {
        self.queue_delay = queue_delay;
    }

    /// Sets the maximum age of a flow, for which the balancer remembers agents that send no message.
    pub fn set_max_flow_age(&mut self, max_flow_age: Duration) {
        let default = Settings::default().agent_expiry;
        self.settings.agent_expiry = max_flow_age.max(default);
    }

    /// Handles a packet from a caller.
    pub fn on_caller_packet(&mut self, segment: &Segment, now: Instant) -> Verdict {
        if self.desired_state.is_none() {
            return Verdict::Drop(DiscardReason::Unconfigured);
        }
        if segment.is_syn() {
            self.handle_syn(segment, now)
        } else if segment.flags.syn {
            Verdict::Drop(DiscardReason::Unexpected)
        } else {
            self.handle_segment(segment, now)
        }
    }

    /// Handles a packet that an agent returned.
    pub fn on_returned_packet(
        &mut self,
        segment: &Segment,
        returned: ReturnHeader,
        agent: SocketAddrV4,
        now: Instant,
    ) -> Verdict {
        let target_id = TargetId::new(agent);
        if let Some(target) = self.targets.get_mut(target_id) {
            target.on_load_report(returned.load, now);
            let may_queue = returned.header.attempted.may_queue;
            target.on_refusal(returned.reason, may_queue, &self.settings, now);
        }
        let mut attempted = returned.header.attempted;
        match returned.reason {
            Reason::Ended => return self.handle_terminated(segment, DiscardReason::Ended),
            Reason::NotHeld if !segment.is_syn() && self.is_confirmed_owner(segment, target_id) => {
                return self.handle_terminated(segment, DiscardReason::DeniedByOwner);
            }
            Reason::Busy => attempted.busy.push(target_id),
            _ => attempted.refused.push(target_id),
        }
        if segment.is_syn() {
            if attempted.len() >= MAX_ATTEMPTED_TARGETS {
                return Verdict::Drop(DiscardReason::HopLimit);
            }
            self.place(segment, attempted, now)
        } else {
            self.try_next_target(segment, &attempted, now)
        }
    }

    /// Handles an agent's confirmation that it holds a flow.
    pub fn on_flow_held(
        &mut self,
        confirmation: &FlowConfirmation,
        agent: SocketAddrV4,
        now: Instant,
    ) -> Vec<SearchAction> {
        let target_id = TargetId::new(agent);
        if let Some(target) = self.targets.get_mut(target_id) {
            target.on_load_report(confirmation.load, now);
        }
        let flow = confirmation.flow;
        let is_held = self.searches.holds(flow);
        self.confirm_owner(flow, target_id, now);
        let resolution = Resolution::Resume;
        let resolve = is_held.then_some(SearchAction::Resolve { flow, resolution });
        resolve.into_iter().collect()
    }

    /// Handles an announcement of an agent.
    pub fn on_announcement(
        &mut self,
        announcement: &Announcement,
        agent: SocketAddrV4,
        now: Instant,
    ) -> AnnouncementOutcome {
        let effect = self.targets.on_announcement(agent, announcement, now);
        let mut hello = self.hello(&announcement.service, &announcement.domain);
        if announcement.wants_balancers {
            hello.balancers = self.balancers(now);
        }
        AnnouncementOutcome {
            reply: hello,
            target_changed: effect == AnnouncementEffect::Changed,
            actions: self.start_revalidations(now),
        }
    }

    /// Answers an agent that asks whether an earlier run of it is known.
    #[must_use]
    pub fn on_run_query(&self, query: RunQuery, agent: SocketAddrV4) -> RunReply {
        let has_predecessor = self
            .targets
            .has_predecessor(TargetId::new(agent), query.run);
        RunReply {
            run: query.run,
            has_predecessor,
        }
    }

    /// Handles the message of an agent that denies flows that it doesn't know from now on, and asks it
    /// about those that it has confirmed.
    pub fn on_flows_known(&mut self, agent: SocketAddrV4, now: Instant) -> Vec<SearchAction> {
        self.targets.mark_restarted(TargetId::new(agent));
        self.start_revalidations(now)
    }

    /// Handles gossip of another balancer.
    pub fn on_gossip(&mut self, gossip: &RecordVersions, from: SocketAddrV4, now: Instant) {
        self.peers
            .on_gossip(from, gossip, self.identity.address, now);
        let own = self.gossip(now);
        self.peers.compare_records(gossip, &own, now);
    }

    /// Adds the address of another balancer.
    pub fn add_peer(&mut self, peer: SocketAddrV4, now: Instant) {
        if peer != self.identity.address {
            self.peers.insert(peer, now);
        }
    }

    /// Applies a desired state; returns `true` if it is newer than the current one.
    pub fn set_desired_state(&mut self, desired_state: DesiredState) -> bool {
        let held = self.desired_state.as_ref();
        if held.is_some_and(|held| !desired_state.is_newer_than(held)) {
            return false;
        }
        self.routes = Routes::new(&desired_state);
        self.desired_state = Some(desired_state);
        true
    }

    /// Applies a set of failure domains that are out of service; returns `true` if it is newer than
    /// the current one.
    pub fn set_out_of_service_domains(&mut self, out_of_service: OutOfServiceDomains) -> bool {
        self.out_of_service.apply(out_of_service)
    }

    /// Keeps failure domains out of service whose orders a restored store lacks; replaces those
    /// kept so far.
    pub fn carry_over_domains(&mut self, lost: CarriedOverDomains, now: Instant) {
        self.out_of_service.carry_over(lost, now);
    }

    /// Keeps failure domains out of service that another balancer keeps, unless this balancer has
    /// observed the restore of the store itself.
    pub fn carry_over_domains_of_peer(&mut self, lost: CarriedOverDomains, now: Instant) {
        self.out_of_service.carry_over_from_peer(lost, now);
    }

    /// Returns the state of all known targets, to be sent to other balancers.
    #[must_use]
    pub fn target_snapshots(&self, now: Instant) -> Vec<TargetSnapshot> {
        self.targets.snapshots(now)
    }

    /// Merges the targets that another balancer knows.
    pub fn merge_targets(&mut self, snapshots: &[TargetSnapshot], now: Instant) {
        self.targets.merge(snapshots, now);
    }

    /// Sets the agents that were registered after this balancer had started.
    pub fn set_registered_agents(&mut self, agents: &[RegisteredAgent]) {
        self.registrations = Registrations::new(agents);
        self.silence.set_registered(agents);
    }

    /// Applies the set of balancers that have registered with the store.
    pub fn set_registered_balancers(&mut self, registered: &RegisteredBalancers, now: Instant) {
        let mut balancers = registered.balancers.clone();
        balancers.remove(&self.identity.address);
        self.peers.set_registered(&balancers, now);
    }

    /// Advances timers and returns the actions that are due; to be called several times per second.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if now.since(self.last_tick) >= MAX_TICK_GAP {
            let was_suspended = self.running_since.replace(now).is_some();
            if was_suspended {
                // Agents may have registered in the meantime.
                self.registrations = Registrations::default();
            }
        }
        self.last_tick = now;
        self.out_of_service.expire(now);
        self.searches.expire(self.settings.max_search_age, now);
        let digest_lifetime = self.settings.agreement_lifetime;
        self.peers.expire_digests(digest_lifetime, now);
        let reports = self.silence_reports(now);
        let expired = self.targets.remove_expired(self.settings.agent_expiry, now);
        let mut actions: Vec<_> = expired
            .into_iter()
            .map(|agent| Action::AgentExpired { agent })
            .chain(reports)
            .collect();
        // The others wait for the agreement of balancers that know all targets.
        let offers_targets = self.offers_targets(now);
        let is_new_offer = offers_targets && !self.offered_targets;
        self.offered_targets = offers_targets;
        let interval_elapsed = now.since(self.last_gossip) >= self.settings.gossip_interval;
        if interval_elapsed || is_new_offer {
            self.last_gossip = now;
            actions.extend(self.introductions());
            actions.extend(self.introductions_to_unheard(now));
            let mut gossip = self.gossip(now);
            if !offers_targets {
                gossip.targets_digest = INCOMPLETE_TARGETS;
            }
            let own = self.identity.address;
            let interval = self.settings.gossip_interval;
            for to in self.peers.next_gossip_peers(own, interval, now) {
                let gossip = gossip.clone();
                actions.push(Action::Gossip { to, gossip });
            }
        }
        actions.extend(self.checkpoint_actions(now));
        if let Some(rpc) = self.peers.due_fetch(self.settings.fetch_delay, now) {
            actions.push(Action::FetchRecords { rpc });
        }
        actions
    }

    /// Returns `true` if the balancer can serve callers: it has a desired state and reaches a
    /// target that accepts flows.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        let is_serving = |target: &target::Target| target.is_serving(&self.settings, now);
        self.desired_state.is_some() && self.targets.iter().any(is_serving)
    }

    /// Returns `true` if no gossip of another balancer has arrived for some time, so that the
    /// balancer may know none that is running.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let silent_since = self.peers.last_gossip().max(self.running_since);
        silent_since.is_some_and(|since| now.since(since) >= self.settings.isolation_timeout)
    }

    /// Returns the current desired state.
    #[must_use]
    pub const fn desired_state(&self) -> Option<&DesiredState> {
        self.desired_state.as_ref()
    }

    /// Returns the failure domains that are out of service by the store's orders.
    #[must_use]
    pub const fn out_of_service_domains(&self) -> &OutOfServiceDomains {
        self.out_of_service.ordered()
    }

    /// Returns the failure domains that are out of service although the restored store lacks their
    /// orders.
    #[must_use]
    pub fn carried_over_domains(&self, now: Instant) -> CarriedOverDomains {
        self.out_of_service.carried_over(now)
    }

    /// Returns the number of balancers that seem to run, including this one.
    #[must_use]
    pub fn running_balancers(&self, now: Instant) -> usize {
        1 + self.peers.running(now).count()
    }

    /// Returns the targets of a new flow's service, counted by availability; used to explain a
    /// decision in logs.
    #[must_use]
    pub fn count_targets(&self, flow: Flow, now: Instant) -> TargetCounts {
        let Some(service) = self.routes.service_for(flow) else {
            return TargetCounts::default();
        };
        let is_out_of_service = |domain: &str| self.out_of_service.contains(domain);
        self.targets
            .count_by_availability(service, &self.settings, is_out_of_service, now)
    }

    /// Returns the number of flows whose owner is being searched for.
    #[must_use]
    pub fn searched_flows(&self) -> usize {
        self.searches.len()
    }

    /// Returns the number of cached flows.
    #[must_use]
    pub fn cached_flows(&self) -> usize {
        self.cache.len()
    }

    /// Builds the reply to an agent, without the list of balancers.
    fn hello(&self, service: &str, domain: &str) -> Hello {
        let desired_state = self.desired_state.as_ref();
        let service = desired_state.and_then(|desired_state| desired_state.services.get(service));
        Hello {
            balancers: Vec::new(),
            desired_revision: self.revision(),
            service_known: service.is_some(),
            out_domains_revision: self.out_of_service.ordered().revision,
            domain_out: self.out_of_service.contains(domain),
            cold_rate: service.and_then(|service| service.cold_rate),
            max_flows: service.and_then(|service| service.max_flows),
        }
    }

    /// Returns introductions to agents whose messages have reached only other balancers, so that
    /// these agents add this balancer.
    fn introductions(&self) -> Vec<Action> {
        let indirect = self
            .targets
            .iter()
            .filter(|target| target.is_known_indirectly());
        let introduce = |target: &target::Target| Action::SendHello {
            agent: target.agent,
            hello: self.hello(target.service_name(), &target.domain),
        };
        indirect.map(introduce).collect()
    }

    /// Returns introductions to registered agents that have sent no message since the start.
    ///
    /// An agent whose balancers have all been replaced finds new ones only by looking them up in the
    /// store, whose answer may be seconds old.
    fn introductions_to_unheard(&self, now: Instant) -> Vec<Action> {
        let Some(running_since) = self.running_since else {
            return Vec::new();
        };
        let uptime = now.since(running_since);
        if !self.settings.introduction_uptime.contains(&uptime) {
            return Vec::new();
        }
        // The service and failure domain of the agent aren't known yet, so this tells nothing of them.
        let hello = Hello {
            balancers: Vec::new(),
            desired_revision: Revision::default(),
            service_known: false,
            out_domains_revision: Revision::default(),
            domain_out: false,
            cold_rate: None,
            max_flows: None,
        };
        let unheard = self.registrations.unheard(&self.targets, running_since);
        let mut unheard: Vec<SocketAddrV4> = unheard.collect();
        let round = uptime.as_micros() / self.settings.gossip_interval.as_micros().max(1);
        let first = round as usize * MAX_INTRODUCTIONS_PER_ROUND % unheard.len().max(1);
        unheard.rotate_left(first);
        let introduce = |agent| Action::SendHello {
            agent,
            hello: hello.clone(),
        };
        let recipients = unheard.into_iter().take(MAX_INTRODUCTIONS_PER_ROUND);
        recipients.map(introduce).collect()
    }

    fn revision(&self) -> Revision {
        self.desired_state
            .as_ref()
            .map_or(Revision::default(), |desired_state| desired_state.revision)
    }

    /// Returns the versions of all records held here.
    fn gossip(&self, now: Instant) -> RecordVersions {
        RecordVersions {
            desired_revision: self.revision(),
            out_domains_revision: self.out_of_service.ordered().revision,
            targets_digest: self.targets.digest(),
            rpc_address: Some(self.identity.rpc_address),
            balancers: self.balancers(now),
        }
    }

    /// Returns the balancers that a message names: this one, and as many others that run as fit.
    fn balancers(&self, now: Instant) -> Vec<SocketAddrV4> {
        let own = std::iter::once(self.identity.address);
        own.chain(self.peers.named(MAX_NAMED_BALANCERS - 1, now))
            .collect()
    }

    /// Handles a packet of a flow that certainly has ended.
    fn handle_terminated(&mut self, segment: &Segment, reason: DiscardReason) -> Verdict {
        self.cache.remove(segment.flow);
        if segment.flags.rst {
            return Verdict::Drop(reason);
        }
        Verdict::Reset(reason)
    }

    fn forward(
        &self,
        target: TargetId,
        service: ServiceId,
        attempted: AttemptedTargets,
        wants_confirmation: bool,
    ) -> Option<Verdict> {
        let agent = self.targets.get(target)?.agent;
        let header = ForwardHeader {
            service,
            wants_confirmation,
            attempted,
        };
        Some(Verdict::Forward { agent, header })
    }
}
