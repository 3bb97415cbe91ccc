//! Which target a balancer last sent a flow to.
//!
//! Two tables take turns: a flow that is used moves to the young one, and what the old one still
//! holds when they change places is forgotten. So a flow is kept between one and two spans, and
//! no sweep is needed.

use std::time::Duration;

use lavenderseam_core::time::Instant;

use crate::flow::{Flow, Table};
use crate::message::Tag;

/// What is known about a flow's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// An opener was sent there.
    Opening,
    /// A packet of a flow with unknown owner was sent there.
    Searching,
    /// The caller has answered the target, or the agent holds the flow.
    Confirmed,
}

/// The target of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Line {
    /// The target.
    pub(crate) tag: Tag,
    /// What is known about it.
    pub(crate) state: State,
    /// When the flow was sent there first.
    pub(crate) since: Instant,
}

/// A table of flows that forgets those that fall silent.
#[derive(Debug)]
pub(crate) struct Cache {
    young: Table<Line>,
    old: Table<Line>,
    turned: Instant,
    span: Duration,
    limit: usize,
}

impl Cache {
    /// Keeps flows for `span` at least, and `limit` in each table at most.
    pub(crate) fn new(span: Duration, limit: usize) -> Self {
        Self {
            young: Table::default(),
            old: Table::default(),
            turned: Instant::default(),
            span,
            limit,
        }
    }

    /// The line of a flow, which stays young.
    pub(crate) fn get(&mut self, flow: Flow) -> Option<Line> {
        if let Some(line) = self.young.get(&flow) {
            return Some(*line);
        }
        let line = self.old.remove(&flow)?;
        self.young.insert(flow, line);
        Some(line)
    }

    /// Notes a line.
    pub(crate) fn insert(&mut self, flow: Flow, line: Line, now: Instant) {
        if now.since(self.turned) >= self.span || self.young.len() >= self.limit {
            self.turn(now);
        }
        self.young.insert(flow, line);
    }

    /// Forgets a flow.
    pub(crate) fn remove(&mut self, flow: Flow) {
        self.young.remove(&flow);
        self.old.remove(&flow);
    }

    /// Flows held.
    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    fn turn(&mut self, now: Instant) {
        self.turned = now;
        std::mem::swap(&mut self.young, &mut self.old);
        self.young.clear();
    }
}
