//! Model of rendezvous hashing only: each packet goes to the serving target that ranks first.

use lavenderseam_core::flow::Key;
use lavenderseam_core::view::TargetState;

use super::method::{Delivery, FlowTable, LookupMethod, Target, ranked};
use super::simulation::Simulation;

/// Lookup by hashing only.
#[derive(Debug, Default)]
pub(super) struct HashingOnly {
    flows_held: FlowTable,
}

fn first_ranked(sim: &Simulation, balancer: usize, flow: Key) -> Option<Target> {
    let view = sim.balancer(balancer);
    let order = ranked(view, flow.fold_u64(), |c| c.state == TargetState::Serving);
    order.first().copied()
}

impl LookupMethod for HashingOnly {
    fn open(&mut self, sim: &Simulation, balancer: usize, flow: Key) -> Delivery {
        let outcome = first_ranked(sim, balancer, flow);
        if let Some(target) = outcome {
            self.flows_held.insert(target, flow);
        }
        Delivery {
            outcome: outcome.into(),
            hops: 1,
        }
    }

    fn packet(&mut self, sim: &Simulation, balancer: usize, flow: Key, _owner: Target) -> Delivery {
        let outcome = first_ranked(sim, balancer, flow);
        let outcome = outcome.filter(|target| self.flows_held.contains(*target, flow));
        Delivery {
            outcome: outcome.into(),
            hops: 1,
        }
    }

    fn close(&mut self, flow: Key, owner: Target) {
        self.flows_held.remove(owner, flow);
    }
}
