//! The typed records that a view is compiled from, with indices between them.
//!
//! Each change returns the groups that it affects, so that only those are compiled again.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;
use std::net::SocketAddr;

use super::{Candidate, TargetState};
use crate::catalog::Entry;
use crate::id;
use crate::record::{self, Document, DomainState, Kind, Record};

/// Number of balancers that must report a target before it counts as down.
const DOWN_QUORUM: usize = 2;

/// Groups that a change affects.
pub(crate) type AffectedGroups = BTreeSet<id::Group>;

/// Typed records that a view is compiled from, with indices between them.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    pub(crate) services: BTreeMap<id::Service, record::Service>,
    pub(crate) groups: BTreeMap<id::Group, record::Group>,
    pub(crate) domains_out: BTreeSet<id::Domain>,
    targets: BTreeMap<id::Target, record::Target>,
    targets_by_group: HashMap<id::Group, BTreeSet<id::Target>>,
    services_by_group: HashMap<id::Group, BTreeSet<id::Service>>,
    services_by_address: HashMap<SocketAddr, BTreeSet<id::Service>>,
    targets_by_drain: BTreeMap<String, id::Target>,
    drain_counts: HashMap<id::Target, usize>,
    down_by_balancer: BTreeMap<String, Vec<record::DownTarget>>,
    down_votes: HashMap<(id::Target, id::Incarnation), usize>,
}

impl Tables {
    /// Applies a new revision of a record or its deletion; returns the groups that it affects.
    pub(crate) fn apply(&mut self, entry: &Entry) -> AffectedGroups {
        match entry.id.kind {
            Kind::Service => self.set_service(entry),
            Kind::BackendGroup => self.set_group(entry),
            Kind::FailureDomain => self.set_domain(entry),
            Kind::Drain => self.set_drain(entry),
            Kind::Target => self.set_target(entry),
            Kind::Verdict => self.set_verdict(entry),
            Kind::Balancer => AffectedGroups::new(),
        }
    }

    /// Returns the service that is reached at an address. If several services list the address, the
    /// first by name gets it, so all processes agree whatever the order in which they learnt of
    /// the services.
    pub(crate) fn service_at(&self, address: SocketAddr) -> Option<&id::Service> {
        self.services_by_address.get(&address)?.first()
    }

    /// Returns the services that a group serves.
    pub(crate) fn services_of(&self, group: &id::Group) -> impl Iterator<Item = &id::Service> {
        self.services_by_group.get(group).into_iter().flatten()
    }

    /// Returns the targets of a group for the routing view, ordered by name.
    pub(crate) fn candidates(&self, group: &id::Group) -> Vec<Candidate> {
        let names = self.targets_by_group.get(group).into_iter().flatten();
        names.filter_map(|name| self.candidate(name)).collect()
    }

    fn candidate(&self, name: &id::Target) -> Option<Candidate> {
        let target = self.targets.get(name)?;
        Some(Candidate::new(
            name.clone(),
            target.clone(),
            self.state(name, target),
        ))
    }

    fn state(&self, name: &id::Target, target: &record::Target) -> TargetState {
        if self.domains_out.contains(&target.domain) {
            return TargetState::Out;
        }
        if target.phase == record::Phase::Leaving || self.drain_counts.contains_key(name) {
            return TargetState::Draining;
        }
        let votes = self
            .down_votes
            .get(&(name.clone(), target.incarnation))
            .copied();
        if votes.unwrap_or(0) >= DOWN_QUORUM {
            TargetState::Down
        } else {
            TargetState::Serving
        }
    }

    fn set_service(&mut self, entry: &Entry) -> AffectedGroups {
        let Ok(name) = id::Service::new(&entry.id.name) else {
            return AffectedGroups::new();
        };
        let mut affected = AffectedGroups::new();
        if let Some(old) = self.services.remove(&name) {
            remove_from_index(&mut self.services_by_group, &old.group, &name);
            for address in &old.addresses {
                remove_from_index(&mut self.services_by_address, address, &name);
                affected.extend(self.groups_claiming(*address));
            }
            affected.insert(old.group);
        }
        if let Some(new) = read::<record::Service>(entry) {
            self.services_by_group
                .entry(new.group.clone())
                .or_default()
                .insert(name.clone());
            for address in &new.addresses {
                affected.extend(self.groups_claiming(*address));
                self.services_by_address
                    .entry(*address)
                    .or_default()
                    .insert(name.clone());
            }
            affected.insert(new.group.clone());
            self.services.insert(name, new);
        }
        affected
    }

