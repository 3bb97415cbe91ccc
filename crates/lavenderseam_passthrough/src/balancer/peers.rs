//! The other balancers, and whether their records are newer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::time::Instant;

use crate::message::Gossip;

/// Peers that one round of gossip goes to, in turn: enough that a change reaches all balancers of
/// a small fleet in one round, and few at any size.
const FANOUT: usize = 4;
/// How long a peer that only gossip named is kept without being heard.
const FORGET: Duration = Duration::from_secs(60);

/// The other balancers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// When each was last heard of.
    known: BTreeMap<SocketAddrV4, Instant>,
    registered: BTreeSet<SocketAddrV4>,
    turn: usize,
    behind: Option<Behind>,
}

/// Another balancer holds newer records.
#[derive(Clone, Copy, Debug)]
struct Behind {
    since: Instant,
    rpc: SocketAddrV4,
}

impl Peers {
    /// Takes the balancers that have registered with the store.
    pub(crate) fn registered(&mut self, balancers: &BTreeSet<SocketAddrV4>, now: Instant) {
        self.registered.clone_from(balancers);
        for peer in balancers {
            self.known.entry(*peer).or_insert(now);
        }
    }

    /// Notes a balancer to begin with.
    pub(crate) fn insert(&mut self, peer: SocketAddrV4, now: Instant) {
        self.known.entry(peer).or_insert(now);
    }

    /// Takes gossip.
    pub(crate) fn heard(&mut self, from: SocketAddrV4, gossip: &Gossip, now: Instant) {
        self.known.insert(from, now);
        for peer in &gossip.balancers {
            self.known.entry(*peer).or_insert(now);
        }
    }

    /// Notes whether a peer holds newer records.
    pub(crate) fn compare(
        &mut self,
        gossip: &Gossip,
        desired: Revision,
        outs: Revision,
        now: Instant,
    ) {
        let newer = gossip.desired > desired || gossip.outs > outs;
        if let (true, Some(rpc)) = (newer, gossip.rpc) {
            let since = self.behind.map_or(now, |behind| behind.since);
            self.behind = Some(Behind { since, rpc });
        }
    }

    /// Notes that newer records have come.
    pub(crate) fn caught_up(&mut self) {
        self.behind = None;
    }

    /// Whom to ask for records that were lacking for a span.
    pub(crate) fn ask(&mut self, span: Duration, now: Instant) -> Option<SocketAddrV4> {
        let behind = self.behind.filter(|behind| now.since(behind.since) >= span)?;
        self.behind = None;
        Some(behind.rpc)
    }

    /// The peers for the next round of gossip.
    pub(crate) fn round(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        let registered = &self.registered;
        self.known
            .retain(|peer, heard| registered.contains(peer) || now.since(*heard) < FORGET);
        let count = self.known.len();
        let first = self.turn;
        self.turn = (self.turn + FANOUT) % count.max(1);
        let peers = self.known.keys().cycle().skip(first);
        peers.take(FANOUT.min(count)).copied().collect()
    }

    /// The balancers known.
    pub(crate) fn all(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.known.keys().copied()
    }
}
