//! The real core: flows held by their owners, the walk over candidates, the balancers' cache, and
//! tokens where the transport has room for them.

use lavenderseam_core::flow::owner::{self, Action, Arrival};
use lavenderseam_core::flow::{Hint, Key, Kind, Owner, Packet, Router, Token, router};
use lavenderseam_wire::{Body, Frame, Key as WireKey};

use super::method::{End, Method, Target, Visit};
use super::scene::{BALANCERS, Scene, TARGETS_LIMIT, domain, group, index_of, service, tag};

/// Bytes of a cached flow.
const LINE_BYTES: usize = 64;

/// The real core.
pub(super) struct Owners {
    routers: Vec<Router>,
    owners: Vec<Owner>,
    tokens: bool,
    cache: bool,
    sent: u64,
}

/// A router whose cache, if it isn't to have one, holds a handful of flows.
fn new_router(cache: bool) -> Router {
    let (shards, capacity) = if cache { (16, 1 << 16) } else { (1, 1) };
    Router::new(router::Settings {
        shards,
        capacity,
        ..router::Settings::default()
    })
}

fn new_owner(target: Target) -> Owner {
    let settings = owner::Settings {
        limit: usize::MAX,
        ..owner::Settings::default()
    };
    Owner::with_settings(tag(target), group(), domain(), settings)
}

/// Bytes of a sealed hint.
fn hint_bytes(hint: Hint) -> u64 {
    let mut buffer = Vec::new();
    let sealed = Frame::new(Body::Hint(hint)).seal(&WireKey::new([0; 32]), &mut buffer);
    debug_assert_eq!(sealed, Ok(()));
    buffer.len() as u64
}

impl Owners {
    /// Without tokens; without the cache every packet starts the walk anew.
    pub(super) fn with_cache(cache: bool) -> Self {
        Self {
            routers: (0..BALANCERS).map(|_| new_router(cache)).collect(),
            owners: (0..TARGETS_LIMIT).map(new_owner).collect(),
            tokens: false,
            cache,
            sent: 0,
        }
    }

    /// With the owner's token in every packet of an established flow.
    pub(super) fn with_tokens() -> Self {
        Self {
            tokens: true,
            ..Self::with_cache(true)
        }
    }

    fn send(&mut self, scene: &Scene, balancer: usize, packet: Packet) -> Visit {
        let view = scene.balancer(balancer);
        let now = scene.instant();
        let router = &self.routers[balancer];
        let router::Action::Forward { target, asks, .. } = router.packet(&packet, view, now) else {
            return Visit {
                end: End::Lost,
                hops: 0,
            };
        };
        let (mut next, mut trail, mut revision) = (target, Vec::new(), view.revision());
        loop {
            let hops = trail.len() as u32 + 1;
            let Some(index) = index_of(next) else {
                return Visit {
                    end: End::Lost,
                    hops,
                };
            };
            let arrival = Arrival {
                packet,
                trail: &trail,
                revision,
            };
            let decision = self.owners[index].arrival(&arrival, scene.agent(index), now, true);
            if let Some(hint) = decision.hint.filter(|_| asks && self.cache) {
                self.sent += hint_bytes(hint);
                router.hint(&hint, view, now);
            }
            match decision.action {
                Action::Deliver { .. } => {
                    let end = End::Taken(index);
                    return Visit { end, hops };
                }
                Action::Pass {
                    next: target,
                    trail: visited,
                    revision: newest,
                    ..
                } => {
                    next = target;
                    trail = visited;
                    revision = newest;
                }
                Action::Refuse | Action::Reset => {
                    let end = End::Reset;
                    return Visit { end, hops };
                }
                Action::Drop(_) => {
                    let end = End::Lost;
                    return Visit { end, hops };
                }
            }
        }
    }
}

impl Method for Owners {
    fn open(&mut self, scene: &Scene, balancer: usize, flow: Key) -> Visit {
        let packet = Packet {
            flow,
            service: service(),
            kind: Kind::Opener,
            token: None,
        };
        let visit = self.send(scene, balancer, packet);
        if let End::Taken(owner) = visit.end {
            self.owners[owner].established(flow, scene.instant());
        }
        visit
    }

    fn packet(&mut self, scene: &Scene, balancer: usize, flow: Key, owner: Target) -> Visit {
        let token = self.tokens.then(|| Token {
            owner: tag(owner),
            nonce: 1,
        });
        let packet = Packet {
            flow,
            service: service(),
            kind: Kind::Continuing,
            token,
        };
        self.send(scene, balancer, packet)
    }

    fn close(&mut self, flow: Key, owner: Target) {
        self.owners[owner].closed(flow);
    }

    fn replaced(&mut self, balancer: usize) {
        self.routers[balancer] = new_router(self.cache);
    }

    fn control_bytes(&self) -> u64 {
        self.sent
    }

    fn memory(&self) -> usize {
        let cached: usize = self.routers.iter().map(Router::cached).sum();
        cached / BALANCERS * LINE_BYTES
    }
}
