//! Which balancers probe a target.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::catalog::Entry;
use crate::id::{self, Incarnation, Tag};
use crate::rank::Cells;
use crate::record::{self, Kind, Record};
use crate::relay::MemberId;

/// Balancers that probe a target.
pub const PROBERS: usize = 3;

/// A target to probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probed {
    /// Name.
    pub target: id::Target,
    /// Region that it lives in.
    pub region: id::Region,
    /// Address for probes.
    pub peer: SocketAddr,
    /// The run that its record names.
    pub incarnation: Incarnation,
}

/// The targets that a balancer probes.
///
/// A target is probed from its own region if that has enough balancers, so that regions that lose
/// each other don't condemn each other's targets.
#[derive(Clone, Debug)]
pub struct Assignment {
    own: MemberId,
    balancers: BTreeMap<MemberId, id::Region>,
    targets: BTreeMap<Tag, Probed>,
    all: Cells,
    regions: BTreeMap<id::Region, Cells>,
    assigned: BTreeMap<Tag, Probed>,
    balancers_changed: bool,
}

impl Assignment {
    /// The assignment of a balancer that knows no targets yet.
    #[must_use]
    pub fn new(own: MemberId) -> Self {
        Self {
            own,
            balancers: BTreeMap::new(),
            targets: BTreeMap::new(),
            all: Cells::default(),
            regions: BTreeMap::new(),
            assigned: BTreeMap::new(),
            balancers_changed: false,
        }
    }

    /// Takes an entry that the catalog has taken; returns whether it may change the assignment.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        match entry.id.kind {
            Kind::Balancer => self.apply_balancer(entry),
            Kind::Target => self.apply_target(entry),
            _ => return false,
        }
        true
    }

    /// The targets to probe.
    pub fn assigned(&mut self) -> &BTreeMap<Tag, Probed> {
        if self.balancers_changed {
            self.balancers_changed = false;
            self.group();
            self.assign();
        }
        &self.assigned
    }

    fn apply_balancer(&mut self, entry: &Entry) {
        let id = MemberId::new(&entry.id);
        let document = entry.document.as_ref();
        let read = document.and_then(|document| record::Balancer::read(document).ok());
        let before = match &read {
            Some(balancer) => self.balancers.insert(id, balancer.region.clone()),
            None => self.balancers.remove(&id),
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
        let probed = Probed {
            target: name,
            region: target.region,
            peer: target.peer,
            incarnation: target.incarnation,
        };
        if self.is_own(tag, &probed) {
            self.assigned.insert(tag, probed.clone());
        } else {
            self.assigned.remove(&tag);
        }
        self.targets.insert(tag, probed);
    }

    fn is_own(&self, tag: Tag, probed: &Probed) -> bool {
        let cells = self.regions.get(&probed.region).unwrap_or(&self.all);
        cells.top(tag.0, PROBERS).contains(&self.own.0)
    }

    /// Groups the balancers by the regions that have enough of them.
    fn group(&mut self) {
        let mut regions: BTreeMap<&id::Region, Vec<u64>> = BTreeMap::new();
        for (id, region) in &self.balancers {
            regions.entry(region).or_default().push(id.0);
        }
        regions.retain(|_, members| members.len() >= PROBERS);
        let grouped = regions
            .into_iter()
            .map(|(region, members)| (region.clone(), Cells::new(members)));
        self.regions = grouped.collect();
        self.all = Cells::new(self.balancers.keys().map(|id| id.0));
    }

    fn assign(&mut self) {
        let own = self
            .targets
            .iter()
            .filter(|(tag, probed)| self.is_own(**tag, probed));
        self.assigned = own.map(|(tag, probed)| (*tag, probed.clone())).collect();
    }
}
