//! The bounded cache of owners: set-associative, each set with a clock hand.
//!
//! All memory is allocated up front and a look-up touches one set, so a decision allocates nothing.

use crate::flow::{Hint, Key};
use crate::id::Tag;
use crate::time::Instant;

/// Flows that compete for the same places.
const WAYS: usize = 8;

/// What the balancer knows of a cached flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum State {
    /// An opener was sent to the owner, which hasn't answered.
    #[default]
    Tentative,
    /// The owner has told so.
    Embryonic,
    /// The owner has told that the caller follows it.
    Established,
    /// Another opener has been sent to the owner since it told so.
    Doubted,
}

/// A cached flow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Line {
    pub(super) owner: Tag,
    pub(super) state: State,
    /// When the owner was first asked for a hint; meaningful while tentative.
    pub(super) asked: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Place {
    flow: Option<Key>,
    line: Line,
    used: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Set {
    places: [Place; WAYS],
    hand: usize,
}

/// The bounded cache of owners.
#[derive(Clone, Debug)]
pub(crate) struct Cache {
    sets: Vec<Set>,
}

impl Line {
    pub(super) fn tentative(owner: Tag, asked: Option<Instant>) -> Self {
        Self {
            owner,
            state: State::Tentative,
            asked,
        }
    }

    /// Notes that another opener is sent to the owner, with a request for a hint.
    pub(super) fn repeat(&mut self, now: Instant) {
        if self.state == State::Tentative {
            self.asked = self.asked.or(Some(now));
        } else {
            // The owner may have forgotten the flow; its hint settles that.
            self.state = State::Doubted;
        }
    }

    pub(super) fn hinted(hint: &Hint) -> Self {
        let state = if hint.established {
            State::Established
        } else {
            State::Embryonic
        };
        Self {
            owner: hint.owner,
            state,
            asked: None,
        }
    }
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        let count = capacity.div_ceil(WAYS).max(1);
        Self {
            sets: vec![Set::default(); count],
        }
    }

    pub(super) fn get(&mut self, flow: Key) -> Option<Line> {
        self.get_mut(flow).map(|line| *line)
    }

    pub(super) fn get_mut(&mut self, flow: Key) -> Option<&mut Line> {
        let place = self
            .set(flow)
            .places
            .iter_mut()
            .find(|place| place.flow == Some(flow))?;
        place.used = true;
        Some(&mut place.line)
    }

    /// Adds or replaces a flow; in a full set it replaces one that wasn't used of late.
    ///
    /// A flow counts as used from its second packet on, so a burst of new flows displaces its own
    /// kind and not the flows in use.
    pub(super) fn insert(&mut self, flow: Key, line: Line) {
        let place = self.set(flow).place(flow);
        let used = place.flow == Some(flow);
        let flow = Some(flow);
        *place = Place { flow, line, used };
    }

    pub(super) fn len(&self) -> usize {
        let places = self.sets.iter().flat_map(|set| &set.places);
        places.filter(|place| place.flow.is_some()).count()
    }

    fn set(&mut self, flow: Key) -> &mut Set {
        let high = (flow.0 >> 64) as u64;
        let index = (high % self.sets.len() as u64) as usize;
        &mut self.sets[index]
    }
}

impl Set {
    fn place(&mut self, flow: Key) -> &mut Place {
        let holds = |place: &Place| place.flow == Some(flow);
        let free = |place: &Place| place.flow.is_none();
        let found = self.places.iter().position(holds);
        let index = found
            .or_else(|| self.places.iter().position(free))
            .unwrap_or_else(|| self.victim());
        &mut self.places[index]
    }

    /// Moves the hand to a place not used since it last passed.
    fn victim(&mut self) -> usize {
        loop {
            let index = self.hand;
            self.hand = (self.hand + 1) % WAYS;
            if !std::mem::take(&mut self.places[index].used) {
                return index;
            }
        }
    }
}
