//! A table of buckets, published as one object at every change: each bucket names its present
//! target and the previous ones, to which a target passes packets of flows that it doesn't hold.

use lavenderseam_core::flow::Key;
use lavenderseam_core::view::Standing;

use super::method::{End, Held, Method, Target, Visit, ranked};
use super::scene::{BALANCERS, Scene, TARGETS_LIMIT};

/// Buckets of the table.
const BUCKETS: usize = 4_096;
/// Previous targets that a bucket names.
const PREVIOUS_LIMIT: usize = 2;
/// Bytes that name a target in the table.
const NAME_BYTES: usize = 2;

/// Targets of each bucket, the present one first.
type Table = Vec<Vec<Target>>;

/// The bucket table.
#[derive(Debug, Default)]
pub(super) struct Buckets {
    /// The table published with each version of the records.
    tables: Vec<Table>,
    held: Held,
    published: u64,
}

impl Buckets {
    fn publish(&mut self, scene: &Scene) {
        let mut table = self
            .tables
            .last()
            .cloned()
            .unwrap_or_else(|| vec![Vec::new(); BUCKETS]);
        for (bucket, targets) in table.iter_mut().enumerate() {
            let order = ranked(scene.newest(), bucket as u64, |c| {
                c.standing == Standing::Serving
            });
            let Some(present) = order.first() else {
                continue;
            };
            if targets.first() != Some(present) {
                targets.retain(|target| target != present);
                targets.insert(0, *present);
                targets.truncate(1 + PREVIOUS_LIMIT);
            }
        }
        self.tables.push(table);
    }

    fn targets(&self, version: usize, flow: Key) -> &[Target] {
        let bucket = flow.word() as usize % BUCKETS;
        &self.tables[version][bucket]
    }
}

impl Method for Buckets {
    fn open(&mut self, scene: &Scene, balancer: usize, flow: Key) -> Visit {
        if self.tables.is_empty() {
            self.publish(scene);
        }
        let targets = self.targets(scene.balancer_version(balancer), flow);
        let end = targets.first().copied();
        if let Some(target) = end {
            self.held.insert(target, flow);
        }
        Visit {
            end: end.into(),
            hops: 1,
        }
    }

    fn packet(&mut self, scene: &Scene, balancer: usize, flow: Key, _owner: Target) -> Visit {
        let version = scene.balancer_version(balancer);
        let Some(first) = self.targets(version, flow).first().copied() else {
            return Visit {
                end: End::Reset,
                hops: 1,
            };
        };
        if self.held.contains(first, flow) {
            let end = End::Taken(first);
            return Visit { end, hops: 1 };
        }
        let others = self.targets(scene.agent_version(first), flow);
        let mut hops = 1;
        for other in others.iter().filter(|other| **other != first) {
            hops += 1;
            if self.held.contains(*other, flow) {
                let end = End::Taken(*other);
                return Visit { end, hops };
            }
        }
        Visit {
            end: End::Reset,
            hops,
        }
    }

    fn close(&mut self, flow: Key, owner: Target) {
        self.held.remove(owner, flow);
    }

    fn changed(&mut self, scene: &Scene) {
        self.publish(scene);
        self.published += 1;
    }

    fn control_bytes(&self) -> u64 {
        let readers = BALANCERS + TARGETS_LIMIT;
        self.published * (self.memory() * readers) as u64
    }

    fn memory(&self) -> usize {
        BUCKETS * (1 + PREVIOUS_LIMIT) * NAME_BYTES
    }
}
