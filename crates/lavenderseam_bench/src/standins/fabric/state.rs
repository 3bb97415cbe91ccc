//! What the fabric knows: balancers that serve, faults, counts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Balancer, Fault, Report};

/// Silence after which a balancer is left out, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 1_000;

/// Time since its last packet in which a flow counts as open; callers send keep-alives each
/// second.
const RECENT_MS: u64 = 1_500;

/// State of the fabric; times are in milliseconds since the epoch.
#[derive(Debug)]
pub struct State {
    balancers: Vec<Member>,
    chance: StdRng,
    cut: BTreeSet<IpAddr>,
    cut_pairs: BTreeSet<(SocketAddr, IpAddr)>,
    forgotten: BTreeSet<SocketAddr>,
    callers: BTreeMap<SocketAddr, Heard>,
    /// Packets that each agent has sent to each caller.
    sent: BTreeMap<SocketAddr, BTreeMap<IpAddr, u64>>,
    report: Report,
}

/// When a caller's first and last packet came.
#[derive(Clone, Copy, Debug)]
struct Heard {
    first_ms: u64,
    last_ms: u64,
}

#[derive(Debug)]
struct Member {
    balancer: Balancer,
    answered_ms: u64,
    serves: bool,
}

impl State {
    /// The state before any balancer has answered.
    #[must_use]
    pub fn new(balancers: &[Balancer], seed: u64) -> Self {
        let member = |balancer: &Balancer| Member {
            balancer: balancer.clone(),
            answered_ms: 0,
            serves: false,
        };
        Self {
            balancers: balancers.iter().map(member).collect(),
            chance: StdRng::seed_from_u64(seed),
            cut: BTreeSet::new(),
            cut_pairs: BTreeSet::new(),
            forgotten: BTreeSet::new(),
            callers: BTreeMap::new(),
            sent: BTreeMap::new(),
            report: Report::default(),
        }
    }

    /// Notes a balancer's answer to a health check.
    pub fn answered(&mut self, address: SocketAddr, serves: bool, now_ms: u64) {
        if self.cut.contains(&address.ip()) {
            return;
        }
        let known = |member: &&mut Member| member.balancer.address == address;
        if let Some(member) = self.balancers.iter_mut().find(known) {
            member.answered_ms = now_ms;
            member.serves = serves;
        }
    }

    /// Picks a balancer for a caller's packet, or none if it is dropped.
    pub fn route(
        &mut self,
        caller: SocketAddr,
        service: SocketAddr,
        bytes: usize,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        if self.forgotten.contains(&caller) {
            self.report.cut += 1;
            return None;
        }
        let heard = self.callers.entry(caller).or_insert(Heard {
            first_ms: now_ms,
            last_ms: now_ms,
        });
        heard.last_ms = now_ms;
        let serving = self.serving(now_ms);
        if serving.is_empty() {
            self.report.unserved += 1;
            return None;
        }
        let chosen = serving[self.chance.random_range(0..serving.len())];
        let Balancer { name, address } = self.balancers[chosen].balancer.clone();
        if self.is_cut(service, address.ip()) {
            self.report.cut += 1;
            return None;
        }
        let count = self.report.to_balancers.entry(name).or_default();
        count.add(bytes, now_ms);
        Some(address)
    }

    /// Whether a packet from an agent to a caller passes.
    pub fn passes(
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
            .sent
            .entry(caller)
            .or_default()
            .entry(agent)
            .or_default() += 1;
        let dropped = self.forgotten.contains(&caller) || self.is_cut(service, agent);
        if dropped {
            self.report.cut += 1;
        }
        !dropped
    }

    /// Counts a datagram that can't be passed on.
    pub fn malformed(&mut self) {
        self.report.malformed += 1;
    }

    /// Takes a fault.
    pub fn set(&mut self, fault: &Fault) {
        match *fault {
            Fault::Cut { process, on } => toggle(&mut self.cut, process, on),
            Fault::CutPair {
                service,
                process,
                on,
            } => toggle(&mut self.cut_pairs, (service, process), on),
            Fault::Forget { caller } => self.forget(caller),
            Fault::ForgetOldest { count } => {
                for caller in self.oldest(count) {
                    self.forget(caller);
                }
            }
        }
    }

    /// The counts.
    #[must_use]
    pub fn report(&self, now_ms: u64) -> Report {
        let mut report = self.report.clone();
        let serving = self.serving(now_ms);
        let name = |index: &usize| self.balancers[*index].balancer.name.clone();
        report.serving = serving.iter().map(name).collect();
        report
    }

    /// The agent that has sent most to each caller, which is the owner of the caller's flow.
    #[must_use]
    pub fn owners(&self) -> BTreeMap<SocketAddr, IpAddr> {
        let owner = |(caller, agents): (&SocketAddr, &BTreeMap<IpAddr, u64>)| {
            let most = agents.iter().max_by_key(|(_, packets)| **packets)?;
            Some((*caller, *most.0))
        };
        self.sent.iter().filter_map(owner).collect()
    }

    fn forget(&mut self, caller: SocketAddr) {
        self.forgotten.insert(caller);
        self.report.forgotten.push(caller);
    }

    /// The longest established flows among those that are still heard of.
    fn oldest(&self, count: usize) -> Vec<SocketAddr> {
        let latest = self.callers.values().map(|heard| heard.last_ms).max();
        let recent = latest.unwrap_or(0).saturating_sub(RECENT_MS);
        let known = self.callers.iter();
        let mut callers: Vec<(u64, SocketAddr)> = known
            .filter(|(caller, heard)| heard.last_ms >= recent && !self.forgotten.contains(caller))
            .map(|(caller, heard)| (heard.first_ms, *caller))
            .collect();
        callers.sort_unstable();
        let oldest = callers.into_iter().take(count);
        oldest.map(|(_, caller)| caller).collect()
    }

    fn is_cut(&self, service: SocketAddr, process: IpAddr) -> bool {
        self.cut.contains(&process) || self.cut_pairs.contains(&(service, process))
    }

    fn serving(&self, now_ms: u64) -> Vec<usize> {
        let serves = |member: &Member| {
            member.serves && now_ms.saturating_sub(member.answered_ms) < SILENCE_LIMIT_MS
        };
        let members = self.balancers.iter().enumerate();
        members
            .filter(|(_, member)| serves(member))
            .map(|(index, _)| index)
            .collect()
    }
}

fn toggle<T: Ord>(set: &mut BTreeSet<T>, value: T, on: bool) {
    if on {
        set.insert(value);
    } else {
        set.remove(&value);
    }
}
