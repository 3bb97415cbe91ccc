//! Bounded cache from flow to owner: set-associative, with CLOCK eviction in each set.
//!
//! All memory is allocated up front and a lookup accesses a single set, so routing a packet doesn't
//! allocate.

use crate::flow::{Hint, Key};
use crate::id::Tag;
use crate::time::Instant;

/// Number of entries per set.
const WAYS: usize = 8;

/// How certain the balancer is of the owner of a cached flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum State {
    /// An opening packet was forwarded to the target, which hasn't sent a hint yet.
    #[default]
    Tentative,
    /// A hint named the owner, and the flow isn't established yet.
    Embryonic,
    /// A hint named the owner and reported the flow as established.
    Established,
    /// Another opening packet was forwarded to the owner after its hint, so the owner may have lost
    /// the flow.
    Unverified,
}

/// Cached owner of a flow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CacheEntry {
    pub(super) owner: Tag,
    pub(super) state: State,
    /// When a hint was first requested from the owner; only used while the state is tentative.
    pub(super) hint_requested_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    flow: Option<Key>,
    entry: CacheEntry,
    used: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Set {
    slots: [Slot; WAYS],
    clock_hand: usize,
}

/// Bounded cache from flow to owner.
#[derive(Clone, Debug)]
pub(crate) struct Cache {
    sets: Vec<Set>,
}

impl CacheEntry {
    pub(super) fn tentative(owner: Tag, hint_requested_at: Option<Instant>) -> Self {
        Self {
            owner,
            state: State::Tentative,
            hint_requested_at,
        }
    }

    /// Records that another opening packet is forwarded to the owner, with a hint request.
    pub(super) fn record_retransmission(&mut self, now: Instant) {
        if self.state == State::Tentative {
            self.hint_requested_at = self.hint_requested_at.or(Some(now));
        } else {
            // The owner may have removed the flow; its next hint shows whether it has.
            self.state = State::Unverified;
        }
    }

    pub(super) fn from_hint(hint: &Hint) -> Self {
        let state = if hint.established {
            State::Established
        } else {
            State::Embryonic
        };
        Self {
            owner: hint.owner,
            state,
            hint_requested_at: None,
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

    pub(super) fn get(&mut self, flow: Key) -> Option<CacheEntry> {
        self.get_mut(flow).map(|entry| *entry)
    }

    pub(super) fn get_mut(&mut self, flow: Key) -> Option<&mut CacheEntry> {
        let slot = self
            .set(flow)
            .slots
            .iter_mut()
            .find(|slot| slot.flow == Some(flow))?;
        slot.used = true;
        Some(&mut slot.entry)
    }

    /// Inserts or updates a flow; in a full set it evicts one that wasn't used recently.
    ///
    /// A flow counts as used from its second packet on, so a burst of new flows evicts other new
    /// flows and not the ones in use.
    pub(super) fn insert(&mut self, flow: Key, entry: CacheEntry) {
        let slot = self.set(flow).slot_for(flow);
        let used = slot.flow == Some(flow);
        let flow = Some(flow);
        *slot = Slot { flow, entry, used };
    }

    pub(super) fn len(&self) -> usize {
        let slots = self.sets.iter().flat_map(|set| &set.slots);
        slots.filter(|slot| slot.flow.is_some()).count()
    }

    fn set(&mut self, flow: Key) -> &mut Set {
        let high = (flow.0 >> 64) as u64;
        let index = (high % self.sets.len() as u64) as usize;
        &mut self.sets[index]
    }
}

impl Set {
    fn slot_for(&mut self, flow: Key) -> &mut Slot {
        let has_flow = |slot: &Slot| slot.flow == Some(flow);
        let is_free = |slot: &Slot| slot.flow.is_none();
        let found = self.slots.iter().position(has_flow);
        let index = found
            .or_else(|| self.slots.iter().position(is_free))
            .unwrap_or_else(|| self.evict_index());
        &mut self.slots[index]
    }

    /// Advances the clock hand to a slot that wasn't used since the last pass, clearing the flags
    /// of those that were, and returns the index of the slot.
    fn evict_index(&mut self) -> usize {
        loop {
            let index = self.clock_hand;
            self.clock_hand = (self.clock_hand + 1) % WAYS;
            if !std::mem::take(&mut self.slots[index].used) {
                return index;
            }
        }
    }
}
