//! Load estimates of the targets, and the choice of a target for a new flow.
//!
//! The choice is between the two highest-ranked targets of the flow. Retransmitted opening packets
//! of one flow may reach balancers with slightly different load estimates, which should make the
//! same choice. Instead of comparing the loads with a threshold, a balancer therefore moves a
//! share of the flows from the first target to the second. The share grows with the difference of
//! the loads, and the hash of a flow determines whether the flow is part of it. Two balancers make
//! different choices only for the flows between their two shares.
//!
//! A target that doesn't answer opening packets while other targets do is suspected to have
//! failed: it gets no new flows for [`SUSPECT_PERIOD`], and then a single one as a probe.

use std::collections::HashMap;
use std::time::Duration;

use crate::flow::{Key, order};
use crate::id::Tag;
use crate::rank;
use crate::time::Instant;
use crate::view::{Candidate, Service, View};

/// Ratio of the moved share of flows to the relative load difference.
const SHARE_GAIN: u64 = 1;
/// Denominator of shares, which are in thousandths.
const SHARE_DENOMINATOR: u64 = 1_000;
/// Number of unanswered opening packets after which a target can become suspect.
const SUSPECT_THRESHOLD_OPENERS: u32 = 3;
/// How long a suspect target gets no new flows.
const SUSPECT_PERIOD: Duration = Duration::from_secs(2);
/// Cost of one hint in budget units, which are millionths of a hint.
const HINT_COST: u64 = 1_000_000;
/// Salt that makes the hash for moving flows independent of the one for ranking targets.
const SHARE_SALT: u64 = 0x7368_6172_6564;

/// Failure detection state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// No opening packet is unanswered.
    Responsive,
    /// Opening packets are unanswered, the first of them since `since`.
    Waiting { since: Instant, unanswered: u32 },
    /// The target is suspected to have failed and gets no new flows.
    Suspect { since: Instant },
    /// One opening packet was sent to a suspect target as a probe.
    Probing { since: Instant },
}

#[derive(Clone, Copy, Debug)]
struct TargetLoad {
    /// Number of open flows in the last report of the target.
    reported_flows: Option<u32>,
    /// Number of new flows sent to the target since that report.
    new_flows: u32,
    health: Health,
}

/// Load estimates and failure detection state of all targets, and the hint budgets.
#[derive(Clone, Debug)]
pub(crate) struct Loads {
    targets: HashMap<Tag, TargetLoad>,
    answer_timeout: Duration,
    last_answer_at: Instant,
    /// Budget of hint requests for opening packets.
    opener_hints: HintBudget,
    /// Budget of hint requests for packets of flows with an unknown owner.
    lookup_hints: HintBudget,
}

/// Token bucket for hint requests, with a capacity of one second's rate.
#[derive(Clone, Copy, Debug)]
struct HintBudget {
    hints_per_second: u32,
    /// Remaining hints, in millionths.
    available: u64,
    refilled_at: Instant,
}

impl Loads {
    pub(super) fn new(answer_timeout: Duration, hints_per_second: u32) -> Self {
        Self {
            targets: HashMap::new(),
            answer_timeout,
            last_answer_at: Instant::default(),
            opener_hints: HintBudget::new(hints_per_second),
            lookup_hints: HintBudget::new(hints_per_second),
        }
    }

    /// Records that a target has answered, with its number of open flows if known.
    pub(super) fn record_answer(&mut self, target: Tag, flows: Option<u32>, now: Instant) {
        self.last_answer_at = self.last_answer_at.max(now);
        let load = self.targets.entry(target).or_default();
        load.health = Health::Responsive;
        if flows.is_some() {
            load.reported_flows = flows;
            load.new_flows = 0;
        }
    }

    pub(super) fn retain(&mut self, view: &View) {
        self.targets
            .retain(|tag, _| view.target_by_tag(*tag).is_some());
    }

    /// Returns `true` if a hint is to be requested for a packet of a flow with an unknown owner.
    ///
    /// Most of these packets reach the owner directly, so no hint is sent for them. The budget is
    /// therefore charged only when the hint arrives.
    pub(super) fn requests_lookup_hint(&mut self, now: Instant) -> bool {
        self.lookup_hints.allows(now)
    }

    /// Charges the budget for a hint that was sent for a forwarded packet.
    pub(super) fn charge_lookup_hint(&mut self) {
        self.lookup_hints.charge();
    }

