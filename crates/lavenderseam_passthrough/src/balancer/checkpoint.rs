//! Checkpoints of open flows on the store.
//!
//! Balancers remember which target holds a flow, and lose that when they lose power together with the
//! targets. Callers then keep idle flows that no longer exist, and lose their next request if it may
//! not be repeated. So open flows of such routes are written to the store at intervals, and a balancer
//! that starts reads those that it had reported. They enter its cache as confirmed flows, so that their
//! owners are asked about them like those of a flow known all the time.
//!
//! A few balancers collect the flows of the others, so that the number of calls to the store doesn't
//! grow with that of the balancers. A checkpoint holds nothing that must be true: an outdated entry
//! costs a question to its owner, and a missing one leaves its caller to its own timeouts.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::rank::score;
use lavenderseam_core::time::Instant;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use super::cache::{CacheEntry, OwnerState};
use super::{Action, Balancer, SearchAction};
use crate::flow::{Flow, FlowMap};
use crate::message::{FlowReport, KnownFlow, MAX_FLOWS_PER_REPORT, TargetId};

/// Number of balancers that collect the flows of a partition, of which the first that can writes
/// them.
const COLLECTORS: usize = 2;
/// Rounds of reports after which a collector that has sent none no longer counts as writing.
const MAX_MISSED_ROUNDS: u32 = 3;
/// Minimum time between two writes per partition, which bounds the writes of all partitions.
const INTERVAL_PER_PARTITION: Duration = Duration::from_millis(250);
/// Bytes, as a power of two, by which a flow may advance without a new checkpoint; callers accept a
/// reset within 76,800 bytes of their last acknowledgment.
const ADVANCE_SHIFT: u32 = 15;

/// Record of open flows, by the balancer that reported them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Open flows of each balancer.
    pub flows: BTreeMap<SocketAddrV4, Vec<StoredFlow>>,
}

/// A flow in a record: the flow, its target, and the last acknowledgment of its caller.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredFlow(
    #[serde_as(as = "DisplayFromStr")] pub Flow,
    pub TargetId,
    pub u32,
);

/// Error for a record that no balancer of this version has written; holds the number of its flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyFlows(pub usize);

/// Flows that this balancer reports, and those that it collects.
#[derive(Debug, Default)]
pub(crate) struct Checkpoints {
    reported_at: Instant,
    round: u64,
    collected: BTreeMap<SocketAddrV4, CollectedFlows>,
    /// Digest of the last checkpoint of each partition that this balancer has written.
    written: BTreeMap<u32, u64>,
    /// `true` while the store rejects the checkpoints of this balancer.
    rejected: bool,
}

/// Flows that another balancer has reported.
#[derive(Debug, Default)]
struct CollectedFlows {
    received_at: Instant,
    round: u64,
    writes: bool,
    /// Flows of the last two rounds, because reports may be lost.
    flows: FlowMap<(KnownFlow, u64)>,
}

impl fmt::Display for TooManyFlows {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "checkpoint holds {} flows of this balancer, more than it reports",
            self.0
        )
    }
}

impl std::error::Error for TooManyFlows {}

impl CollectedFlows {
    fn on_report(&mut self, report: &FlowReport, now: Instant) {
        if report.round != self.round {
            let last_round = self.round;
            self.flows.retain(|_, (_, round)| *round == last_round);
            self.round = report.round;
        }
        self.received_at = now;
        self.writes = report.writes;
        for known in &report.flows {
            self.flows.insert(known.flow, (*known, report.round));
        }
    }
}

impl Checkpoint {
    /// Returns the number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.values().map(Vec::len).sum()
    }

    /// Returns `true` if the record holds no flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a digest that changes with the flows and targets, and when a flow has advanced far.
    fn digest(&self) -> u64 {
        let flows = self.flows.values().flatten();
        flows.fold(0, |digest, StoredFlow(flow, target, acknowledgment)| {
            let progress = u64::from(acknowledgment >> ADVANCE_SHIFT);
            let owner = (u64::from(target.0) << 32) | progress;
            digest ^ score(flow.rendezvous_key(), owner)
        })
    }
}

