//! Assignment of targets to the balancers that probe them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::catalog::Entry;
use crate::id::{self, Incarnation, Tag};
use crate::rank::MemberBuckets;
use crate::record::{self, Kind, Record};
use crate::relay::MemberId;

/// Number of balancers that probe each target.
pub const PROBERS_PER_TARGET: usize = 3;

/// A target that is probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbedTarget {
    /// Name of the target.
    pub target: id::Target,
    /// Region that the target runs in.
    pub region: id::Region,
    /// UDP address of the target's agent, which answers probes.
    pub peer: SocketAddr,
    /// The agent's run according to the target's record.
    pub incarnation: Incarnation,
}

/// Determines the targets that one balancer probes.
///
/// A target is probed from its own region if that region has enough balancers, so a network
/// partition between regions doesn't make them mark each other's targets down.
#[derive(Clone, Debug)]
pub struct Assignment {
    own_id: MemberId,
    region_by_balancer: BTreeMap<MemberId, id::Region>,
    targets: BTreeMap<Tag, ProbedTarget>,
    all_balancers: MemberBuckets,
    balancers_by_region: BTreeMap<id::Region, MemberBuckets>,
    assigned: BTreeMap<Tag, ProbedTarget>,
    balancers_changed: bool,
}

impl Assignment {
    /// Creates the assignment of a balancer; it contains no targets yet.
    #[must_use]
    pub fn new(own_id: MemberId) -> Self {
        Self {
            own_id,
            region_by_balancer: BTreeMap::new(),
            targets: BTreeMap::new(),
            all_balancers: MemberBuckets::default(),
            balancers_by_region: BTreeMap::new(),
            assigned: BTreeMap::new(),
            balancers_changed: false,
        }
    }

    /// Applies an entry that the catalog has applied; returns `true` if it may change the
    /// assignment.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        match entry.id.kind {
            Kind::Balancer => self.apply_balancer(entry),
            Kind::Target => self.apply_target(entry),
            _ => return false,
        }
        true
    }

    /// Returns the targets that this balancer probes.
    pub fn assigned_targets(&mut self) -> &BTreeMap<Tag, ProbedTarget> {
        if self.balancers_changed {
            self.balancers_changed = false;
            self.rebuild_region_cells();
            self.rebuild_assigned();
        }
        &self.assigned
    }

    fn apply_balancer(&mut self, entry: &Entry) {
        let id = MemberId::new(&entry.id);
        let document = entry.document.as_ref();
        let read = document.and_then(|document| record::Balancer::read(document).ok());
        let before = match &read {
            Some(balancer) => self.region_by_balancer.insert(id, balancer.region.clone()),
            None => self.region_by_balancer.remove(&id),
        };
        self.balancers_changed |= before != read.map(|balancer| balancer.region);
    }

    fn apply_target(&mut self, entry: &Entry) {
        let Ok(name) = id::Target::new(&entry.id.name) else {
            return;
        };
        let tag = Tag::new(&name);
        let document = entry.document.as_ref();
        let Some(target) = document.and_then(|document| record::Target::read(document).ok()) else {
            self.targets.remove(&tag);
            self.assigned.remove(&tag);
            return;
        };
        let probed = ProbedTarget {
            target: name,
            region: target.region,
            peer: target.peer,
            incarnation: target.incarnation,
        };
        if self.is_assigned(tag, &probed) {
            self.assigned.insert(tag, probed.clone());
        } else {
            self.assigned.remove(&tag);
        }
        self.targets.insert(tag, probed);
    }

    fn is_assigned(&self, tag: Tag, probed: &ProbedTarget) -> bool {
        let member_buckets = self
            .balancers_by_region
            .get(&probed.region)
            .unwrap_or(&self.all_balancers);
        member_buckets
            .top_ranked(tag.0, PROBERS_PER_TARGET)
            .contains(&self.own_id.0)
    }

    /// Groups the balancers by region, omitting regions with fewer than [`PROBERS_PER_TARGET`].
    fn rebuild_region_cells(&mut self) {
        let mut regions: BTreeMap<&id::Region, Vec<u64>> = BTreeMap::new();
        for (id, region) in &self.region_by_balancer {
            regions.entry(region).or_default().push(id.0);
        }
        regions.retain(|_, members| members.len() >= PROBERS_PER_TARGET);
        let grouped = regions
            .into_iter()
            .map(|(region, members)| (region.clone(), MemberBuckets::new(members)));
        self.balancers_by_region = grouped.collect();
        self.all_balancers = MemberBuckets::new(self.region_by_balancer.keys().map(|id| id.0));
    }

    fn rebuild_assigned(&mut self) {
        let assigned = self
            .targets
            .iter()
            .filter(|(tag, probed)| self.is_assigned(**tag, probed));
        self.assigned = assigned
            .map(|(tag, probed)| (*tag, probed.clone()))
            .collect();
    }
}
