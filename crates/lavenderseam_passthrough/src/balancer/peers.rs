//! Other balancers, and detection of records that only they hold.
//!
//! A registration outlives its balancer, so a registered balancer need not run. Whatever depends on
//! which balancers run, or on how many, counts those that have sent a message lately (*running*).
//! Gossip goes round those that have sent one within a minute, and to one of the others in each round,
//! so that the time of a rotation doesn't grow with the balancers that were ever replaced.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::time::Instant;

use crate::message::{INCOMPLETE_TARGETS, RecordVersions};

/// Balancers that each round of gossip is sent to, in rotation: enough that a change reaches all
/// balancers of a small fleet in one round, with a constant cost per round at any size.
const GOSSIP_FANOUT: usize = 4;
/// Minimum time without a message after which a balancer leaves the rotation of gossip, and is removed
/// unless it is registered.
const PEER_EXPIRY: Duration = Duration::from_secs(60);

/// Rotations of gossip without a message after which a balancer no longer counts as running.
const MAX_MISSED_ROTATIONS: u32 = 3;
/// Rotations of gossip without a message after which a balancer leaves the rotation: more than after
/// which no other balancer names it as running, so that two of them don't introduce it to each other
/// for ever.
const EXPIRY_ROTATIONS: u32 = 2 * MAX_MISSED_ROTATIONS;
/// Minimum time without a message after which a balancer no longer counts as running.
const MIN_SILENCE: Duration = Duration::from_secs(5);

/// Another balancer.
#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Time of the last message from the balancer.
    last_message_at: Option<Instant>,
    /// Time at which the address became known.
    known_since: Instant,
    /// `true` if the address is known only from the gossip of a third balancer.
    is_indirect: bool,
}

/// Other balancers known to this one.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<SocketAddrV4, Peer>,
    registered: BTreeSet<SocketAddrV4>,
    next_peer: usize,
    /// Position among the balancers that have left the rotation.
    next_absent: usize,
    /// Time that a rotation of gossip takes.
    rotation: Duration,
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

impl Peer {
    /// Returns `true` if the balancer has sent a message, or become known, within `expiry`.
    fn is_recent(&self, expiry: Duration, now: Instant) -> bool {
        let heard = self
            .last_message_at
            .is_some_and(|at| now.since(at) < expiry);
        heard || now.since(self.known_since) < PEER_EXPIRY
    }