impl Balancer {
    /// Handles the flows that another balancer reports.
    pub fn on_flow_report(&mut self, report: &FlowReport, from: SocketAddrV4, now: Instant) {
        let collected = self.checkpoints.collected.entry(from).or_default();
        collected.on_report(report, now);
    }

    /// Records whether the store has accepted the last checkpoint.
    pub const fn set_checkpoint_accepted(&mut self, accepted: bool) {
        self.checkpoints.rejected = !accepted;
    }

    /// Returns `true` if open flows are written to the store, because requests of a route run at
    /// most once.
    #[must_use]
    pub fn keeps_checkpoints(&self) -> bool {
        self.routes.run_at_most_once()
    }

    /// Restores the flows that this balancer had reported; returns their number, and questions to
    /// their owners.
    ///
    /// # Errors
    ///
    /// Returns [`TooManyFlows`] if the record holds more flows of this balancer than it reports, and
    /// restores none.
    pub fn restore_checkpoint(
        &mut self,
        checkpoint: &Checkpoint,
        now: Instant,
    ) -> Result<(usize, Vec<SearchAction>), TooManyFlows> {
        let stored = checkpoint.flows.get(&self.identity.address);
        let stored = stored.map_or(&[][..], Vec::as_slice);
        if stored.len() > self.settings.max_reported_flows {
            return Err(TooManyFlows(stored.len()));
        }
        let mut restored = 0;
        for StoredFlow(flow, target, acknowledgment) in stored {
            let known = self.cache.peek(*flow).map(|entry| entry.state);
            if known.is_some_and(|state| state != OwnerState::Searching) {
                continue;
            }
            let entry = CacheEntry {
                target: *target,
                state: OwnerState::Confirmed,
                first_sent: now,
                acknowledgment: Some(*acknowledgment),
                is_closing: false,
            };
            self.cache.insert(*flow, entry, now);
            self.targets.mark_restarted(*target);
            restored += 1;
        }
        Ok((restored, self.start_revalidations(now)))
    }

    /// Returns the reports and writes of open flows that are due.
    pub(super) fn checkpoint_actions(&mut self, now: Instant) -> Vec<Action> {
        let partitions = self.checkpoint_partitions(now);
        let interval = self
            .settings
            .checkpoint_interval
            .max(INTERVAL_PER_PARTITION * partitions);
        let elapsed = now.since(self.checkpoints.reported_at);
        if !self.keeps_checkpoints() {
            return Vec::new();
        }
        let mut actions = self.confirm_flows(now);
        if elapsed < interval {
            return actions;
        }
        self.checkpoints.reported_at = now;
        actions.extend(self.report_flows(partitions, now));
        let retention = self.settings.reported_flow_retention;
        let collected = &mut self.checkpoints.collected;
        collected.retain(|_, flows| now.since(flows.received_at) < retention);
        for partition in 0..partitions {
            if self.is_writer_of(partition, interval, now) {
                actions.extend(self.write_checkpoint(partition, partitions));
            }
        }
        actions
    }

    /// Reports the flows of this balancer to the collectors of its partition.
    fn report_flows(&mut self, partitions: u32, now: Instant) -> Vec<Action> {
        self.checkpoints.round += 1;
        let known = |(flow, entry): (Flow, &CacheEntry)| {
            let is_open = entry.state == OwnerState::Confirmed && !entry.is_closing;
            let is_kept = is_open && self.routes.runs_at_most_once(flow);
            let acknowledgment = entry.acknowledgment.filter(|_| is_kept)?;
            Some(KnownFlow {
                flow,
                target: entry.target,
                acknowledgment,
            })
        };
        let flows = self.cache.iter().filter_map(known);
        let flows: Vec<KnownFlow> = flows.take(self.settings.max_reported_flows).collect();
        let report = |flows: &[KnownFlow]| FlowReport {
            round: self.checkpoints.round,
            writes: self.can_write_checkpoints(now),
            flows: flows.to_vec(),
        };
        let mut reports: Vec<FlowReport> = flows.chunks(MAX_FLOWS_PER_REPORT).map(report).collect();
        if reports.is_empty() {
            // Tells the other collector whether this balancer writes.
            reports.push(report(&[]));
        }
        let own = self.identity.address;
        let mut actions = Vec::new();
        for to in self.collectors(partition_of(own, partitions), now) {
            for report in &reports {
                if to == own {
                    self.on_flow_report(report, own, now);
                } else {
                    let report = report.clone();
                    actions.push(Action::ReportFlows { to, report });
                }
            }
        }
        actions
    }

