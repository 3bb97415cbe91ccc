//! Drives one way with the common schedule.

use lavenderseam_core::flow::Key;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use super::method::{End, Method, Target, Visit};
use super::report::Row;
use super::scene::{BALANCERS, Change, Scene, TARGETS, TARGETS_LIMIT};

/// Length of the schedule, in milliseconds; a flow is opened in each.
const LENGTH: u64 = 30_000;
/// Flows that are open at a time.
const OPEN: usize = 7_000;
/// Packets of open flows in each millisecond.
const PACKETS: usize = 10;
/// Milliseconds between two changes.
const CHANGE_INTERVAL: u64 = 1_500;
/// Milliseconds between two replacements of a balancer.
const REPLACE_INTERVAL: u64 = 10_000;
const SECOND: u64 = 1_000;

struct Flow {
    key: Key,
    owner: Target,
}

/// What was seen so far.
#[derive(Default)]
struct Seen {
    flows: u64,
    broken: u64,
    lost: u64,
    packets: u64,
    hops: u64,
    walked: u64,
    imbalance: f64,
    memory: usize,
}

struct Runner<M> {
    method: M,
    scene: Scene,
    random: StdRng,
    flows: Vec<Flow>,
    draining: Vec<Target>,
    joined: usize,
    seen: Seen,
}

/// Measures a way under a schedule that depends on the seed alone.
pub(super) fn measure<M: Method>(name: &'static str, method: M, seed: u64) -> Row {
    let mut runner = Runner {
        method,
        scene: Scene::new(seed),
        random: StdRng::seed_from_u64(seed),
        flows: Vec::new(),
        draining: Vec::new(),
        joined: TARGETS,
        seen: Seen::default(),
    };
    for _ in 0..OPEN {
        runner.open();
    }
    for _ in 0..LENGTH {
        runner.step();
    }
    let seen = &runner.seen;
    Row {
        method: name,
        flows: seen.flows,
        broken: seen.broken,
        lost: seen.lost,
        hops: seen.hops as f64 / seen.packets as f64,
        walked: seen.walked as f64 / seen.packets as f64,
        memory: seen.memory,
        control: runner.method.control_bytes() / (LENGTH / SECOND),
        imbalance: seen.imbalance,
    }
}

impl<M: Method> Runner<M> {
    fn step(&mut self) {
        self.scene.step();
        if self.scene.now.is_multiple_of(CHANGE_INTERVAL) {
            self.change();
        }
        if self.scene.now.is_multiple_of(REPLACE_INTERVAL) {
            let balancer = self.random.random_range(0..BALANCERS);
            self.method.replaced(balancer);
        }
        if self.scene.now.is_multiple_of(SECOND) {
            self.method.second(&self.scene);
            self.weigh();
        }
        self.close();
        self.open();
        for _ in 0..PACKETS {
            let index = self.random.random_range(0..self.flows.len());
            self.packet(index);
        }
    }

    /// Drains a target, takes the oldest drain back, or lets a target join.
    fn change(&mut self) {
        let change = if self.joined < TARGETS_LIMIT && self.random.random_bool(0.2) {
            self.joined += 1;
            Change::Join(self.joined - 1)
        } else if self.draining.len() < 2 {
            let target = self.random.random_range(0..TARGETS);
            if self.draining.contains(&target) {
                return;
            }
            self.draining.push(target);
            Change::Drain(target)
        } else {
            Change::Undrain(self.draining.remove(0))
        };
        self.scene.change(change);
        self.method.changed(&self.scene);
    }

    fn open(&mut self) {
        let halves = [self.random.next_u64(), self.random.next_u64()];
        let key = Key(u128::from(halves[0]) << 64 | u128::from(halves[1]));
        let balancer = self.random.random_range(0..BALANCERS);
        self.seen.flows += 1;
        if let End::Taken(owner) = self.method.open(&self.scene, balancer, key).end {
            self.flows.push(Flow { key, owner });
        }
    }

    fn close(&mut self) {
        if self.flows.len() >= OPEN {
            let index = self.random.random_range(0..self.flows.len());
            let flow = self.flows.swap_remove(index);
            self.method.close(flow.key, flow.owner);
        }
    }

    fn packet(&mut self, index: usize) {
        let balancer = self.random.random_range(0..BALANCERS);
        let Flow { key, owner } = self.flows[index];
        let Visit { end, hops } = self.method.packet(&self.scene, balancer, key, owner);
        self.seen.packets += 1;
        self.seen.hops += u64::from(hops);
        self.seen.walked += u64::from(hops > 1);
        if end == End::Lost {
            self.seen.lost += 1;
        } else if end != End::Taken(owner) {
            self.seen.broken += 1;
            self.flows.swap_remove(index);
            self.method.close(key, owner);
        }
    }

    /// Notes the highest load of a serving target over the mean of those, and the memory.
    fn weigh(&mut self) {
        let mut loads = [0_u32; TARGETS];
        for flow in &self.flows {
            if let Some(load) = loads.get_mut(flow.owner) {
                *load += 1;
            }
        }
        let serving = (0..TARGETS).filter(|target| !self.draining.contains(target));
        let loads: Vec<f64> = serving.map(|target| f64::from(loads[target])).collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let highest = loads.iter().copied().fold(0.0, f64::max);
        self.seen.imbalance = self.seen.imbalance.max(highest / mean);
        self.seen.memory = self.seen.memory.max(self.method.memory());
    }
}
