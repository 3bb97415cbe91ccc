//! What a balancer knows of the targets' loads, and the choice for a new flow.
//!
//! The choice is between the two targets that rank first for the flow. Repeated openers of one
//! flow may reach balancers that know slightly different loads, and they should choose alike. So
//! there is no threshold: the share of flows that leave their first target for the second grows
//! with the difference of the loads, and the flow's own hash says which flows belong to it. Two
//! balancers disagree only on the flows between their two shares.
//!
//! A target that leaves openers unanswered while others answer is suspect: it is offered no new
//! flows for a while, and then a single one as a trial.

use std::collections::HashMap;
use std::time::Duration;

use crate::flow::{Key, order};
use crate::id::Tag;
use crate::rank;
use crate::time::Instant;
use crate::view::{Candidate, Service, View};

/// Share of flows moved per difference of the loads, relative to their mean.
const GAIN: u64 = 1;
/// Denominator of shares.
const WHOLE: u64 = 1_000;
/// Openers that must stay unanswered before a target is suspect.
const UNANSWERED_LIMIT: u32 = 3;
/// How long a suspect is offered no new flows.
const SUSPICION: Duration = Duration::from_secs(2);
/// A hint in units of the budget.
const HINT: u64 = 1_000_000;
/// Distinguishes the hash that selects moved flows from the one that ranks targets.
const SHARE_SALT: u64 = 0x7368_6172_6564;

/// Whether a target answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trust {
    /// Nothing is unanswered.
    Answers,
    /// Openers have been unanswered since the first of them.
    Waiting { since: Instant, unanswered: u32 },
    /// It is offered no new flows.
    Suspect { since: Instant },
    /// One opener was sent to see whether it answers again.
    Trial { since: Instant },
}

#[derive(Clone, Copy, Debug)]
struct Load {
    /// Open flows as last told.
    flows: Option<u32>,
    /// New flows sent since then.
    sent: u32,
    trust: Trust,
}

/// What a balancer knows of the targets' loads.
#[derive(Clone, Debug)]
pub(crate) struct Loads {
    targets: HashMap<Tag, Load>,
    silence: Duration,
    answered: Instant,
    /// For openers.
    openers: Budget,
    /// For packets that walked.
    walks: Budget,
}

/// Hints that may be asked for; refills steadily up to what a second allows.
#[derive(Clone, Copy, Debug)]
struct Budget {
    rate: u32,
    /// Hints left, in millionths.
    left: u64,
    refilled: Instant,
}

impl Loads {
    pub(super) fn new(silence: Duration, hint_rate: u32) -> Self {
        Self {
            targets: HashMap::new(),
            silence,
            answered: Instant::default(),
            openers: Budget::new(hint_rate),
            walks: Budget::new(hint_rate),
        }
    }

    /// Notes an answer of a target, with its open flows if told.
    pub(super) fn answered(&mut self, target: Tag, flows: Option<u32>, now: Instant) {
        self.answered = self.answered.max(now);
        let load = self.targets.entry(target).or_default();
        load.trust = Trust::Answers;
        if flows.is_some() {
            load.flows = flows;
            load.sent = 0;
        }
    }

    pub(super) fn retain(&mut self, view: &View) {
        self.targets.retain(|tag, _| view.target(*tag).is_some());
    }

    /// Whether the owner of a packet that may walk is asked for a hint. Most packets don't walk
    /// and draw none, so the budget is charged when the hint comes.
    pub(super) fn asks_of_walk(&mut self, now: Instant) -> bool {
        self.walks.allows(now)
    }

    /// Notes that a packet that walked has drawn a hint.
    pub(super) fn walked(&mut self) {
        self.walks.charge();
    }

