//! State of one target, as announced by its agent.

use std::net::SocketAddrV4;

use lavenderseam_core::rank::score;
use lavenderseam_core::time::Instant;

use super::Settings;
use super::targets::FlowRequest;
use crate::message::{Announcement, Load, Reason, ServiceId, TargetId, TargetState};

/// State of a target, as announced by its agent.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Address of the target's agent.
    pub(crate) agent: SocketAddrV4,
    /// Identifier of the target.
    pub(crate) id: TargetId,
    /// Identifier of the target's service.
    pub(crate) service: ServiceId,
    /// Name of the target's service.
    pub(super) service_name: String,
    /// Failure domain of the target.
    pub(crate) domain: String,
    /// State of the target.
    pub(crate) state: TargetState,
    /// Time of the last message from the target's agent.
    pub(crate) last_message_at: Instant,
    pub(super) load: Load,
    pub(super) run: u64,
    /// `true` if an earlier run of the agent was known, which may have let flows through.
    pub(super) has_predecessor: bool,
    pub(super) sequence: u64,
    /// `true` if the agent receives messages from this balancer.
    pub(super) receives_from_balancer: bool,
    /// `true` if this balancer, and not only another one, has received a message from the agent.
    pub(super) received_directly: bool,
    /// Time at which the first SYN was sent that is still unanswered.
    unanswered_since: Option<Instant>,
    /// `true` if SYNs have remained unanswered for too long; cleared by any message from the
    /// target.
    pub(super) unresponsive: bool,
    /// Time until which the target is assumed to have no free slot.
    pub(super) busy_until: Instant,
    /// Time until which the target is assumed to reject flows, even for its queue.
    pub(super) rejects_until: Instant,
    /// Estimated number of flows sent to the target that no load report covers yet, as of
    /// `unreported_at`.
    unreported_flows: f32,
    unreported_at: Instant,
}

impl Target {
    pub(super) fn new(agent: SocketAddrV4, announcement: &Announcement, now: Instant) -> Self {
        Self {
            agent,
            id: TargetId::new(agent),
            service: ServiceId::new(&announcement.service),
            service_name: announcement.service.clone(),
            domain: announcement.domain.clone(),
            state: announcement.state,
            last_message_at: now,
            load: announcement.load,
            run: announcement.run,
            has_predecessor: false,
            sequence: announcement.sequence,
            receives_from_balancer: announcement.hears_recipient,
            received_directly: true,
            unanswered_since: None,
            unresponsive: false,
            busy_until: Instant::default(),
            rejects_until: Instant::default(),
            unreported_flows: 0.0,
            unreported_at: now,
        }
    }

    pub(super) fn announcement(&self) -> Announcement {
        Announcement {
            run: self.run,
            sequence: self.sequence,
            service: self.service_name.clone(),
            domain: self.domain.clone(),
            state: self.state,
            load: self.load,
            hears_recipient: false,
            wants_balancers: false,
        }
    }

    /// Returns the name of the target's service.
    pub(crate) fn service_name(&self) -> &str {
        &self.service_name
    }

    /// Returns `true` if the agent has sent a message to this balancer since `since`.
    pub(crate) fn has_sent_since(&self, since: Instant) -> bool {
        self.received_directly && self.last_message_at >= since
    }

    /// Returns `true` if only other balancers have received messages from the agent.
    pub(crate) fn is_known_indirectly(&self) -> bool {
        !self.received_directly
    }

    /// Applies a load report, which also shows that the target is responsive.
    pub(crate) fn on_load_report(&mut self, load: Load, now: Instant) {
        self.load = load;
        self.unreported_flows = 0.0;
        self.on_response(now);
    }

    /// Records that the target rejected a flow.
    pub(crate) fn on_refusal(
        &mut self,
        reason: Reason,
        may_queue: bool,
        settings: &Settings,
        now: Instant,
    ) {
        match reason {
            Reason::Busy if !may_queue => self.busy_until = now + settings.no_free_slot_hold,
            Reason::Busy | Reason::Cold | Reason::Full | Reason::Shed => {
                self.rejects_until = now + settings.rejection_hold;
            }
            _ => {}
        }
    }

    /// Records that the target is responsive.
    pub(crate) fn on_response(&mut self, now: Instant) {
        self.last_message_at = now;
        self.unanswered_since = None;
        self.unresponsive = false;
    }

    /// Records a SYN sent to the target.
    pub(crate) fn on_syn_sent(&mut self, settings: &Settings, now: Instant) {
        self.unreported_flows = self.estimated_unreported(settings, now) + 1.0;
        self.unreported_at = now;
        self.unanswered_since.get_or_insert(now);
    }

    /// Records the retransmission of a SYN that was sent to the target; returns `true` if the
    /// target has become unresponsive.
    pub(crate) fn on_syn_retransmitted(&mut self, settings: &Settings, now: Instant) -> bool {
        let waited = self.unanswered_since.map(|since| now.since(since));
        if waited.is_some_and(|waited| waited >= settings.response_timeout) {
            self.unresponsive = true;
        }
        self.unresponsive
    }

    /// Returns `true` if the target may not respond.
    pub(crate) fn is_suspect(&self, settings: &Settings, now: Instant) -> bool {
        self.unresponsive
            || !self.receives_from_balancer
            || now.since(self.last_message_at) >= settings.suspect_after
    }

    /// Returns `true` if the target accepts flows and is reachable.
    pub(crate) fn is_serving(&self, settings: &Settings, now: Instant) -> bool {
        self.state == TargetState::Ready
            && self.receives_from_balancer
            && now.since(self.last_message_at) < settings.unready_after
    }

    fn estimated_unreported(&self, settings: &Settings, now: Instant) -> f32 {
        let decayed = now.since(self.unreported_at).as_secs_f32()
            / settings.unreported_lifetime.as_secs_f32();
        self.unreported_flows * (1.0 - decayed).max(0.0)
    }

    /// Returns the placement cost of the target: the fraction of its slots in use, plus costs for
    /// properties that make it a worse choice.
    pub(super) fn cost(&self, request: &FlowRequest<'_>, settings: &Settings, now: Instant) -> f32 {
        let slots = f32::from(self.load.slots.max(1));
        let busy = f32::from(self.load.busy_slots)
            .midpoint(f32::from(self.load.mean_busy_hundredths) / 100.0);
        let mut cost = (busy + self.estimated_unreported(settings, now)) / slots;
        if self.load.cold_flows_left.is_some() {
            cost += settings.cold_cost;
        }
        if self.load.cold_flows_left == Some(0) {
            cost += settings.cold_cost;
        }
        if self.domain != request.domain {
            cost += settings.cross_domain_cost;
        }
        // The highest rank is best, as in the search for the owner of a flow.
        let rank = score(request.flow.rendezvous_key(), u64::from(self.id.0)) >> 40;
        cost + settings.rank_cost * (1.0 - rank as f32 / (1u32 << 24) as f32)
    }
}
