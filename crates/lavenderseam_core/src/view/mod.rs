//! The routing view: what a process routes by, compiled from its catalog.
//!
//! A view is immutable. A process compiles a new one after each change of its catalog and swaps
//! it in whole, so a packet is decided on one consistent state.

mod candidate;
mod service;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

pub use candidate::{Candidate, Standing};
pub use service::Service;

use crate::catalog::{Catalog, Revision};
use crate::id;
use crate::record::{self, DomainState};

/// Balancers that must agree before a target counts as down.
const QUORUM_DOWN: usize = 2;

/// The routing view of one catalog.
#[derive(Clone, Debug, Default)]
pub struct View {
    revision: Revision,
    services: HashMap<SocketAddr, Service>,
    targets: HashMap<id::Tag, Candidate>,
    out: BTreeSet<id::Domain>,
}

impl View {
    /// Compiles a view.
    #[must_use]
    pub fn new(catalog: &Catalog) -> Self {
        let out = domains_out(catalog);
        let groups = groups(catalog);
        let targets = candidates(catalog, &out);
        let services = services(catalog, &groups, &targets);
        let targets = targets
            .into_iter()
            .map(|target| (target.tag, target))
            .collect();
        Self {
            revision: catalog.head(),
            services,
            targets,
            out,
        }
    }

    /// Highest revision of the catalog that this view was compiled from.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The service at an address.
    #[must_use]
    pub fn service(&self, address: SocketAddr) -> Option<&Service> {
        self.services.get(&address)
    }

    /// All services with the address that each is reached at.
    pub fn services(&self) -> impl Iterator<Item = (SocketAddr, &Service)> {
        self.services
            .iter()
            .map(|(address, service)| (*address, service))
    }

    /// A target by its tag.
    #[must_use]
    pub fn target(&self, tag: id::Tag) -> Option<&Candidate> {
        self.targets.get(&tag)
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Candidate> {
        self.targets.values()
    }

    /// Whether operators have taken a failure domain out.
    #[must_use]
    pub fn is_out(&self, domain: &id::Domain) -> bool {
        self.out.contains(domain)
    }
}

fn domains_out(catalog: &Catalog) -> BTreeSet<id::Domain> {
    catalog
        .records::<record::Domain>()
        .filter(|(_, domain)| domain.state == DomainState::Out)
        .filter_map(|(name, _)| id::Domain::new(name).ok())
        .collect()
}

fn groups(catalog: &Catalog) -> BTreeMap<id::Group, record::Group> {
    catalog
        .records::<record::Group>()
        .filter_map(|(name, group)| Some((id::Group::new(name).ok()?, group)))
        .collect()
}

fn down(catalog: &Catalog) -> BTreeMap<(id::Target, id::Incarnation), usize> {
    let mut votes = BTreeMap::new();
    for (_, verdict) in catalog.records::<record::Verdict>() {
        for down in verdict.down {
            *votes.entry((down.target, down.incarnation)).or_insert(0) += 1;
        }
    }
    votes
}

fn candidates(catalog: &Catalog, out: &BTreeSet<id::Domain>) -> Vec<Candidate> {
    let draining: BTreeSet<id::Target> = catalog
        .records::<record::Drain>()
        .map(|(_, drain)| drain.target)
        .collect();
    let votes = down(catalog);
    catalog
        .records::<record::Target>()
        .filter_map(|(name, target)| {
            let name = id::Target::new(name).ok()?;
            let against = votes
                .get(&(name.clone(), target.incarnation))
                .copied()
                .unwrap_or(0);
            let standing = if out.contains(&target.domain) {
                Standing::Out
            } else if target.phase == record::Phase::Leaving || draining.contains(&name) {
                Standing::Draining
            } else if against >= QUORUM_DOWN {
                Standing::Down
            } else {
                Standing::Serving
            };
            Some(Candidate::new(name, target, standing))
        })
        .collect()
}

fn services(
    catalog: &Catalog,
    groups: &BTreeMap<id::Group, record::Group>,
    targets: &[Candidate],
) -> HashMap<SocketAddr, Service> {
    let mut by_group: BTreeMap<&id::Group, Vec<&Candidate>> = BTreeMap::new();
    for target in targets {
        by_group.entry(&target.group).or_default().push(target);
    }
    let mut services = HashMap::new();
    for (name, record) in catalog.records::<record::Service>() {
        let Ok(name) = id::Service::new(name) else {
            continue;
        };
        let Some(group) = groups.get(&record.group) else {
            continue;
        };
        let members = by_group
            .get(&record.group)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let candidates: Vec<Candidate> = members.iter().map(|member| (*member).clone()).collect();
        for address in &record.addresses {
            let service = Service {
                name: name.clone(),
                group: record.group.clone(),
                bears: group.clone(),
                candidates: candidates.clone(),
            };
            services.insert(*address, service);
        }
    }
    services
}
