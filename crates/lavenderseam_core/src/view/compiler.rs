//! Incremental compilation of routing views.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use super::tables::Tables;
use super::{Candidate, Service, View};
use crate::catalog::{Entry, Revision};
use crate::id;

/// Addresses and targets that one group added to the current view.
#[derive(Debug, Default)]
struct Contribution {
    addresses: Vec<(SocketAddr, id::Service)>,
    tags: Vec<id::Tag>,
}

/// Compiles routing views incrementally.
///
/// The compiler keeps the typed records of a catalog. A compilation copies the lookup tables of the
/// view and rebuilds only the groups affected by entries applied since the previous compilation.
#[derive(Debug, Default)]
pub struct Compiler {
    tables: Tables,
    affected_groups: BTreeSet<id::Group>,
    contributions_by_group: HashMap<id::Group, Contribution>,
    current: View,
}

impl Compiler {
    /// Applies an entry that the catalog has applied as newer.
    pub fn apply(&mut self, entry: &Entry) {
        let affected = self.tables.apply(entry);
        self.affected_groups.extend(affected);
        self.current.revision = Revision::max(self.current.revision, entry.revision);
    }

    /// Compiles the view of all entries applied so far.
    pub fn compile(&mut self) -> View {
        let affected = std::mem::take(&mut self.affected_groups);
        for group in &affected {
            self.remove_contribution(group);
        }
        for group in &affected {
            self.add_contribution(group);
        }
        if *self.current.domains_out != self.tables.domains_out {
            self.current.domains_out = Arc::new(self.tables.domains_out.clone());
        }
        self.current.clone()
    }

    fn remove_contribution(&mut self, group: &id::Group) {
        let Some(contribution) = self.contributions_by_group.remove(group) else {
            return;
        };
        for (address, service) in contribution.addresses {
            let current = self.current.services.get(&address);
            if current.is_some_and(|current| current.name == service) {
                self.current.services.remove(&address);
            }
        }
        for tag in contribution.tags {
            let current = self.current.targets.get(&tag);
            if current.is_some_and(|current| current.group == *group) {
                self.current.targets.remove(&tag);
            }
        }
    }

    fn add_contribution(&mut self, group: &id::Group) {
        let candidates: Arc<[Candidate]> = self.tables.candidates(group).into();
        let mut contribution = Contribution::default();
        for candidate in candidates.iter() {
            contribution.tags.push(candidate.tag);
            self.current
                .targets
                .insert(candidate.tag, Arc::new(candidate.clone()));
        }
        if let Some(limits) = self.tables.groups.get(group) {
            for name in self.tables.services_of(group) {
                let service = Arc::new(Service {
                    name: name.clone(),
                    group: group.clone(),
                    limits: limits.clone(),
                    candidates: Arc::clone(&candidates),
                });
                for address in &self.tables.services[name].addresses {
                    if self.tables.service_at(*address) != Some(name) {
                        continue;
                    }
                    contribution.addresses.push((*address, name.clone()));
                    self.current.services.insert(*address, Arc::clone(&service));
                }
            }
        }
        self.contributions_by_group
            .insert(group.clone(), contribution);
    }
}
