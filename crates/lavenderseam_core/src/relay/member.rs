//! Processes that take part in the replication of records.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::Entry;
use crate::id;
use crate::record::{Balancer, Id, Kind, Record, Target};

number! {
    /// Identity of a member: a hash of the kind and name of its record.
    pub struct MemberId(u64);
}

/// A process that takes part in the replication of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity of the process, which stays the same over restarts.
    pub id: MemberId,
    /// Region that the process runs in.
    pub region: id::Region,
    /// Address of the process's RPC endpoint.
    pub rpc: SocketAddr,
    /// `true` for a balancer, `false` for an agent.
    pub is_balancer: bool,
}

/// All known members, indexed by identity.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_id: BTreeMap<MemberId, Member>,
}

impl MemberId {
    /// Returns the identity of the process that a record announces.
    #[must_use]
    pub fn new(id: &Id) -> Self {
        Self(xxh3_64_with_seed(id.name.as_bytes(), id.kind as u64))
    }
}

impl Member {
    /// Returns the member that an entry announces, or `None` if the entry is a deletion, is of a
    /// kind that isn't a member, or can't be read.
    #[must_use]
    pub fn new(entry: &Entry) -> Option<Self> {
        let document = entry.document.as_ref()?;
        let (region, rpc) = match entry.id.kind {
            Kind::Balancer => Balancer::read(document)
                .ok()
                .map(|read| (read.region, read.rpc))?,
            Kind::Target => Target::read(document)
                .ok()
                .map(|read| (read.region, read.rpc))?,
            _ => return None,
        };
        Some(Self {
            id: MemberId::new(&entry.id),
            region,
            rpc,
            is_balancer: entry.id.kind == Kind::Balancer,
        })
    }
}

impl Members {
    /// Applies an entry that the catalog has applied; returns `true` if the members changed.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        if !matches!(entry.id.kind, Kind::Balancer | Kind::Target) {
            return false;
        }
        match Member::new(entry) {
            Some(member) => {
                let before = self.by_id.insert(member.id, member.clone());
                before.as_ref() != Some(&member)
            }
            None => self.by_id.remove(&MemberId::new(&entry.id)).is_some(),
        }
    }

    /// Adds or replaces a member.
    pub fn insert(&mut self, member: Member) {
        self.by_id.insert(member.id, member);
    }

    /// Returns the member with an identity.
    #[must_use]
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.by_id.get(&id)
    }

    /// Returns all members, ordered by identity.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_id.values()
    }

    /// Returns the number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns `true` if there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
