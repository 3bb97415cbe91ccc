//! Hashing alone: each packet goes to the serving target that ranks first.

use lavenderseam_core::flow::Key;
use lavenderseam_core::view::Standing;

use super::method::{Held, Method, Target, Visit, ranked};
use super::scene::Scene;

/// Hashing alone.
#[derive(Debug, Default)]
pub(super) struct Hashing {
    held: Held,
}

fn first(scene: &Scene, balancer: usize, flow: Key) -> Option<Target> {
    let view = scene.balancer(balancer);
    let order = ranked(view, flow.word(), |c| c.standing == Standing::Serving);
    order.first().copied()
}

impl Method for Hashing {
    fn open(&mut self, scene: &Scene, balancer: usize, flow: Key) -> Visit {
        let end = first(scene, balancer, flow);
        if let Some(target) = end {
            self.held.insert(target, flow);
        }
        Visit {
            end: end.into(),
            hops: 1,
        }
    }

    fn packet(&mut self, scene: &Scene, balancer: usize, flow: Key, _owner: Target) -> Visit {
        let end = first(scene, balancer, flow);
        let end = end.filter(|target| self.held.contains(*target, flow));
        Visit {
            end: end.into(),
            hops: 1,
        }
    }

    fn close(&mut self, flow: Key, owner: Target) {
        self.held.remove(owner, flow);
    }
}
