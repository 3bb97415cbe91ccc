//! Which balancers probe a target.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::catalog::Catalog;
use crate::id::{self, Incarnation, Tag};
use crate::rank::Cells;
use crate::record::{self, Id, Kind};
use crate::relay::MemberId;

/// Balancers that probe a target.
pub const PROBERS: usize = 3;

/// A target to probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probed {
    /// Name.
    pub target: id::Target,
    /// Address for probes.
    pub peer: SocketAddr,
    /// The run that its record names.
    pub incarnation: Incarnation,
}

/// A balancer that may probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prober {
    /// Identity.
    pub id: MemberId,
    /// Region that it lives in.
    pub region: id::Region,
}

/// The targets that a balancer probes. A target is probed from its own region if that has enough
/// balancers, so that regions that lose each other don't condemn each other's targets.
#[must_use]
pub fn assign(own: MemberId, catalog: &Catalog) -> BTreeMap<Tag, Probed> {
    let balancers: Vec<Prober> = catalog
        .records::<record::Balancer>()
        .map(|(name, balancer)| Prober {
            id: MemberId::new(&Id::new(Kind::Balancer, name)),
            region: balancer.region,
        })
        .collect();
    let all = Cells::new(balancers.iter().map(|balancer| balancer.id.0));
    let regions = regions(&balancers);
    catalog
        .records::<record::Target>()
        .filter_map(|(name, target)| {
            let name = id::Target::new(name).ok()?;
            let tag = Tag::new(&name);
            let probers = regions
                .get(&target.region)
                .unwrap_or(&all)
                .top(tag.0, PROBERS);
            let probed = Probed {
                target: name,
                peer: target.peer,
                incarnation: target.incarnation,
            };
            probers.contains(&own.0).then_some((tag, probed))
        })
        .collect()
}

/// The balancers of each region that has enough of them.
fn regions(balancers: &[Prober]) -> BTreeMap<id::Region, Cells> {
    let mut regions: BTreeMap<id::Region, Vec<u64>> = BTreeMap::new();
    for balancer in balancers {
        regions
            .entry(balancer.region.clone())
            .or_default()
            .push(balancer.id.0);
    }
    regions.retain(|_, members| members.len() >= PROBERS);
    let grouped = regions
        .into_iter()
        .map(|(region, members)| (region, Cells::new(members)));
    grouped.collect()
}
