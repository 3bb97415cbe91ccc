//! Other balancers, and detection of records that only they hold.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::time::Instant;

use crate::message::{INCOMPLETE_TARGETS, RecordVersions};

/// Balancers that each round of gossip is sent to, in rotation: enough that a change reaches all
/// balancers of a small fleet in one round, with a constant cost per round at any size.
const GOSSIP_FANOUT: usize = 4;
/// Time without a message after which an unregistered balancer, known only from gossip, is removed.
const PEER_EXPIRY: Duration = Duration::from_secs(60);

/// Rotations of gossip without a message after which a balancer no longer counts as active.
const MAX_MISSED_ROTATIONS: u32 = 3;
/// Minimum time without a message after which a balancer no longer counts as active.
const MIN_SILENCE: Duration = Duration::from_secs(5);

/// Other balancers known to this one.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// Time of the last message from each balancer, or the time at which gossip first named it.
    last_message_at: BTreeMap<SocketAddrV4, Instant>,
    registered: BTreeSet<SocketAddrV4>,
    next_peer: usize,
    /// Balancers that haven't been sent gossip yet, and get some in the next round.
    newcomers: BTreeSet<SocketAddrV4>,
    last_gossip: Option<Instant>,
    divergent: Option<DivergentPeer>,
    /// Digests of the targets that other balancers know, with the time of the last gossip that
    /// named each.
    digests: BTreeMap<u64, Instant>,
}

/// A balancer whose records differ from those held here.
#[derive(Clone, Copy, Debug)]
struct DivergentPeer {
    since: Instant,
    rpc: SocketAddrV4,
}

impl Peers {
    /// Replaces the set of balancers that have registered with the store.
    pub(crate) fn set_registered(&mut self, balancers: &BTreeSet<SocketAddrV4>, now: Instant) {
        self.registered.clone_from(balancers);
        for peer in balancers {
            self.insert(*peer, now);
        }
    }

    /// Adds a balancer if it isn't known yet.
    pub(crate) fn insert(&mut self, peer: SocketAddrV4, now: Instant) {
        self.last_message_at.entry(peer).or_insert_with(|| {
            self.newcomers.insert(peer);
            now
        });
    }

    /// Records gossip from another balancer, and the balancers that it names; `own` is the address
    /// of this balancer.
    pub(crate) fn on_gossip(
        &mut self,
        from: SocketAddrV4,
        gossip: &RecordVersions,
        own: SocketAddrV4,
        now: Instant,
    ) {
        self.last_gossip = Some(now);
        self.insert(from, now);
        self.last_message_at.insert(from, now);
        for peer in gossip.balancers.iter().filter(|peer| **peer != own) {
            self.insert(*peer, now);
        }
    }

    /// Compares the records of another balancer with those held here (`own`).
    pub(crate) fn compare_records(
        &mut self,
        gossip: &RecordVersions,
        own: &RecordVersions,
        now: Instant,
    ) {
        let newer = gossip.desired_revision > own.desired_revision
            || gossip.out_domains_revision > own.out_domains_revision;
        // After a restore of the store, the newer version may be in the older epoch.
        let other_epoch = gossip.desired_revision.epoch() != own.desired_revision.epoch();
        let digest = gossip.targets_digest;
        let knows_other_targets = digest != INCOMPLETE_TARGETS && digest != own.targets_digest;
        if digest != INCOMPLETE_TARGETS {
            self.digests.insert(digest, now);
        }
        let differs = newer || other_epoch || knows_other_targets;
        if !differs {
            self.divergent
                .take_if(|divergent| Some(divergent.rpc) == gossip.rpc_address);
        } else if let Some(rpc) = gossip.rpc_address {
            let since = self.divergent.map_or(now, |divergent| divergent.since);
            self.divergent = Some(DivergentPeer { since, rpc });
        }
    }

    /// Returns the balancer to fetch records from, if the records have differed for at least
    /// `delay`.
    pub(crate) fn due_fetch(&mut self, delay: Duration, now: Instant) -> Option<SocketAddrV4> {
        let divergent = self
            .divergent
            .filter(|divergent| now.since(divergent.since) >= delay)?;
        self.divergent = None;
        Some(divergent.rpc)
    }

    /// Returns the time of the last gossip of a balancer that knows all targets, and whose targets
    /// have this digest.
    pub(crate) fn last_agreement(&self, targets_digest: u64) -> Option<Instant> {
        self.digests.get(&targets_digest).copied()
    }

    /// Removes digests that were last named `max_age` ago.
    pub(crate) fn expire_digests(&mut self, max_age: Duration, now: Instant) {
        self.digests.retain(|_, at| now.since(*at) < max_age);
    }

    /// Returns the time at which the last gossip of another balancer arrived.
    pub(crate) const fn last_gossip(&self) -> Option<Instant> {
        self.last_gossip
    }

    /// Returns `true` if no other balancer is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.last_message_at.is_empty()
    }

    /// Returns the balancers for the next round of gossip, and removes expired ones.
    ///
    /// The rotation begins after `own`, the address of this balancer. If all balancers began with
    /// the same peer, those that start together would all contact the same few at the same time.
    /// Some that have become known since come first, so that a balancer that has just started soon
    /// hears of all others.
    pub(crate) fn next_gossip_peers(
        &mut self,
        own: SocketAddrV4,
        now: Instant,
    ) -> Vec<SocketAddrV4> {
        let registered = &self.registered;
        self.last_message_at
            .retain(|peer, at| registered.contains(peer) || now.since(*at) < PEER_EXPIRY);
        let count = self.last_message_at.len();
        let before_own = self.last_message_at.range(..own).count();
        let first = before_own + self.next_peer;
        self.next_peer = (self.next_peer + GOSSIP_FANOUT) % count.max(1);
        let newcomers = std::iter::from_fn(|| self.newcomers.pop_first());
        let mut recipients: Vec<_> = newcomers.take(GOSSIP_FANOUT).collect();
        let peers = self.last_message_at.keys().cycle().skip(first);
        for peer in peers.take(GOSSIP_FANOUT.min(count)) {
            if !recipients.contains(peer) {
                recipients.push(*peer);
            }
        }
        recipients
    }

    /// Returns the number of balancers that have sent a message or become known recently.
    ///
    /// A registration outlives its balancer, so the number of known balancers only grows where
    /// balancers are replaced.
    pub(crate) fn active(&self, gossip_interval: Duration, now: Instant) -> usize {
        // Each balancer sends gossip to each other one once in a rotation.
        let rounds = self.last_message_at.len().div_ceil(GOSSIP_FANOUT);
        let rotation = gossip_interval * u32::try_from(rounds).unwrap_or(u32::MAX);
        let silence = (rotation * MAX_MISSED_ROTATIONS).max(MIN_SILENCE);
        let last_messages = self.last_message_at.values();
        last_messages.filter(|at| now.since(**at) < silence).count()
    }

    /// Returns the number of known balancers.
    pub(crate) fn len(&self) -> usize {
        self.last_message_at.len()
    }

    /// Returns the addresses of up to `limit` known balancers, others after each round of gossip.
    pub(crate) fn named(&self, limit: usize) -> impl Iterator<Item = SocketAddrV4> {
        let count = self.last_message_at.len();
        let first = if count > limit { self.next_peer } else { 0 };
        let addresses = self.last_message_at.keys().copied();
        addresses.cycle().skip(first).take(limit.min(count))
    }

    /// Returns the addresses of all known balancers.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.last_message_at.keys().copied()
    }
}
