//! Runs one method under the common schedule.

use lavenderseam_core::flow::Key;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use super::method::{Delivery, LookupMethod, Outcome, Target};
use super::report::Row;
use super::simulation::{BALANCERS, Change, MAX_TARGETS, Simulation, TARGETS};

/// Length of the schedule, in milliseconds. One flow is opened per millisecond.
const DURATION_MS: u64 = 30_000;
/// Number of flows that are kept open.
const OPEN_FLOWS: usize = 7_000;
/// Number of packets of open flows per millisecond.
const PACKETS_PER_MS: usize = 10;
/// Time between two changes of records, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 1_500;
/// Time between two replacements of a balancer, in milliseconds.
const REPLACE_INTERVAL_MS: u64 = 10_000;
/// Milliseconds per second.
const SECOND_MS: u64 = 1_000;

/// An open flow and the target that accepted it.
struct Flow {
    key: Key,
    owner: Target,
}

/// Counts and peaks so far.
#[derive(Default)]
struct Counts {
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
    simulation: Simulation,
    rng: StdRng,
    flows: Vec<Flow>,
    draining: Vec<Target>,
    target_count: usize,
    counts: Counts,
}

/// Measures a method under a schedule that depends on the seed only.
pub(super) fn measure<M: LookupMethod>(name: &'static str, method: M, seed: u64) -> Row {
    let mut runner = Runner {
        method,
        simulation: Simulation::new(seed),
        rng: StdRng::seed_from_u64(seed),
        flows: Vec::new(),
        draining: Vec::new(),
        target_count: TARGETS,
        counts: Counts::default(),
    };
    for _ in 0..OPEN_FLOWS {
        runner.open();
    }
    for _ in 0..DURATION_MS {
        runner.step();
    }
    let counts = &runner.counts;
    Row {
        method: name,
        flows: counts.flows,
        broken: counts.broken,
        lost: counts.lost,
        hops: counts.hops as f64 / counts.packets as f64,
        walked: counts.walked as f64 / counts.packets as f64,
        memory: counts.memory,
        control: runner.method.control_bytes() / (DURATION_MS / SECOND_MS),
        imbalance: counts.imbalance,
    }
}

impl<M: LookupMethod> Runner<M> {
    fn step(&mut self) {
        self.simulation.step();
        if self.simulation.now_ms.is_multiple_of(CHANGE_INTERVAL_MS) {
            self.change_records();
        }
        if self.simulation.now_ms.is_multiple_of(REPLACE_INTERVAL_MS) {
            let balancer = self.rng.random_range(0..BALANCERS);
            self.method.balancer_replaced(balancer);
        }
        if self.simulation.now_ms.is_multiple_of(SECOND_MS) {
            self.method.second_elapsed(&self.simulation);
            self.update_peaks();
        }
        self.close();
        self.open();
        for _ in 0..PACKETS_PER_MS {
            let index = self.rng.random_range(0..self.flows.len());
            self.packet(index);
        }
    }

    /// Drains a target, cancels the oldest drain, or adds a target.
    fn change_records(&mut self) {
        let change = if self.target_count < MAX_TARGETS && self.rng.random_bool(0.2) {
            self.target_count += 1;
            Change::Join(self.target_count - 1)
        } else if self.draining.len() < 2 {
            let target = self.rng.random_range(0..TARGETS);
            if self.draining.contains(&target) {
                return;
            }
            self.draining.push(target);
            Change::Drain(target)
        } else {
            Change::Undrain(self.draining.remove(0))
        };
        self.simulation.change(change);
        self.method.records_changed(&self.simulation);
    }

    fn open(&mut self) {
        let key_halves = [self.rng.next_u64(), self.rng.next_u64()];
        let key = Key(u128::from(key_halves[0]) << 64 | u128::from(key_halves[1]));
        let balancer = self.rng.random_range(0..BALANCERS);
        self.counts.flows += 1;
        if let Outcome::Delivered(owner) = self.method.open(&self.simulation, balancer, key).outcome
        {
            self.flows.push(Flow { key, owner });
        }
    }

    fn close(&mut self) {
        if self.flows.len() >= OPEN_FLOWS {
            let index = self.rng.random_range(0..self.flows.len());
            let flow = self.flows.swap_remove(index);
            self.method.close(flow.key, flow.owner);
        }
    }

    fn packet(&mut self, index: usize) {
        let balancer = self.rng.random_range(0..BALANCERS);
        let Flow { key, owner } = self.flows[index];
        let Delivery { outcome, hops } = self.method.packet(&self.simulation, balancer, key, owner);
        self.counts.packets += 1;
        self.counts.hops += u64::from(hops);
        self.counts.walked += u64::from(hops > 1);
        if outcome == Outcome::Dropped {
            self.counts.lost += 1;
        } else if outcome != Outcome::Delivered(owner) {
            self.counts.broken += 1;
            self.flows.swap_remove(index);
            self.method.close(key, owner);
        }
    }

    /// Updates the peak ratio of a serving target's load to the mean load, and the peak memory.
    fn update_peaks(&mut self) {
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
        self.counts.imbalance = self.counts.imbalance.max(highest / mean);
        self.counts.memory = self.counts.memory.max(self.method.memory());
    }
}