    /// Chooses a target for an opening packet, and whether to request a hint from it.
    /// `unresponsive` is a target that didn't answer an earlier opening packet of the flow.
    pub(super) fn choose<'a>(
        &mut self,
        flow: Key,
        service: &'a Service,
        unresponsive: Option<Tag>,
        now: Instant,
    ) -> Option<(&'a Candidate, bool)> {
        let target = self.pick_target(flow, service, unresponsive, now)?;
        self.count_new_flow(target.tag);
        // A probe of a suspect target needs an answer, so it requests a hint even when the budget
        // is exhausted.
        let is_probe = self.is_suspect(target.tag);
        let requests_hint = self.opener_hints.allows(now) || is_probe;
        if requests_hint {
            self.opener_hints.charge();
            self.record_opener(target.tag, now);
        }
        Some((target, requests_hint))
    }

    fn pick_target<'a>(
        &mut self,
        flow: Key,
        service: &'a Service,
        unresponsive: Option<Tag>,
        now: Instant,
    ) -> Option<&'a Candidate> {
        let is_excluded =
            |loads: &mut Self, tag| Some(tag) == unresponsive || loads.is_failing(tag, now);
        let Some(first) = order::first_new_flow_target(service, flow, |tag| is_excluded(self, tag))
        else {
            return order::first_new_flow_target(service, flow, |tag| Some(tag) == unresponsive)
                .or_else(|| order::first_new_flow_target(service, flow, |_| false));
        };
        let excluded = |tag| tag == first.tag || is_excluded(self, tag);
        let Some(second) = order::first_new_flow_target(service, flow, excluded) else {
            return Some(first);
        };
        let moved = self.moved_share(service, first.tag, second.tag);
        let position = rank::score(flow.fold_u64(), SHARE_SALT) % SHARE_DENOMINATOR;
        Some(if position < moved { second } else { first })
    }

    /// Returns the share of the flows of `first` that are moved to `second`, in thousandths.
    fn moved_share(&self, service: &Service, first: Tag, second: Tag) -> u64 {
        let (Some(first), Some(second)) =
            (self.estimated_flows(first), self.estimated_flows(second))
        else {
            return 0;
        };
        let candidates = service.candidates.iter().filter(|c| c.accepts_new_flows());
        let (sum, count) = candidates
            .filter_map(|candidate| self.estimated_flows(candidate.tag))
            .fold((0, 0), |(sum, count), flows| (sum + flows, count + 1));
        let excess = first.saturating_sub(second);
        let mean = (sum / count.max(1)).max(1);
        (excess * SHARE_GAIN * SHARE_DENOMINATOR / mean).min(SHARE_DENOMINATOR)
    }

    /// Returns the estimated number of open flows of a target: those reported plus those sent
    /// since.
    fn estimated_flows(&self, target: Tag) -> Option<u64> {
        let load = self.targets.get(&target)?;
        Some(u64::from(load.reported_flows?) + u64::from(load.new_flows))
    }

    /// Counts a new flow of a target. Otherwise all new flows of a burst would be moved by the same
    /// stale load difference, and overload one target.
    fn count_new_flow(&mut self, target: Tag) {
        let load = self.targets.entry(target).or_default();
        load.new_flows = load.new_flows.saturating_add(1);
    }

    fn record_opener(&mut self, target: Tag, now: Instant) {
        let load = self.targets.entry(target).or_default();
        load.health = match load.health {
            Health::Responsive => Health::Waiting {
                since: now,
                unanswered: 1,
            },
            // A flow that all targets refuse leaves its opening packet unanswered too. These
            // packets are rare, so the count starts again if the limit isn't reached in time.
            Health::Waiting { since, unanswered }
                if unanswered < SUSPECT_THRESHOLD_OPENERS && now.since(since) >= SUSPECT_PERIOD =>
            {
                Health::Waiting {
                    since: now,
                    unanswered: 1,
                }
            }
            Health::Waiting { since, unanswered } => Health::Waiting {
                since,
                unanswered: unanswered.saturating_add(1),
            },
            Health::Suspect { .. } | Health::Probing { .. } => Health::Probing { since: now },
        };
    }

    fn is_suspect(&self, target: Tag) -> bool {
        let load = self.targets.get(&target);
        load.is_some_and(|load| matches!(load.health, Health::Suspect { .. }))
    }

    /// Returns `true` if a target currently gets no new flows because it doesn't answer; updates
    /// its state if a timeout has passed.
    fn is_failing(&mut self, target: Tag, now: Instant) -> bool {
        let last_answer_at = self.last_answer_at;
        let answer_timeout = self.answer_timeout;
        let Some(load) = self.targets.get_mut(&target) else {
            return false;
        };
        match load.health {
            Health::Responsive => false,
            Health::Waiting { since, unanswered } => {
                let timed_out = now.since(since) >= answer_timeout && last_answer_at > since;
                let suspect = timed_out && unanswered >= SUSPECT_THRESHOLD_OPENERS;
                if suspect {
                    load.health = Health::Suspect { since: now };
                }
                suspect
            }
            Health::Suspect { since } => now.since(since) < SUSPECT_PERIOD,
            Health::Probing { since } => {
                if now.since(since) >= answer_timeout {
                    load.health = Health::Suspect { since: now };
                }
                true
            }
        }
    }
}

impl HintBudget {
    fn new(hints_per_second: u32) -> Self {
        Self {
            hints_per_second,
            available: u64::from(hints_per_second) * HINT_COST,
            refilled_at: Instant::default(),
        }
    }

    fn allows(&mut self, now: Instant) -> bool {
        let refill = now.since(self.refilled_at).as_micros() * u128::from(self.hints_per_second);
        let capacity = u64::from(self.hints_per_second) * HINT_COST;
        self.available = u64::try_from(refill)
            .unwrap_or(capacity)
            .saturating_add(self.available)
            .min(capacity);
        self.refilled_at = self.refilled_at.max(now);
        self.available >= HINT_COST
    }

    fn charge(&mut self) {
        self.available = self.available.saturating_sub(HINT_COST);
    }
}

impl Default for TargetLoad {
    fn default() -> Self {
        Self {
            reported_flows: None,
            new_flows: 0,
            health: Health::Responsive,
        }
    }
}
