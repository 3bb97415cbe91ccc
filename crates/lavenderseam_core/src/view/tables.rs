//! The typed records that a view is compiled from, with the look-ups between them.
//!
//! Each change reports the groups that it touches, so that only those are compiled again.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;
use std::net::SocketAddr;

use super::{Candidate, Standing};
use crate::catalog::Entry;
use crate::id;
use crate::record::{self, Document, DomainState, Kind, Record};

/// Balancers that must agree before a target counts as down.
const QUORUM_DOWN: usize = 2;

/// Groups that a change touches.
pub(crate) type Touched = BTreeSet<id::Group>;

/// The typed records that a view is compiled from.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    pub(crate) services: BTreeMap<id::Service, record::Service>,
    pub(crate) groups: BTreeMap<id::Group, record::Group>,
    pub(crate) out: BTreeSet<id::Domain>,
    targets: BTreeMap<id::Target, record::Target>,
    members: HashMap<id::Group, BTreeSet<id::Target>>,
    served: HashMap<id::Group, BTreeSet<id::Service>>,
    claims: HashMap<SocketAddr, BTreeSet<id::Service>>,
    drains: BTreeMap<String, id::Target>,
    drained: HashMap<id::Target, usize>,
    verdicts: BTreeMap<String, Vec<record::Down>>,
    votes: HashMap<(id::Target, id::Incarnation), usize>,
}

impl Tables {
    /// Takes a record at its new revision, or its deletion.
    pub(crate) fn apply(&mut self, entry: &Entry) -> Touched {
        match entry.id.kind {
            Kind::Service => self.set_service(entry),
            Kind::BackendGroup => self.set_group(entry),
            Kind::FailureDomain => self.set_domain(entry),
            Kind::Drain => self.set_drain(entry),
            Kind::Target => self.set_target(entry),
            Kind::Verdict => self.set_verdict(entry),
            Kind::Balancer => Touched::new(),
        }
    }

    /// The service that an address belongs to: of several that claim it, the first by name, so that
    /// all processes agree whatever the order in which they learnt of the claims.
    pub(crate) fn holder(&self, address: SocketAddr) -> Option<&id::Service> {
        self.claims.get(&address)?.first()
    }

    /// Services of a group.
    pub(crate) fn services_of(&self, group: &id::Group) -> impl Iterator<Item = &id::Service> {
        self.served.get(group).into_iter().flatten()
    }

    /// Targets of a group as routing sees them, in the order of their names.
    pub(crate) fn candidates(&self, group: &id::Group) -> Vec<Candidate> {
        let names = self.members.get(group).into_iter().flatten();
        names.filter_map(|name| self.candidate(name)).collect()
    }

    fn candidate(&self, name: &id::Target) -> Option<Candidate> {
        let target = self.targets.get(name)?;
        Some(Candidate::new(
            name.clone(),
            target.clone(),
            self.standing(name, target),
        ))
    }

    fn standing(&self, name: &id::Target, target: &record::Target) -> Standing {
        if self.out.contains(&target.domain) {
            return Standing::Out;
        }
        if target.phase == record::Phase::Leaving || self.drained.contains_key(name) {
            return Standing::Draining;
        }
        let votes = self.votes.get(&(name.clone(), target.incarnation)).copied();
        if votes.unwrap_or(0) >= QUORUM_DOWN {
            Standing::Down
        } else {
            Standing::Serving
        }
    }

    fn set_service(&mut self, entry: &Entry) -> Touched {
        let Ok(name) = id::Service::new(&entry.id.name) else {
            return Touched::new();
        };
        let mut touched = Touched::new();
        if let Some(old) = self.services.remove(&name) {
            remove_member(&mut self.served, &old.group, &name);
            for address in &old.addresses {
                remove_member(&mut self.claims, address, &name);
                touched.extend(self.claimants(*address));
            }
            touched.insert(old.group);
        }
        if let Some(new) = read::<record::Service>(entry) {
            self.served
                .entry(new.group.clone())
                .or_default()
                .insert(name.clone());
            for address in &new.addresses {
                touched.extend(self.claimants(*address));
                self.claims
                    .entry(*address)
                    .or_default()
                    .insert(name.clone());
            }
            touched.insert(new.group.clone());
            self.services.insert(name, new);
        }
        touched
    }

    fn claimants(&self, address: SocketAddr) -> impl Iterator<Item = id::Group> {
        let names = self.claims.get(&address).into_iter().flatten();
        names
            .filter_map(|name| self.services.get(name))
            .map(|service| service.group.clone())
    }

    fn set_group(&mut self, entry: &Entry) -> Touched {
        let Ok(name) = id::Group::new(&entry.id.name) else {
            return Touched::new();
        };
        match read::<record::Group>(entry) {
            Some(group) => self.groups.insert(name.clone(), group),
            None => self.groups.remove(&name),
        };
        Touched::from([name])
    }

    fn set_domain(&mut self, entry: &Entry) -> Touched {
        let Ok(name) = id::Domain::new(&entry.id.name) else {
            return Touched::new();
        };
        let state = read::<record::Domain>(entry).map(|domain| domain.state);
        let changed = if state == Some(DomainState::Out) {
            self.out.insert(name.clone())
        } else {
            self.out.remove(&name)
        };
        if !changed {
            return Touched::new();
        }
        let inside = self.targets.values().filter(|target| target.domain == name);
        inside.map(|target| target.group.clone()).collect()
    }

    fn set_drain(&mut self, entry: &Entry) -> Touched {
        let old = self.drains.remove(&entry.id.name);
        let new = read::<record::Drain>(entry).map(|drain| drain.target);
        if let Some(target) = &old {
            decrement(&mut self.drained, target);
        }
        if let Some(target) = &new {
            *self.drained.entry(target.clone()).or_insert(0) += 1;
            self.drains.insert(entry.id.name.clone(), target.clone());
        }
        self.groups_of(old.iter().chain(&new))
    }

    fn set_target(&mut self, entry: &Entry) -> Touched {
        let Ok(name) = id::Target::new(&entry.id.name) else {
            return Touched::new();
        };
        let mut touched = Touched::new();
        if let Some(old) = self.targets.remove(&name) {
            remove_member(&mut self.members, &old.group, &name);
            touched.insert(old.group);
        }
        if let Some(new) = read::<record::Target>(entry) {
            self.members
                .entry(new.group.clone())
                .or_default()
                .insert(name.clone());
            touched.insert(new.group.clone());
            self.targets.insert(name, new);
        }
        touched
    }

    fn set_verdict(&mut self, entry: &Entry) -> Touched {
        let old = self.verdicts.remove(&entry.id.name).unwrap_or_default();
        let new = read::<record::Verdict>(entry)
            .map(|verdict| verdict.down)
            .unwrap_or_default();
        for down in &old {
            decrement(&mut self.votes, &(down.target.clone(), down.incarnation));
        }
        for down in &new {
            *self
                .votes
                .entry((down.target.clone(), down.incarnation))
                .or_insert(0) += 1;
        }
        let touched = self.groups_of(old.iter().chain(&new).map(|down| &down.target));
        self.verdicts.insert(entry.id.name.clone(), new);
        touched
    }

    fn groups_of<'a>(&self, targets: impl Iterator<Item = &'a id::Target>) -> Touched {
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

fn remove_member<K: Hash + Eq, M: Ord>(index: &mut HashMap<K, BTreeSet<M>>, key: &K, member: &M) {
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
