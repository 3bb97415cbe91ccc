//! State of the fabric: health of the balancers, active faults, known callers and counts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Balancer, Fault, Report};

/// Time without a health reply after which a balancer gets no packets, in milliseconds.
const HEALTH_TIMEOUT_MS: u64 = 1_000;

/// Time since its last packet during which a flow counts as open, in milliseconds. Callers send
/// keep-alives each second.
const OPEN_FLOW_LIMIT_MS: u64 = 1_500;

/// State of the fabric; times are in milliseconds since the Unix epoch.
#[derive(Debug)]
pub struct FabricState {
    balancers: Vec<BalancerStatus>,
    rng: StdRng,
    blocked_processes: BTreeSet<IpAddr>,
    blocked_pairs: BTreeSet<(SocketAddr, IpAddr)>,
    /// Callers whose packets are dropped permanently.
    dropped: BTreeSet<SocketAddr>,
    callers: BTreeMap<SocketAddr, CallerActivity>,
    /// Number of packets that each agent has sent to each caller.
    packets_by_agent: BTreeMap<SocketAddr, BTreeMap<IpAddr, u64>>,
    report: Report,
}

/// When a caller's first and last packet arrived.
#[derive(Clone, Copy, Debug)]
struct CallerActivity {
    first_ms: u64,
    last_ms: u64,
}

#[derive(Debug)]
struct BalancerStatus {
    balancer: Balancer,
    replied_ms: u64,
    serves: bool,
}

impl FabricState {
    /// Creates the state in which no balancer has replied to a health check.
    #[must_use]
    pub fn new(balancers: &[Balancer], seed: u64) -> Self {
        let status = |balancer: &Balancer| BalancerStatus {
            balancer: balancer.clone(),
            replied_ms: 0,
            serves: false,
        };
        Self {
            balancers: balancers.iter().map(status).collect(),
            rng: StdRng::seed_from_u64(seed),
            blocked_processes: BTreeSet::new(),
            blocked_pairs: BTreeSet::new(),
            dropped: BTreeSet::new(),
            callers: BTreeMap::new(),
            packets_by_agent: BTreeMap::new(),
            report: Report::default(),
        }
    }

    /// Records a balancer's reply to a health check.
    pub fn record_health_reply(&mut self, address: SocketAddr, serves: bool, now_ms: u64) {
        if self.blocked_processes.contains(&address.ip()) {
            return;
        }
        let is_sender = |status: &&mut BalancerStatus| status.balancer.address == address;
        if let Some(status) = self.balancers.iter_mut().find(is_sender) {
            status.replied_ms = now_ms;
            status.serves = serves;
        }
    }

    /// Chooses and counts a balancer for a caller's packet; returns `None` if the packet is
    /// dropped.
    pub fn choose_balancer(
        &mut self,
        caller: SocketAddr,
        service: SocketAddr,
        bytes: usize,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        if self.dropped.contains(&caller) {
            self.report.cut += 1;
            return None;
        }
        let activity = self.callers.entry(caller).or_insert(CallerActivity {
            first_ms: now_ms,
            last_ms: now_ms,
        });
        activity.last_ms = now_ms;
        let serving = self.serving(now_ms);
        if serving.is_empty() {
            self.report.unserved += 1;
            return None;
        }
        let chosen = serving[self.rng.random_range(0..serving.len())];
        let Balancer { name, address } = self.balancers[chosen].balancer.clone();
        if self.is_blocked(service, address.ip()) {
            self.report.cut += 1;
            return None;
        }
        let count = self.report.to_balancers.entry(name).or_default();
        count.add(bytes, now_ms);
        Some(address)
    }

    /// Counts a packet from an agent to a caller; returns `false` if a fault drops it.
    pub fn admit_reply(
        &mut self,
        agent: IpAddr,
        caller: SocketAddr,
        service: SocketAddr,
        bytes: usize,
        now_ms: u64,
    ) -> bool {
        let count = self.report.from_agents.entry(agent).or_default();
        count.add(bytes, now_ms);
        *self
            .packets_by_agent
            .entry(caller)
            .or_default()
            .entry(agent)
            .or_default() += 1;
        let dropped = self.dropped.contains(&caller) || self.is_blocked(service, agent);
        if dropped {
            self.report.cut += 1;
        }
        !dropped
    }

    /// Counts a datagram that can't be forwarded.
    pub fn count_malformed(&mut self) {
        self.report.malformed += 1;
    }

    /// Starts or ends a fault.
    pub fn apply_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::Cut { process, on } => set_membership(&mut self.blocked_processes, process, on),
            Fault::CutPair {
                service,
                process,
                on,
            } => set_membership(&mut self.blocked_pairs, (service, process), on),
            Fault::Forget { caller } => self.drop_caller(caller),
            Fault::ForgetOldest { count } => {
                for caller in self.oldest_open_flows(count) {
                    self.drop_caller(caller);
                }
            }
        }
    }

    /// Returns the counts, with the balancers that serve at `now_ms`.
    #[must_use]
    pub fn report(&self, now_ms: u64) -> Report {
        let mut report = self.report.clone();
        let serving = self.serving(now_ms);
        let name = |index: &usize| self.balancers[*index].balancer.name.clone();
        report.serving = serving.iter().map(name).collect();
        report
    }

    /// Returns the agent that has sent the most packets to each caller, which is the owner of the
    /// caller's flow.
    #[must_use]
    pub fn owners(&self) -> BTreeMap<SocketAddr, IpAddr> {
        let owner = |(caller, agents): (&SocketAddr, &BTreeMap<IpAddr, u64>)| {
            let most = agents.iter().max_by_key(|(_, packets)| **packets)?;
            Some((*caller, *most.0))
        };
        self.packets_by_agent.iter().filter_map(owner).collect()
    }

    fn drop_caller(&mut self, caller: SocketAddr) {
        self.dropped.insert(caller);
        self.report.forgotten.push(caller);
    }

    /// Returns the callers of the flows that have been open longest.
    fn oldest_open_flows(&self, count: usize) -> Vec<SocketAddr> {
        let latest_ms = self.callers.values().map(|activity| activity.last_ms).max();
        let recent_ms = latest_ms.unwrap_or(0).saturating_sub(OPEN_FLOW_LIMIT_MS);
        let known = self.callers.iter();
        let mut callers: Vec<(u64, SocketAddr)> = known
            .filter(|(caller, seen)| seen.last_ms >= recent_ms && !self.dropped.contains(caller))
            .map(|(caller, activity)| (activity.first_ms, *caller))
            .collect();
        callers.sort_unstable();
        let oldest = callers.into_iter().take(count);
        oldest.map(|(_, caller)| caller).collect()
    }

    fn is_blocked(&self, service: SocketAddr, process: IpAddr) -> bool {
        self.blocked_processes.contains(&process)
            || self.blocked_pairs.contains(&(service, process))
    }

    fn serving(&self, now_ms: u64) -> Vec<usize> {
        let serves = |status: &BalancerStatus| {
            status.serves && now_ms.saturating_sub(status.replied_ms) < HEALTH_TIMEOUT_MS
        };
        let members = self.balancers.iter().enumerate();
        members
            .filter(|(_, status)| serves(status))
            .map(|(index, _)| index)
            .collect()
    }
}

fn set_membership<T: Ord>(set: &mut BTreeSet<T>, value: T, on: bool) {
    if on {
        set.insert(value);
    } else {
        set.remove(&value);
    }
}
