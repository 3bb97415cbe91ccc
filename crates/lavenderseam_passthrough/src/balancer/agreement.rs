//! Agreement with the other balancers about the targets that exist.
//!
//! A balancer that opened a flow knows its target. So a balancer knows the target of each flow if every
//! other one that runs names the same targets as this one, in an answer to a question that was sent
//! after the flow had been opened. What another balancer said before may be outdated, and what a single
//! one says may be as incomplete as what this one knows.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::time::Instant;

use super::{Balancer, SearchAction};
use crate::message::{TargetsQuery, TargetsReply};

/// Time after which another balancer that hasn't answered, or knows other targets, is asked again.
pub(super) const QUESTION_INTERVAL: Duration = Duration::from_millis(50);

/// Last question to another balancer, and its last answer.
#[derive(Clone, Copy, Debug, Default)]
struct Exchange {
    question: Option<Question>,
    answer: Option<Answer>,
}

/// Question to another balancer.
#[derive(Clone, Copy, Debug)]
struct Question {
    /// Time at which the question was first sent; its number.
    asked_at: Instant,
    /// Time at which it was last sent.
    sent_at: Instant,
}

/// Answer of another balancer.
#[derive(Clone, Copy, Debug)]
struct Answer {
    /// Time at which the question was first sent.
    asked_at: Instant,
    /// Digest of the targets that the other balancer knows.
    digest: u64,
    /// `true` if the other balancer takes these for all that exist.
    is_complete: bool,
}

/// Questions to the other balancers and their answers.
#[derive(Debug, Default)]
pub(super) struct Agreements {
    exchanges: BTreeMap<SocketAddrV4, Exchange>,
}

/// Answers of the balancers that run, counted by whether they agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Opinions {
    /// Balancers that know the same targets as this one.
    pub(super) agreeing: usize,
    /// Balancers that know other targets.
    pub(super) differing: usize,
    /// Balancers that haven't answered.
    pub(super) unanswered: usize,
    /// `true` if one of those that agree takes these targets for all that exist.
    is_complete: bool,
    /// Time of the oldest question whose answer agrees.
    asked_at: Option<Instant>,
}

impl Exchange {
    /// Returns the question to send now, if the last answer doesn't show that the other balancer knew
    /// the targets with this digest after `since`.
    fn take_due(&mut self, digest: u64, since: Instant, now: Instant) -> Option<TargetsQuery> {
        let agrees = |answer: Answer| answer.digest == digest && answer.asked_at >= since;
        if self.answer.is_some_and(agrees) {
            return None;
        }
        let recent = self.question.filter(|question| question.asked_at >= since);
        if recent.is_some_and(|question| now.since(question.sent_at) < QUESTION_INTERVAL) {
            return None;
        }
        let is_answered = |question: &Question| {
            self.answer
                .is_some_and(|it| it.asked_at == question.asked_at)
        };
        let repeated = recent.filter(|question| !is_answered(question));
        let asked_at = repeated.map_or(now, |question| question.asked_at);
        self.question = Some(Question {
            asked_at,
            sent_at: now,
        });
        Some(TargetsQuery { number: asked_at.0 })
    }
}

impl Agreements {
    /// Records an answer; returns `false` if it belongs to no question, or to an earlier one.
    fn on_reply(&mut self, from: SocketAddrV4, reply: &TargetsReply) -> bool {
        let Some(exchange) = self.exchanges.get_mut(&from) else {
            return false;
        };
        let number = reply.number;
        let question = exchange.question;
        let Some(question) = question.filter(|question| question.asked_at.0 == number) else {
            return false;
        };
        exchange.answer = Some(Answer {
            asked_at: question.asked_at,
            digest: reply.digest,
            is_complete: reply.is_complete,
        });
        true
    }

    /// Counts the last answers of balancers, by whether these know the targets with this digest.
    fn opinions(&self, balancers: impl Iterator<Item = SocketAddrV4>, digest: u64) -> Opinions {
        let mut opinions = Opinions::default();
        for balancer in balancers {
            let exchange = self.exchanges.get(&balancer);
            match exchange.and_then(|exchange| exchange.answer) {
                None => opinions.unanswered += 1,
                Some(answer) if answer.digest != digest => opinions.differing += 1,
                Some(answer) => {
                    opinions.agreeing += 1;
                    opinions.is_complete |= answer.is_complete;
                    let oldest = opinions.asked_at.unwrap_or(answer.asked_at);
                    opinions.asked_at = Some(oldest.min(answer.asked_at));
                }
            }
        }
        opinions
    }
}

impl Opinions {
    /// Returns the time after which all balancers were asked, if all of them agree.
    pub(super) fn agreed_since(&self) -> Option<Instant> {
        let is_unanimous = self.differing == 0 && self.unanswered == 0;
        self.asked_at.filter(|_| is_unanimous && self.is_complete)
    }

    /// Returns the time of the oldest question whose answer agrees.
    pub(super) const fn oldest(&self) -> Option<Instant> {
        self.asked_at
    }
}

impl Balancer {
    /// Answers another balancer that asks which targets are known here.
    pub fn on_targets_query(
        &mut self,
        query: TargetsQuery,
        from: SocketAddrV4,
        now: Instant,
    ) -> TargetsReply {
        self.peers.on_message(from, now);
        TargetsReply {
            number: query.number,
            digest: self.targets.digest(),
            is_complete: self.offers_targets(now),
        }
    }

    /// Handles the answer of another balancer that was asked which targets it knows.
    pub fn on_targets_reply(
        &mut self,
        reply: &TargetsReply,
        from: SocketAddrV4,
        now: Instant,
    ) -> Vec<SearchAction> {
        self.peers.on_message(from, now);
        let mut actions = Vec::new();
        let is_answer = self.agreements.on_reply(from, reply);
        if is_answer && self.opinions(now).agreed_since().is_some() {
            self.reconsider_uncertain(now, &mut actions);
        }
        actions
    }

    /// Returns what the other balancers that run said about the targets known here.
    pub(super) fn opinions(&self, now: Instant) -> Opinions {
        let balancers = self.peers.awaited(self.settings.min_uptime, now);
        self.agreements.opinions(balancers, self.targets.digest())
    }

    /// Asks the other balancers that run, unless they have agreed in an answer to a question that was
    /// sent after `since`.
    pub(super) fn ask_balancers(
        &mut self,
        since: Instant,
        now: Instant,
        actions: &mut Vec<SearchAction>,
    ) {
        let digest = self.targets.digest();
        let balancers: Vec<SocketAddrV4> =
            self.peers.awaited(self.settings.min_uptime, now).collect();
        let exchanges = &mut self.agreements.exchanges;
        exchanges.retain(|balancer, _| balancers.contains(balancer));
        for balancer in balancers {
            let exchange = exchanges.entry(balancer).or_default();
            if let Some(query) = exchange.take_due(digest, since, now) {
                actions.push(SearchAction::AskBalancer { balancer, query });
            }
        }
    }
}
