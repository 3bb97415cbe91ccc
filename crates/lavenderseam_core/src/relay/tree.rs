//! The tree along which records are pushed.
//!
//! A member's level is derived from its hash, so that a level has about six times as many members
//! as the level above. Within a region, a member's two parents are its highest-ranked members of
//! the level above by rendezvous hashing, and the watchers of the store push to the members of the
//! top level. Hence a member that joins or leaves changes the parents of few others, and processes
//! whose member lists differ slightly still agree on most of the tree.

use std::collections::BTreeMap;

use super::{Member, MemberId, Members, REGULAR_WATCHERS, WatcherRanking};
use crate::id;
use crate::rank::{MemberBuckets, score, top_ranked};

/// Average number of members of a level per member of the level above.
pub const FAN_OUT: u64 = 6;
/// Number of parents of a member.
const PARENTS_PER_MEMBER: usize = 2;
/// Minimum number of members of the top level; a smaller top level is merged into the one below.
const MIN_TOP_LEVEL_SIZE: usize = 2;
/// Salt of the hash from which a member's level is derived.
const LEVEL_SALT: u64 = 0x6c65_7665_6c73_0000;

/// Parents and children of one process in the tree.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    /// Processes that push to this one, the preferred parent first.
    pub parents: Vec<MemberId>,
    /// Processes that this one pushes to; the value is `true` if this process is the child's
    /// preferred parent.
    pub children: BTreeMap<MemberId, bool>,
}

/// Members of one region by level, the lowest level first and the top level last.
struct RegionLevels {
    members_by_level: Vec<Vec<u64>>,
}

impl Tree {
    /// Computes the parents and children of a process in its region.
    #[must_use]
    pub fn new(own: &Member, members: &Members, watchers: &WatcherRanking) -> Self {
        let levels = RegionLevels::new(own, members, &own.region);
        let mut tree = Self::default();
        tree.add_own_region(own, &levels, watchers);
        tree
    }

    fn add_own_region(&mut self, own: &Member, levels: &RegionLevels, watchers: &WatcherRanking) {
        let Some(own_level) = levels.position(own.id) else {
            return;
        };
        self.parents = match levels.members_by_level.get(own_level + 1) {
            Some(above) => parents(&MemberBuckets::new(above.iter().copied()), own.id),
            None => watcher_parents(own.id, watchers),
        };
        let Some(below) = own_level.checked_sub(1) else {
            return;
        };
        let member_buckets = MemberBuckets::new(levels.members_by_level[own_level].iter().copied());
        for child in &levels.members_by_level[below] {
            let child_parents = parents(&member_buckets, MemberId(*child));
            if let Some(rank) = child_parents.iter().position(|parent| *parent == own.id) {
                self.children.insert(MemberId(*child), rank == 0);
            }
        }
    }

    /// Adds the top-level members of all regions as children, for a process that watches the store.
    pub fn add_top_levels(&mut self, own: &Member, members: &Members, watchers: &WatcherRanking) {
        let regular = watchers.regular().contains(&own.id);
        let mut regions: Vec<&id::Region> = members.iter().map(|member| &member.region).collect();
        regions.sort_unstable();
        regions.dedup();
        for region in regions {
            let levels = RegionLevels::new(own, members, region);
            let top = levels
                .members_by_level
                .last()
                .map(Vec::as_slice)
                .unwrap_or_default();
            for top_member in top.iter().filter(|top_member| **top_member != own.id.0) {
                let top_member = MemberId(*top_member);
                // Every regular watcher pushes records to every top-level member, so that two of
                // the watchers may be paused; only the preferred one sends it stamps.
                let preferred = watcher_parents(top_member, watchers).first() == Some(&own.id);
                self.children.insert(top_member, preferred || !regular);
            }
        }
    }
}

impl RegionLevels {
    /// Computes the levels of a region. `own` is included even if its record isn't known yet.
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
        let mut merged: Vec<Vec<u64>> = levels.into_values().collect();
        while merged.len() > 1
            && merged
                .last()
                .is_some_and(|top| top.len() < MIN_TOP_LEVEL_SIZE)
        {
            let undersized = merged.pop().unwrap_or_default();
            if let Some(top) = merged.last_mut() {
                top.extend(undersized);
            }
        }
        Self {
            members_by_level: merged,
        }
    }

    fn position(&self, id: MemberId) -> Option<usize> {
        self.members_by_level
            .iter()
            .position(|level| level.contains(&id.0))
    }
}

/// Returns the level of a member before small top levels are merged.
fn level(id: MemberId) -> u32 {
    let mut hash = score(LEVEL_SALT, id.0);
    let mut level = 0;
    while hash.is_multiple_of(FAN_OUT) && hash != 0 {
        hash /= FAN_OUT;
        level += 1;
    }
    level
}

/// Returns the parents of a member among the members of the level above, the preferred one first.
fn parents(above: &MemberBuckets, child: MemberId) -> Vec<MemberId> {
    above
        .top_ranked(child.0, PARENTS_PER_MEMBER)
        .into_iter()
        .map(MemberId)
        .collect()
}

/// Returns the watchers that push to a member of a top level, the preferred one first.
fn watcher_parents(top_member: MemberId, watchers: &WatcherRanking) -> Vec<MemberId> {
    let others: Vec<MemberId> = watchers
        .regular()
        .iter()
        .copied()
        .filter(|watcher| *watcher != top_member)
        .collect();
    top_ranked(top_member.0, &others, REGULAR_WATCHERS, |watcher| watcher.0)
}