    fn groups_claiming(&self, address: SocketAddr) -> impl Iterator<Item = id::Group> {
        let names = self.services_by_address.get(&address).into_iter().flatten();
        names
            .filter_map(|name| self.services.get(name))
            .map(|service| service.group.clone())
    }

    fn set_group(&mut self, entry: &Entry) -> AffectedGroups {
        let Ok(name) = id::Group::new(&entry.id.name) else {
            return AffectedGroups::new();
        };
        match read::<record::Group>(entry) {
            Some(group) => self.groups.insert(name.clone(), group),
            None => self.groups.remove(&name),
        };
        AffectedGroups::from([name])
    }

    fn set_domain(&mut self, entry: &Entry) -> AffectedGroups {
        let Ok(name) = id::Domain::new(&entry.id.name) else {
            return AffectedGroups::new();
        };
        let state = read::<record::Domain>(entry).map(|domain| domain.state);
        let changed = if state == Some(DomainState::Out) {
            self.domains_out.insert(name.clone())
        } else {
            self.domains_out.remove(&name)
        };
        if !changed {
            return AffectedGroups::new();
        }
        let targets_inside = self.targets.values().filter(|target| target.domain == name);
        targets_inside.map(|target| target.group.clone()).collect()
    }

    fn set_drain(&mut self, entry: &Entry) -> AffectedGroups {
        let old = self.targets_by_drain.remove(&entry.id.name);
        let new = read::<record::Drain>(entry).map(|drain| drain.target);
        if let Some(target) = &old {
            decrement(&mut self.drain_counts, target);
        }
        if let Some(target) = &new {
            *self.drain_counts.entry(target.clone()).or_insert(0) += 1;
            self.targets_by_drain
                .insert(entry.id.name.clone(), target.clone());
        }
        self.groups_of(old.iter().chain(&new))
    }

    fn set_target(&mut self, entry: &Entry) -> AffectedGroups {
        let Ok(name) = id::Target::new(&entry.id.name) else {
            return AffectedGroups::new();
        };
        let mut affected = AffectedGroups::new();
        if let Some(old) = self.targets.remove(&name) {
            remove_from_index(&mut self.targets_by_group, &old.group, &name);
            affected.insert(old.group);
        }
        if let Some(new) = read::<record::Target>(entry) {
            self.targets_by_group
                .entry(new.group.clone())
                .or_default()
                .insert(name.clone());
            affected.insert(new.group.clone());
            self.targets.insert(name, new);
        }
        affected
    }

    fn set_verdict(&mut self, entry: &Entry) -> AffectedGroups {
        let old = self
            .down_by_balancer
            .remove(&entry.id.name)
            .unwrap_or_default();
        let new = read::<record::Verdict>(entry)
            .map(|verdict| verdict.down)
            .unwrap_or_default();
        for down in &old {
            decrement(
                &mut self.down_votes,
                &(down.target.clone(), down.incarnation),
            );
        }
        for down in &new {
            *self
                .down_votes
                .entry((down.target.clone(), down.incarnation))
                .or_insert(0) += 1;
        }
        let affected = self.groups_of(old.iter().chain(&new).map(|down| &down.target));
        self.down_by_balancer.insert(entry.id.name.clone(), new);
        affected
    }

    fn groups_of<'a>(&self, targets: impl Iterator<Item = &'a id::Target>) -> AffectedGroups {
        targets
            .filter_map(|target| self.targets.get(target))
            .map(|target| target.group.clone())
            .collect()
    }
}

fn read<R: Record>(entry: &Entry) -> Option<R> {
    let document: &Document = entry.document.as_ref()?;
    R::read(document).ok()
}

fn remove_from_index<K: Hash + Eq, M: Ord>(
    index: &mut HashMap<K, BTreeSet<M>>,
    key: &K,
    member: &M,
) {
    let Some(set) = index.get_mut(key) else {
        return;
    };
    set.remove(member);
    if set.is_empty() {
        index.remove(key);
    }
}

fn decrement<K: Hash + Eq>(counts: &mut HashMap<K, usize>, key: &K) {
    let Some(count) = counts.get_mut(key) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(key);
    }
}