    /// Returns the checkpoint of a partition, unless it is the same as the last one.
    fn write_checkpoint(&mut self, partition: u32, partitions: u32) -> Option<Action> {
        let collected = self.checkpoints.collected.iter();
        let of_partition =
            collected.filter(|(balancer, _)| partition_of(**balancer, partitions) == partition);
        let stored = |flows: &CollectedFlows| {
            let flows = flows.flows.values();
            let stored =
                flows.map(|(known, _)| StoredFlow(known.flow, known.target, known.acknowledgment));
            stored.collect()
        };
        let checkpoint = Checkpoint {
            flows: of_partition
                .map(|(balancer, flows)| (*balancer, stored(flows)))
                .collect(),
        };
        let digest = checkpoint.digest();
        let written = self.checkpoints.written.insert(partition, digest);
        // A partition that never held flows needs no record.
        if written.unwrap_or_default() == digest {
            return None;
        }
        Some(Action::WriteCheckpoint {
            partition,
            checkpoint,
        })
    }

    fn checkpoint_partitions(&self, now: Instant) -> u32 {
        let balancers = self.running_balancers(now);
        balancers.div_ceil(self.settings.balancers_per_checkpoint) as u32
    }

    /// Returns `true` if this balancer may write checkpoints.
    fn can_write_checkpoints(&self, now: Instant) -> bool {
        let uptime = self.running_since.map(|since| now.since(since));
        let has_run = uptime.unwrap_or_default() >= self.settings.min_uptime_to_checkpoint;
        has_run && !self.checkpoints.rejected
    }

    /// Returns `true` if this balancer writes the checkpoints of a partition, and not one that ranks
    /// before it.
    fn is_writer_of(&self, partition: u32, interval: Duration, now: Instant) -> bool {
        let own = self.identity.address;
        let collectors = self.collectors(partition, now);
        let Some(rank) = collectors.iter().position(|collector| *collector == own) else {
            return false;
        };
        let writes = |collector: &SocketAddrV4| {
            let collected = self.checkpoints.collected.get(collector);
            collected.is_some_and(|collected| {
                collected.writes && now.since(collected.received_at) < interval * MAX_MISSED_ROUNDS
            })
        };
        self.can_write_checkpoints(now) && !collectors[..rank].iter().any(writes)
    }

    /// Returns the running balancers that rank first for a partition.
    fn collectors(&self, partition: u32, now: Instant) -> Vec<SocketAddrV4> {
        let own = std::iter::once(self.identity.address);
        let mut balancers: Vec<SocketAddrV4> = own.chain(self.peers.running(now)).collect();
        let rank = |balancer: &SocketAddrV4| score(address_key(*balancer), u64::from(partition));
        balancers.sort_by_key(|balancer| std::cmp::Reverse(rank(balancer)));
        balancers.truncate(COLLECTORS);
        balancers
    }
}

/// Returns the partition of the flows that a balancer reports.
fn partition_of(balancer: SocketAddrV4, partitions: u32) -> u32 {
    (score(address_key(balancer), PARTITION_SEED) % u64::from(partitions.max(1))) as u32
}

fn address_key(address: SocketAddrV4) -> u64 {
    (u64::from(address.ip().to_bits()) << 16) | u64::from(address.port())
}

/// Seed that makes the partition of a balancer independent of its rank as a collector.
const PARTITION_SEED: u64 = 0x50_4152_5449;
