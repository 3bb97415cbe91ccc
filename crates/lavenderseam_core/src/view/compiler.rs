//! Compiles views step by step.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use super::tables::Tables;
use super::{Candidate, Service, View};
use crate::catalog::{Entry, Revision};
use crate::id;

/// What a group contributed to the present view.
#[derive(Debug, Default)]
struct Contribution {
    addresses: Vec<(SocketAddr, id::Service)>,
    tags: Vec<id::Tag>,
}

/// Keeps the typed records of a catalog and compiles views of them; a compilation costs a copy of
/// the look-up tables and the groups touched since the last one.
#[derive(Debug, Default)]
pub struct Compiler {
    tables: Tables,
    touched: BTreeSet<id::Group>,
    contributions: HashMap<id::Group, Contribution>,
    present: View,
}

impl Compiler {
    /// Takes an entry that the catalog has taken as newer.
    pub fn apply(&mut self, entry: &Entry) {
        let touched = self.tables.apply(entry);
        self.touched.extend(touched);
        self.present.revision = Revision::max(self.present.revision, entry.revision);
    }

    /// Compiles the view of all entries taken so far.
    pub fn compile(&mut self) -> View {
        let touched = std::mem::take(&mut self.touched);
        for group in &touched {
            self.withdraw(group);
        }
        for group in &touched {
            self.contribute(group);
        }
        if *self.present.out != self.tables.out {
            self.present.out = Arc::new(self.tables.out.clone());
        }
        self.present.clone()
    }

    fn withdraw(&mut self, group: &id::Group) {
        let Some(contribution) = self.contributions.remove(group) else {
            return;
        };
        for (address, service) in contribution.addresses {
            let held = self.present.services.get(&address);
            if held.is_some_and(|held| held.name == service) {
                self.present.services.remove(&address);
            }
        }
        for tag in contribution.tags {
            let held = self.present.targets.get(&tag);
            if held.is_some_and(|held| held.group == *group) {
                self.present.targets.remove(&tag);
            }
        }
    }

    fn contribute(&mut self, group: &id::Group) {
        let candidates: Arc<[Candidate]> = self.tables.candidates(group).into();
        let mut contribution = Contribution::default();
        for candidate in candidates.iter() {
            contribution.tags.push(candidate.tag);
            self.present
                .targets
                .insert(candidate.tag, Arc::new(candidate.clone()));
        }
        if let Some(bears) = self.tables.groups.get(group) {
            for name in self.tables.services_of(group) {
                let service = Arc::new(Service {
                    name: name.clone(),
                    group: group.clone(),
                    bears: bears.clone(),
                    candidates: Arc::clone(&candidates),
                });
                for address in &self.tables.services[name].addresses {
                    if self.tables.holder(*address) != Some(name) {
                        continue;
                    }
                    contribution.addresses.push((*address, name.clone()));
                    self.present.services.insert(*address, Arc::clone(&service));
                }
            }
        }
        self.contributions.insert(group.clone(), contribution);
    }
}