    /// Chooses a target for an opener, and whether to ask it for a hint; `silent` has left an
    /// earlier one unanswered.
    pub(super) fn choose<'a>(
        &mut self,
        flow: Key,
        service: &'a Service,
        silent: Option<Tag>,
        now: Instant,
    ) -> Option<(&'a Candidate, bool)> {
        let target = self.pick(flow, service, silent, now)?;
        self.count(target.tag);
        // A trial of a suspect makes no sense without an answer.
        let trial = self.is_suspect(target.tag);
        let asks = self.openers.allows(now) || trial;
        if asks {
            self.openers.charge();
            self.sent(target.tag, now);
        }
        Some((target, asks))
    }

    fn pick<'a>(
        &mut self,
        flow: Key,
        service: &'a Service,
        silent: Option<Tag>,
        now: Instant,
    ) -> Option<&'a Candidate> {
        let avoided = |loads: &mut Self, tag| Some(tag) == silent || loads.is_avoided(tag, now);
        let Some(first) = order::first_taker(service, flow, |tag| avoided(self, tag)) else {
            return order::first_taker(service, flow, |tag| Some(tag) == silent)
                .or_else(|| order::first_taker(service, flow, |_| false));
        };
        let excluded = |tag| tag == first.tag || avoided(self, tag);
        let Some(second) = order::first_taker(service, flow, excluded) else {
            return Some(first);
        };
        let moved = self.moved_share(service, first.tag, second.tag);
        let place = rank::score(flow.word(), SHARE_SALT) % WHOLE;
        Some(if place < moved { second } else { first })
    }

    /// Share of the flows of `first` that go to `second`, in thousandths.
    fn moved_share(&self, service: &Service, first: Tag, second: Tag) -> u64 {
        let (Some(first), Some(second)) = (self.flows(first), self.flows(second)) else {
            return 0;
        };
        let known = service.candidates.iter().filter(|c| c.takes_flows());
        let (sum, count) = known
            .filter_map(|candidate| self.flows(candidate.tag))
            .fold((0, 0), |(sum, count), flows| (sum + flows, count + 1));
        let excess = first.saturating_sub(second);
        let mean = (sum / count.max(1)).max(1);
        (excess * GAIN * WHOLE / mean).min(WHOLE)
    }

    /// Open flows of a target: those told and those sent since.
    fn flows(&self, target: Tag) -> Option<u64> {
        let load = self.targets.get(&target)?;
        Some(u64::from(load.flows?) + u64::from(load.sent))
    }

    /// Counts a new flow. Without the count, all new flows of a burst would follow the same stale
    /// difference to one target.
    fn count(&mut self, target: Tag) {
        let load = self.targets.entry(target).or_default();
        load.sent = load.sent.saturating_add(1);
    }

    fn sent(&mut self, target: Tag, now: Instant) {
        let load = self.targets.entry(target).or_default();
        load.trust = match load.trust {
            Trust::Answers => Trust::Waiting {
                since: now,
                unanswered: 1,
            },
            // Callers that all targets refuse leave openers unanswered too, but few and far between.
            Trust::Waiting { since, unanswered }
                if unanswered < UNANSWERED_LIMIT && now.since(since) >= SUSPICION =>
            {
                Trust::Waiting {
                    since: now,
                    unanswered: 1,
                }
            }
            Trust::Waiting { since, unanswered } => Trust::Waiting {
                since,
                unanswered: unanswered.saturating_add(1),
            },
            Trust::Suspect { .. } | Trust::Trial { .. } => Trust::Trial { since: now },
        };
    }

    fn is_suspect(&self, target: Tag) -> bool {
        let load = self.targets.get(&target);
        load.is_some_and(|load| matches!(load.trust, Trust::Suspect { .. }))
    }

    /// Whether a target is left out for now because it doesn't answer.
    fn is_avoided(&mut self, target: Tag, now: Instant) -> bool {
        let answered = self.answered;
        let silence = self.silence;
        let Some(load) = self.targets.get_mut(&target) else {
            return false;
        };
        match load.trust {
            Trust::Answers => false,
            Trust::Waiting { since, unanswered } => {
                let silent = now.since(since) >= silence && answered > since;
                let suspect = silent && unanswered >= UNANSWERED_LIMIT;
                if suspect {
                    load.trust = Trust::Suspect { since: now };
                }
                suspect
            }
            Trust::Suspect { since } => now.since(since) < SUSPICION,
            Trust::Trial { since } => {
                if now.since(since) >= silence {
                    load.trust = Trust::Suspect { since: now };
                }
                true
            }
        }
    }
}

impl Budget {
    fn new(rate: u32) -> Self {
        Self {
            rate,
            left: u64::from(rate) * HINT,
            refilled: Instant::default(),
        }
    }

    fn allows(&mut self, now: Instant) -> bool {
        let refill = now.since(self.refilled).as_micros() * u128::from(self.rate);
        let full = u64::from(self.rate) * HINT;
        self.left = u64::try_from(refill)
            .unwrap_or(full)
            .saturating_add(self.left)
            .min(full);
        self.refilled = self.refilled.max(now);
        self.left >= HINT
    }

    fn charge(&mut self) {
        self.left = self.left.saturating_sub(HINT);
    }
}

impl Default for Load {
    fn default() -> Self {
        Self {
            flows: None,
            sent: 0,
            trust: Trust::Answers,
        }
    }
}
