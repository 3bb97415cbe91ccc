//! The tree that records are pushed along.
//!
//! Every member has a level drawn from its hash: a sixth of the members of a level also belong to
//! the next one. Within a region, a member's two parents are the highest ranked members of the
//! level above, and the members of the top level are fed by the watchers of the store. A member
//! that arrives or departs so changes the parents of few others, and processes whose members differ
//! in few still agree on most of the tree.

use std::collections::BTreeMap;

use super::{Member, MemberId, Members, WATCHERS, Watchers};
use crate::id;
use crate::rank::{Cells, score, top};

/// Members of a level for each member of the level above, on average.
pub const FAN_OUT: u64 = 6;
/// Parents of a member.
const PARENTS: usize = 2;
/// Fewest members of a top level.
const TOP_SIZE: usize = 2;
/// Key that draws levels.
const LEVEL_KEY: u64 = 0x6c65_7665_6c73_0000;

/// One process' place in the tree.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    /// Processes that push to this one, the preferred one first.
    pub parents: Vec<MemberId>,
    /// Processes that this one pushes to, with whether it is their preferred parent.
    pub children: BTreeMap<MemberId, bool>,
}

/// The levels of one region, lowest first; the last one is the top.
struct Levels {
    members: Vec<Vec<u64>>,
}

impl Tree {
    /// The place of a process among the members.
    #[must_use]
    pub fn new(own: &Member, members: &Members, watchers: &Watchers) -> Self {
        let levels = Levels::new(own, members, &own.region);
        let mut tree = Self::default();
        tree.add_region(own, &levels, watchers);
        tree
    }

    fn add_region(&mut self, own: &Member, levels: &Levels, watchers: &Watchers) {
        let Some(at) = levels.position(own.id) else {
            return;
        };
        self.parents = match levels.members.get(at + 1) {
            Some(above) => parents(&Cells::new(above.iter().copied()), own.id),
            None => feeders(own.id, watchers),
        };
        let Some(below) = at.checked_sub(1) else {
            return;
        };
        let cells = Cells::new(levels.members[at].iter().copied());
        for child in &levels.members[below] {
            let rank = parents(&cells, MemberId(*child));
            if let Some(rank) = rank.iter().position(|parent| *parent == own.id) {
                self.children.insert(MemberId(*child), rank == 0);
            }
        }
    }

    /// Adds the top levels of all regions, for a process that watches the store.
    pub fn add_tops(&mut self, own: &Member, members: &Members, watchers: &Watchers) {
        let regular = watchers.first().contains(&own.id);
        let mut regions: Vec<&id::Region> = members.iter().map(|member| &member.region).collect();
        regions.sort_unstable();
        regions.dedup();
        for region in regions {
            let levels = Levels::new(own, members, region);
            let top = levels.members.last().map(Vec::as_slice).unwrap_or_default();
            for head in top.iter().filter(|head| **head != own.id.0) {
                let head = MemberId(*head);
                // Every watcher feeds every head, so that two of them may be paused; one stamps it.
                let first = feeders(head, watchers).first() == Some(&own.id);
                self.children.insert(head, first || !regular);
            }
        }
    }
}

impl Levels {
    /// The levels of a region; `own` counts even if no record of it is held yet.
    fn new(own: &Member, members: &Members, region: &id::Region) -> Self {
        let mut levels: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        let listed = members.iter().filter(|member| member.id != own.id);
        for member in listed
            .chain([own])
            .filter(|member| member.region == *region)
        {
            levels
                .entry(level(member.id))
                .or_default()
                .push(member.id.0);
        }
        let mut members: Vec<Vec<u64>> = levels.into_values().collect();
        while members.len() > 1 && members.last().is_some_and(|top| top.len() < TOP_SIZE) {
            let few = members.pop().unwrap_or_default();
            if let Some(top) = members.last_mut() {
                top.extend(few);
            }
        }
        Self { members }
    }

    fn position(&self, id: MemberId) -> Option<usize> {
        self.members.iter().position(|level| level.contains(&id.0))
    }
}

/// Level of a member.
fn level(id: MemberId) -> u32 {
    let mut hash = score(LEVEL_KEY, id.0);
    let mut level = 0;
    while hash.is_multiple_of(FAN_OUT) && hash != 0 {
        hash /= FAN_OUT;
        level += 1;
    }
    level
}

fn parents(above: &Cells, child: MemberId) -> Vec<MemberId> {
    above
        .top(child.0, PARENTS)
        .into_iter()
        .map(MemberId)
        .collect()
}

/// The watchers that feed a member of a top level, the preferred one first.
fn feeders(head: MemberId, watchers: &Watchers) -> Vec<MemberId> {
    let others: Vec<MemberId> = watchers
        .first()
        .iter()
        .copied()
        .filter(|watcher| *watcher != head)
        .collect();
    top(head.0, &others, WATCHERS, |watcher| watcher.0)
}
