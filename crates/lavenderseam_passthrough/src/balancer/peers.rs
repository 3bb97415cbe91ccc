//! The other balancers, and whether they hold other records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

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
    agreed: Option<Instant>,
}

/// Another balancer holds other records.
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

    /// Takes gossip; `own` is the address of this balancer.
    pub(crate) fn heard(
        &mut self,
        from: SocketAddrV4,
        gossip: &Gossip,
        own: SocketAddrV4,
        now: Instant,
    ) {
        self.known.insert(from, now);
        for peer in gossip.balancers.iter().filter(|peer| **peer != own) {
            self.known.entry(*peer).or_insert(now);
        }
    }

    /// Notes whether a peer holds records that are lacking here.
    pub(crate) fn compare(&mut self, gossip: &Gossip, own: &Gossip, now: Instant) {
        let newer = gossip.desired > own.desired || gossip.outs > own.outs;
        let differs = newer || gossip.targets != own.targets;
        if !differs {
            self.agreed = Some(now);
            self.behind.take_if(|behind| Some(behind.rpc) == gossip.rpc);
        } else if let Some(rpc) = gossip.rpc {
            let since = self.behind.map_or(now, |behind| behind.since);
            self.behind = Some(Behind { since, rpc });
        }
    }

    /// Whom to ask for records that were lacking for a span.
    pub(crate) fn ask(&mut self, span: Duration, now: Instant) -> Option<SocketAddrV4> {
        let behind = self
            .behind
            .filter(|behind| now.since(behind.since) >= span)?;
        self.behind = None;
        Some(behind.rpc)
    }

    /// When a peer last held the same records.
    pub(crate) const fn agreed(&self) -> Option<Instant> {
        self.agreed
    }

    /// Whether no other balancer is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
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
