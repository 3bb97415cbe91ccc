//! The processes that relay records.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::Entry;
use crate::id;
use crate::record::{Balancer, Id, Kind, Record, Target};

number! {
    /// Hash of a member's kind and name.
    pub struct MemberId(u64);
}

/// A process that relays records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity, the same for every run of the process.
    pub id: MemberId,
    /// Region that it lives in.
    pub region: id::Region,
    /// Address for remote calls.
    pub rpc: SocketAddr,
    /// Whether it is a balancer.
    pub balancer: bool,
}

/// All processes that relay records.
#[derive(Clone, Debug, Default)]
pub struct Members {
    present: BTreeMap<MemberId, Member>,
}

impl MemberId {
    /// Identity of the process that a record describes.
    #[must_use]
    pub fn new(id: &Id) -> Self {
        Self(xxh3_64_with_seed(id.name.as_bytes(), id.kind as u64))
    }
}

impl Member {
    /// The member that an entry describes, if it describes one that this program can read.
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
            balancer: entry.id.kind == Kind::Balancer,
        })
    }
}

impl Members {
    /// Takes an entry that the catalog has taken; returns whether the members changed.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        if !matches!(entry.id.kind, Kind::Balancer | Kind::Target) {
            return false;
        }
        match Member::new(entry) {
            Some(member) => {
                let before = self.present.insert(member.id, member.clone());
                before.as_ref() != Some(&member)
            }
            None => self.present.remove(&MemberId::new(&entry.id)).is_some(),
        }
    }

    /// Adds a member.
    pub fn insert(&mut self, member: Member) {
        self.present.insert(member.id, member);
    }

    /// A member by its identity.
    #[must_use]
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.present.get(&id)
    }

    /// All members in the order of their identities.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.present.values()
    }

    /// Number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.present.len()
    }

    /// Whether there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.present.is_empty()
    }
}