    /// Returns `true` if the balancer has sent a message within `silence`, or has registered just now.
    fn is_running(&self, silence: Duration, now: Instant) -> bool {
        let heard = self
            .last_message_at
            .is_some_and(|at| now.since(at) < silence);
        heard || (!self.is_indirect && now.since(self.known_since) < MIN_SILENCE)
    }
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
        self.peers.entry(peer).or_insert_with(|| {
            self.newcomers.insert(peer);
            Peer {
                last_message_at: None,
                known_since: now,
                is_indirect: false,
            }
        });
    }

    /// Adds a balancer that another one has heard, unless it has sent a message or become known lately.
    fn insert_named(&mut self, peer: SocketAddrV4, now: Instant) {
        let known = self.peers.get(&peer);
        if known.is_some_and(|known| known.is_recent(self.expiry(), now)) {
            return;
        }
        self.newcomers.insert(peer);
        let named = Peer {
            last_message_at: known.and_then(|known| known.last_message_at),
            known_since: now,
            is_indirect: true,
        };
        self.peers.insert(peer, named);
    }

    /// Records a message of another balancer.
    pub(crate) fn on_message(&mut self, from: SocketAddrV4, now: Instant) {
        self.insert(from, now);
        if let Some(sender) = self.peers.get_mut(&from) {
            sender.last_message_at = Some(now);
        }
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
        self.on_message(from, now);
        let is_third = |peer: &&SocketAddrV4| **peer != own && **peer != from;
        for peer in gossip.balancers.iter().filter(is_third) {
            self.insert_named(*peer, now);
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
        self.peers.is_empty()
    }

    /// Returns the balancers for the next round of gossip, and removes expired ones; `interval` is the
    /// time between two rounds.
    ///
    /// The rotation begins after `own`, the address of this balancer. If all balancers began with
    /// the same peer, those that start together would all contact the same few at the same time.
    /// Some that have become known since come first, so that a balancer that has just started soon
    /// hears of all others.
    pub(crate) fn next_gossip_peers(
        &mut self,
        own: SocketAddrV4,
        interval: Duration,
        now: Instant,
    ) -> Vec<SocketAddrV4> {
        let expiry = self.expiry();
        let registered = &self.registered;
        self.peers
            .retain(|address, peer| registered.contains(address) || peer.is_recent(expiry, now));
        let is_recent = |(_, peer): &(&SocketAddrV4, &Peer)| peer.is_recent(expiry, now);
        let (recent, absent): (Vec<_>, Vec<_>) = self.peers.iter().partition(is_recent);
        let address = |(address, _): (&SocketAddrV4, &Peer)| *address;
        let recent: Vec<SocketAddrV4> = recent.into_iter().map(address).collect();
        let absent: Vec<SocketAddrV4> = absent.into_iter().map(address).collect();
        // A balancer that hears from no other one may itself have been cut off for long.
        let (rotating, others) = if recent.is_empty() {
            (absent, recent)
        } else {
            (recent, absent)
        };
        let rounds = rotating.len().div_ceil(GOSSIP_FANOUT);
        self.rotation = interval * u32::try_from(rounds).unwrap_or(u32::MAX);

        let newcomers = std::iter::from_fn(|| self.newcomers.pop_first());
        let mut recipients: Vec<_> = newcomers.take(GOSSIP_FANOUT).collect();
        let before_own = rotating.partition_point(|peer| *peer < own);
        let in_turn = rotating.iter().cycle().skip(before_own + self.next_peer);
        let in_turn = in_turn.take(GOSSIP_FANOUT.min(rotating.len()));
        let other = others.get(self.next_absent % others.len().max(1));
        for peer in in_turn.chain(other) {
            if !recipients.contains(peer) {
                recipients.push(*peer);
            }
        }
        self.next_peer = (self.next_peer + GOSSIP_FANOUT) % rotating.len().max(1);
        self.next_absent = (self.next_absent + 1) % others.len().max(1);
        recipients
    }

    /// Returns the addresses of the balancers that seem to run: they have sent a message lately, or have
    /// registered just now.
    pub(crate) fn running(&self, now: Instant) -> impl Iterator<Item = SocketAddrV4> + Clone {
        let silence = self.silence();
        let running = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.is_running(silence, now));
        running.map(|(address, _)| *address)
    }

    /// Returns the addresses of the balancers that may have opened flows: they have sent a message
    /// lately, or have become known within `unheard_time` and may not have sent any yet.
    pub(crate) fn awaited(
        &self,
        unheard_time: Duration,
        now: Instant,
    ) -> impl Iterator<Item = SocketAddrV4> {
        let silence = self.silence();
        let is_awaited = move |peer: &Peer| match peer.last_message_at {
            Some(at) => now.since(at) < silence,
            None => now.since(peer.known_since) < unheard_time,
        };
        let awaited = self.peers.iter().filter(move |(_, peer)| is_awaited(peer));
        awaited.map(|(address, _)| *address)
    }

    /// Returns the time without a message after which a balancer no longer counts as running.
    fn silence(&self) -> Duration {
        // Each balancer sends gossip to each other one once in a rotation.
        (self.rotation * MAX_MISSED_ROTATIONS).max(MIN_SILENCE)
    }

    /// Returns the addresses of up to `limit` balancers that seem to run, others after each round of
    /// gossip.
    pub(crate) fn named(
        &self,
        limit: usize,
        now: Instant,
    ) -> impl Iterator<Item = SocketAddrV4> + use<'_> {
        let running = self.running(now);
        let count = running.clone().count();
        let first = if count > limit { self.next_peer } else { 0 };
        running.cycle().skip(first).take(limit.min(count))
    }

    /// Returns the time without a message after which a balancer leaves the rotation of gossip.
    fn expiry(&self) -> Duration {
        (self.rotation * EXPIRY_ROTATIONS).max(PEER_EXPIRY)
    }
}
