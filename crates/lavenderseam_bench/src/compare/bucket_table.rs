//! Model of a bucket table that is published as one object on every change. Each bucket lists its
//! current target and the previous ones, to which a target forwards packets of flows that it
//! doesn't hold.

use lavenderseam_core::flow::Key;
use lavenderseam_core::view::TargetState;

use super::method::{Delivery, FlowTable, LookupMethod, Outcome, Target, ranked};
use super::simulation::{BALANCERS, MAX_TARGETS, Simulation};

/// Number of buckets.
const BUCKETS: usize = 4_096;
/// Maximum number of previous targets per bucket.
const MAX_PREVIOUS_TARGETS: usize = 2;
/// Size of a target's index in the table, in bytes.
const TARGET_INDEX_BYTES: usize = 2;

/// Targets of each bucket, the current one first.
type Table = Vec<Vec<Target>>;

/// Lookup by bucket table.
#[derive(Debug, Default)]
pub(super) struct BucketTable {
    /// Table of each version of the records.
    tables: Vec<Table>,
    flows_held: FlowTable,
    publications: u64,
}

impl BucketTable {
    fn publish(&mut self, sim: &Simulation) {
        let mut table = self
            .tables
            .last()
            .cloned()
            .unwrap_or_else(|| vec![Vec::new(); BUCKETS]);
        for (bucket, targets) in table.iter_mut().enumerate() {
            let order = ranked(sim.newest(), bucket as u64, |c| {
                c.state == TargetState::Serving
            });
            let Some(current) = order.first() else {
                continue;
            };
            if targets.first() != Some(current) {
                targets.retain(|target| target != current);
                targets.insert(0, *current);
                targets.truncate(1 + MAX_PREVIOUS_TARGETS);
            }
        }
        self.tables.push(table);
    }

    fn targets(&self, version: usize, flow: Key) -> &[Target] {
        let bucket = flow.fold_u64() as usize % BUCKETS;
        &self.tables[version][bucket]
    }
}

impl LookupMethod for BucketTable {
    fn open(&mut self, sim: &Simulation, balancer: usize, flow: Key) -> Delivery {
        if self.tables.is_empty() {
            self.publish(sim);
        }
        let targets = self.targets(sim.balancer_version(balancer), flow);
        let outcome = targets.first().copied();
        if let Some(target) = outcome {
            self.flows_held.insert(target, flow);
        }
        Delivery {
            outcome: outcome.into(),
            hops: 1,
        }
    }

    fn packet(&mut self, sim: &Simulation, balancer: usize, flow: Key, _owner: Target) -> Delivery {
        let version = sim.balancer_version(balancer);
        let Some(first) = self.targets(version, flow).first().copied() else {
            return Delivery {
                outcome: Outcome::Reset,
                hops: 1,
            };
        };
        if self.flows_held.contains(first, flow) {
            let outcome = Outcome::Delivered(first);
            return Delivery { outcome, hops: 1 };
        }
        let others = self.targets(sim.agent_version(first), flow);
        let mut hops = 1;
        for other in others.iter().filter(|other| **other != first) {
            hops += 1;
            if self.flows_held.contains(*other, flow) {
                let outcome = Outcome::Delivered(*other);
                return Delivery { outcome, hops };
            }
        }
        Delivery {
            outcome: Outcome::Reset,
            hops,
        }
    }

    fn close(&mut self, flow: Key, owner: Target) {
        self.flows_held.remove(owner, flow);
    }

    fn records_changed(&mut self, sim: &Simulation) {
        self.publish(sim);
        self.publications += 1;
    }

    fn control_bytes(&self) -> u64 {
        let readers = BALANCERS + MAX_TARGETS;
        self.publications * (self.memory() * readers) as u64
    }

    fn memory(&self) -> usize {
        BUCKETS * (1 + MAX_PREVIOUS_TARGETS) * TARGET_INDEX_BYTES
    }
}
