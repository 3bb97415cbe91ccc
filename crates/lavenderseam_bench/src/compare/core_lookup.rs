//! Lookup by the real core: owners hold flows, packets are forwarded from candidate to candidate
//! until the owner is found, balancers cache owners, and packets carry owner tokens where the
//! transport has room for them.

use lavenderseam_core::flow::owner::{self, Action, ForwardedPacket};
use lavenderseam_core::flow::{Hint, Key, Kind, Owner, Packet, Router, Token, router};
use lavenderseam_wire::{Frame, FrameHeader, SymmetricKey as WireKey};

use super::method::{Delivery, LookupMethod, Outcome, Target};
use super::simulation::{
    BALANCERS, MAX_TARGETS, Simulation, domain, group, index_of, service, tag,
};

/// Memory per cached flow, in bytes.
const CACHED_FLOW_BYTES: usize = 64;

/// Lookup by the real routers and owners.
pub(super) struct CoreLookup {
    routers: Vec<Router>,
    owners: Vec<Owner>,
    use_tokens: bool,
    use_cache: bool,
    hint_bytes_sent: u64,
}

/// Creates a router; without `use_cache`, its cache has a capacity of 1.
fn new_router(use_cache: bool) -> Router {
    let (shards, capacity) = if use_cache { (16, 1 << 16) } else { (1, 1) };
    Router::new(router::Settings {
        shard_count: shards,
        capacity,
        ..router::Settings::default()
    })
}

fn new_owner(target: Target) -> Owner {
    let settings = owner::Settings {
        max_flows: usize::MAX,
        ..owner::Settings::default()
    };
    Owner::with_settings(tag(target), group(), domain(), settings)
}

/// Returns the size of a sealed hint, in bytes.
fn hint_bytes(hint: Hint) -> u64 {
    let mut buffer = Vec::new();
    let sealed = Frame::new(FrameHeader::Hint(hint)).seal(&WireKey::new([0; 32]), &mut buffer);
    debug_assert_eq!(sealed, Ok(()));
    buffer.len() as u64
}

impl CoreLookup {
    /// Creates the method without tokens. Without `use_cache`, each packet starts a new search
    /// for the owner.
    pub(super) fn with_cache(use_cache: bool) -> Self {
        Self {
            routers: (0..BALANCERS).map(|_| new_router(use_cache)).collect(),
            owners: (0..MAX_TARGETS).map(new_owner).collect(),
            use_tokens: false,
            use_cache,
            hint_bytes_sent: 0,
        }
    }

    /// Creates the method with the owner's token in each packet of an established flow.
    pub(super) fn with_tokens() -> Self {
        Self {
            use_tokens: true,
            ..Self::with_cache(true)
        }
    }

    fn send(&mut self, sim: &Simulation, balancer: usize, packet: Packet) -> Delivery {
        let view = sim.balancer(balancer);
        let now = sim.instant();
        let router = &self.routers[balancer];
        let router::Action::Forward {
            target,
            requests_hint: hint_requested,
            ..
        } = router.route(&packet, view, now)
        else {
            return Delivery {
                outcome: Outcome::Dropped,
                hops: 0,
            };
        };
        let (mut next, mut visited_targets, mut revision) = (target, Vec::new(), view.revision());
        loop {
            let hops = visited_targets.len() as u32 + 1;
            let Some(index) = index_of(next) else {
                return Delivery {
                    outcome: Outcome::Dropped,
                    hops,
                };
            };
            let forwarded = ForwardedPacket {
                packet,
                visited: &visited_targets,
                revision,
            };
            let decision =
                self.owners[index].handle_packet(&forwarded, sim.agent(index), now, true);
            if let Some(hint) = decision.hint.filter(|_| hint_requested && self.use_cache) {
                self.hint_bytes_sent += hint_bytes(hint);
                router.apply_hint(&hint, view, now);
            }
            match decision.action {
                Action::Deliver { .. } => {
                    let outcome = Outcome::Delivered(index);
                    return Delivery { outcome, hops };
                }
                Action::Forward {
                    next: target,
                    visited,
                    revision: newest,
                    ..
                } => {
                    next = target;
                    visited_targets = visited;
                    revision = newest;
                }
                Action::Refuse | Action::Reset => {
                    let outcome = Outcome::Reset;
                    return Delivery { outcome, hops };
                }
                Action::Drop(_) => {
                    let outcome = Outcome::Dropped;
                    return Delivery { outcome, hops };
                }
            }
        }
    }
}

impl LookupMethod for CoreLookup {
    fn open(&mut self, sim: &Simulation, balancer: usize, flow: Key) -> Delivery {
        let packet = Packet {
            flow,
            service: service(),
            kind: Kind::Opener,
            token: None,
        };
        let delivery = self.send(sim, balancer, packet);
        if let Outcome::Delivered(owner) = delivery.outcome {
            self.owners[owner].mark_established(flow, sim.instant());
        }
        delivery
    }

    fn packet(&mut self, sim: &Simulation, balancer: usize, flow: Key, owner: Target) -> Delivery {
        let token = self.use_tokens.then(|| Token {
            owner: tag(owner),
            nonce: 1,
        });
        let packet = Packet {
            flow,
            service: service(),
            kind: Kind::Continuing,
            token,
        };
        self.send(sim, balancer, packet)
    }

    fn close(&mut self, flow: Key, owner: Target) {
        self.owners[owner].remove(flow);
    }

    fn balancer_replaced(&mut self, balancer: usize) {
        self.routers[balancer] = new_router(self.use_cache);
    }

    fn control_bytes(&self) -> u64 {
        self.hint_bytes_sent
    }

    fn memory(&self) -> usize {
        let cached: usize = self.routers.iter().map(Router::cached_flow_count).sum();
        cached / BALANCERS * CACHED_FLOW_BYTES
    }
}
