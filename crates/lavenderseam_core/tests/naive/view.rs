//! Reference compilation of the routing view, from scratch for each catalog.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use lavenderseam_core::catalog::Catalog;
use lavenderseam_core::id;
use lavenderseam_core::record::{self, DomainState};
use lavenderseam_core::view::{Candidate, Service, TargetState};

const DOWN_QUORUM: usize = 2;

/// Returns all services and all targets of a catalog.
pub fn compile(catalog: &Catalog) -> (HashMap<SocketAddr, Service>, Vec<Candidate>) {
    let out = domains_out(catalog);
    let targets = candidates(catalog, &out);
    let services = services(catalog, &groups(catalog), &targets);
    (services, targets)
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

fn down_votes(catalog: &Catalog) -> BTreeMap<(id::Target, id::Incarnation), usize> {
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
    let votes = down_votes(catalog);
    catalog
        .records::<record::Target>()
        .filter_map(|(name, target)| {
            let name = id::Target::new(name).ok()?;
            let votes_against = votes
                .get(&(name.clone(), target.incarnation))
                .copied()
                .unwrap_or(0);
            let state = if out.contains(&target.domain) {
                TargetState::Out
            } else if target.phase == record::Phase::Leaving || draining.contains(&name) {
                TargetState::Draining
            } else if votes_against >= DOWN_QUORUM {
                TargetState::Down
            } else {
                TargetState::Serving
            };
            Some(Candidate::new(name, target, state))
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
    let mut records: Vec<_> = catalog.records::<record::Service>().collect();
    // If several services list an address, the first by name gets it; it is inserted last here.
    records.reverse();
    for (name, record) in records {
        let Ok(name) = id::Service::new(name) else {
            continue;
        };
        let Some(group) = groups.get(&record.group) else {
            // A service keeps its addresses even while its group is unknown, so no other gets them.
            record
                .addresses
                .iter()
                .for_each(|address| drop(services.remove(address)));
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
                limits: group.clone(),
                candidates: candidates.clone().into(),
            };
            services.insert(*address, service);
        }
    }
    services
}
