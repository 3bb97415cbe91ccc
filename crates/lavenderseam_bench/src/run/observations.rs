//! Derives the measures of the report from the observations of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use super::InjectedFault;
use super::backend_work::{BackendWork, EditAudit};
use crate::launcher::{Cluster, Placement};
use crate::load::{
    BrokenFlow, FlowTracker, LoadStatistics, RequestCounts, RequestKind, SecondCounts,
};
use crate::report::{
    ExpectationResult, FaultReport, FeedReport, LatencyPercentiles, RunReport, TargetWork,
};
use crate::schedule::{Action, Expectation, Experiment, Subject};

/// Longest time that a caller may take to detect a broken flow, in milliseconds.
const BROKEN_FLOW_DETECTION_MS: u64 = 7_000;

/// Observations of a run, from which the measures of its report derive. Times are in milliseconds
/// since the epoch.
pub(crate) struct RunObservations<'a> {
    pub(crate) cluster: &'a Cluster,
    pub(crate) experiment: &'a Experiment,
    pub(crate) start_ms: u64,
    pub(crate) end_ms: u64,
    pub(crate) statistics: &'a LoadStatistics,
    pub(crate) flow_tracker: &'a FlowTracker,
    pub(crate) backend_work: &'a [BackendWork],
    pub(crate) faults: &'a [InjectedFault],
    /// IP address of the agent that owned each flow last, by the caller's address.
    pub(crate) flow_owners: &'a BTreeMap<SocketAddr, IpAddr>,
    /// Times at which packets from each agent passed the fabric.
    pub(crate) agent_packet_times: &'a BTreeMap<IpAddr, Vec<u64>>,
    /// Time that a backend server works on one request, in milliseconds.
    pub(crate) request_work_ms: u64,
}

impl RunObservations<'_> {
    /// Fills in the measures that derive from the callers, the backend servers and the fault log.
    pub(crate) fn fill_report(&self, report: &mut RunReport) {
        self.add_flows(report);
        self.add_requests(report);
        self.add_edits(report);
        self.add_targets(report);
        report.packets_to_domain_out_ms = self.last_work_after_domain_out_ms();
        report.new_work_to_leaving_ms = self.last_work_after_leaving_ms();
        self.add_shares_per_second(report);
        report.faults = self.fault_reports();
    }

    fn add_flows(&self, report: &mut RunReport) {
        let total = self.flow_tracker.total_counts();
        report.flows_opened = total.opened;
        report.flows_failed = total.failed;
        report.retries = total.retries;
        let counts = self.statistics.feed_counts();
        report.feeds = FeedReport {
            opened: counts.opened,
            moved: total.feeds_moved,
            events: counts.events,
            gaps: counts.gaps,
            repeats: counts.repeats,
            longest_silence_ms: counts.longest_silence_ms,
        };
        report.wrong_service += counts.wrong;
        for broken in self.flow_tracker.broken_flows() {
            if self.broke_by_domain_out(&broken) {
                report.flows_given_up += 1;
            } else {
                report.flows_broken += 1;
            }
        }
    }

    /// Returns `true` if a flow broke because its target's failure domain was out of service.
    fn broke_by_domain_out(&self, broken: &BrokenFlow) -> bool {
        let domain = self.owner_domain(broken);
        self.domains_out().any(|(name, from, until)| {
            Some(name) == domain
                && (from..=until + BROKEN_FLOW_DETECTION_MS).contains(&broken.detected_at_ms)
        })
    }

    /// Returns the failure domain of the target that owned a flow, as the fabric observed it.
    /// Callers are identified by their ports alone, since all of them run on one machine.
    fn owner_domain(&self, broken: &BrokenFlow) -> Option<&str> {
        let mut owners = self.flow_owners.iter();
        let (_, owner) = owners.find(|(caller, _)| caller.port() == broken.caller.port())?;
        let mut placements = self.cluster.placements().iter();
        let placement = placements.find(|placement| self.agent_host(placement) == *owner)?;
        Some(placement.domain)
    }

    fn agent_host(&self, placement: &Placement) -> IpAddr {
        self.cluster.network().agent_peer(placement.index).ip()
    }

    fn add_requests(&self, report: &mut RunReport) {
        for kind in RequestKind::ALL {
            let counts: RequestCounts = self.statistics.request_counts(kind);
            report.requests_sent += counts.sent;
            report.answered += counts.answered;
            report.refused_not_run += counts.refused_not_run;
            report.outcome_unknown += counts.unknown;
            report.answers_wrong += counts.wrong;
            report.wrong_service += counts.wrong_service;
            // A request without an outcome at the end of the run may have been executed.
            let with_outcome = counts.answered
                + counts.refused_not_run
                + counts.unknown
                + counts.wrong
                + counts.wrong_service;
            report.outcome_unknown += counts.sent - with_outcome;
            if let Some(histogram) = self.statistics.latency_histogram(kind) {
                let latency = LatencyPercentiles::new(&histogram);
                report.latency.insert(kind.as_str().to_owned(), latency);
            }
        }
        report.served_share = ratio(report.answered, report.requests_sent);
    }

    fn add_edits(&self, report: &mut RunReport) {
        let executed = self
            .backend_work
            .iter()
            .flat_map(|work| &work.executed_edits);
        let audit = EditAudit::new(executed, &self.statistics.edits());
        report.ran_twice = audit.ran_twice;
        report.refused_but_ran = audit.refused_but_ran;
        report.unknown_ran = audit.unknown_ran;
        report.answers_wrong += audit.answered_not_run;
    }

    fn add_targets(&self, report: &mut RunReport) {
        let affected = self.affected_targets();
        for group in self.cluster.deployment().groups {
            let of_group = |work: &&BackendWork| work.placement.group.name == group.name;
            let group_work: Vec<&BackendWork> = self.backend_work.iter().filter(of_group).collect();
            let is_unaffected = |work: &&&BackendWork| !affected.contains(&work.placement.target);
            let unaffected: Vec<&BackendWork> =
                group_work.iter().filter(is_unaffected).copied().collect();
            let name = group.name.to_owned();
            report
                .imbalance
                .insert(name.clone(), imbalance(&group_work));
            report
                .imbalance_untouched
                .insert(name, imbalance(&unaffected));
        }
        for work in self.backend_work {
            report.overload_peak = report.overload_peak.max(work.overload_peak);
            report.falls += work.overload_failures;
            report.targets.push(TargetWork {
                target: work.placement.target.clone(),
                service: work.placement.group.name.to_owned(),
                domain: work.placement.domain.to_owned(),
                requests: work.executed_requests,
            });
        }
    }

    /// Returns the targets that a fault affected, directly or through their failure domain.
    fn affected_targets(&self) -> BTreeSet<String> {
        let mut affected = BTreeSet::new();
        for injected in self.faults {
            for placement in self.cluster.placements() {
                if affects(&injected.fault.subject, placement) {
                    affected.insert(placement.target.clone());
                }
            }
        }
        affected
    }

    /// Returns the failure domains that were out of service, each with the times at which it was
    /// taken out and brought back.
    fn domains_out(&self) -> impl Iterator<Item = (&str, u64, u64)> {
        self.faults.iter().filter_map(|injected| {
            let (Action::DomainOut, Subject::Domain(name)) =
                (injected.fault.action, &injected.fault.subject)
            else {
                return None;
            };
            let from = injected.from_ms?;
            let until = injected
                .until_ms
                .or_else(|| self.brought_back_at(name, from));
            Some((name.as_str(), from, until.unwrap_or(self.end_ms)))
        })
    }

    /// Returns when an action `domain_in` first brought a failure domain back after the time
    /// `after_ms`.
    fn brought_back_at(&self, name: &str, after_ms: u64) -> Option<u64> {
        let mut changes = self.faults.iter().filter(|injected| {
            let subject = Subject::Domain(name.to_owned());
            injected.fault.action == Action::DomainIn && injected.fault.subject == subject
        });
        changes.find_map(|injected| injected.from_ms.filter(|at| *at > after_ms))
    }

    /// Returns the longest time from taking a failure domain out of service to the last packet from
    /// its agents or the last request at its backend servers, in milliseconds.
    fn last_work_after_domain_out_ms(&self) -> u64 {
        let last_work_ms = |(name, from, until): (&str, u64, u64)| {
            let work = self
                .backend_work
                .iter()
                .filter(|work| work.placement.domain == name);
            let activity_times = work.flat_map(|work| {
                let packets = self
                    .agent_packet_times
                    .get(&self.agent_host(&work.placement));
                let packets = packets.into_iter().flatten();
                work.arrivals.iter().chain(packets)
            });
            last_offset_ms(activity_times.copied(), from, until)
        };
        self.domains_out().map(last_work_ms).max().unwrap_or(0)
    }

    /// Returns the longest time from the drain of a target, or the stop of its agent, to the last
    /// new work at the target, in milliseconds.
    fn last_work_after_leaving_ms(&self) -> u64 {
        let last_work_ms = |injected: &InjectedFault| {
            let target = match (injected.fault.action, &injected.fault.subject) {
                (Action::Drain, Subject::Target(target)) => target.as_str(),
                (Action::Stop | Action::Restart, Subject::Process(process)) => {
                    process.strip_prefix("agent-")?
                }
                _ => return None,
            };
            let from = injected.from_ms?;
            let until = injected.until_ms.unwrap_or(self.end_ms);
            let work = self
                .backend_work
                .iter()
                .find(|work| work.placement.target == target)?;
            Some(last_offset_ms(work.arrivals.iter().copied(), from, until))
        };
        self.faults
            .iter()
            .filter_map(last_work_ms)
            .max()
            .unwrap_or(0)
    }

    fn add_shares_per_second(&self, report: &mut RunReport) {
        let per_second = self.statistics.counts_per_second();
        for second in 0..usize::try_from(self.experiment.seconds).unwrap_or(0) {
            let at = |counts: &Vec<SecondCounts>| counts.get(second).copied().unwrap_or_default();
            let sent: u64 = per_second.values().map(|counts| at(counts).sent).sum();
            let answered: u64 = per_second.values().map(|counts| at(counts).answered).sum();
            report.served_share_per_second.push(ratio(answered, sent));
            let from = self.start_ms + 1_000 * second as u64;
            let within_capacity = per_second.iter().map(|(service, counts)| {
                let sent = at(counts).sent as f64;
                sent.min(self.service_capacity(service, from))
            });
            let within_capacity: f64 = within_capacity.sum();
            let capacity = if sent == 0 {
                1.0
            } else {
                within_capacity / sent as f64
            };
            report.capacity_share_per_second.push(capacity);
        }
    }

    /// Returns the number of requests that the available targets of a service can answer in the
    /// second that starts at `from_ms`.
    fn service_capacity(&self, service: &str, from_ms: u64) -> f64 {
        let placements = self.cluster.placements().iter();
        let serving = placements.filter(|placement| {
            placement.group.name == service && !self.is_unavailable(placement, from_ms)
        });
        let slots: u32 = serving.map(|placement| placement.group.slots).sum();
        f64::from(slots) * 1e3 / self.request_work_ms.max(1) as f64
    }

    /// Returns `true` if a fault makes a target unavailable for any part of the second that starts
    /// at `from_ms`.
    fn is_unavailable(&self, placement: &Placement, from_ms: u64) -> bool {
        let makes_unavailable = |injected: &&InjectedFault| {
            let Some(from) = injected.from_ms else {
                return false;
            };
            let until = injected.until_ms.unwrap_or(self.end_ms);
            let overlaps = from < from_ms + 1_000 && until > from_ms;
            let stops_service = matches!(
                injected.fault.action,
                Action::Kill
                    | Action::Freeze
                    | Action::Stop
                    | Action::Restart
                    | Action::DomainOut
                    | Action::Drain
            );
            overlaps && stops_service && affects(&injected.fault.subject, placement)
        };
        self.faults
            .iter()
            .any(|injected| makes_unavailable(&injected))
    }

    fn fault_reports(&self) -> Vec<FaultReport> {
        let relative = |at_ms: u64| at_ms.saturating_sub(self.start_ms);
        let report_fault = |injected: &InjectedFault| FaultReport {
            fault: injected.fault.to_string(),
            at_ms: injected.fault.at_ms,
            from_ms: injected.from_ms.map(relative),
            until_ms: injected.until_ms.map(relative),
            failed: injected.failure.clone(),
        };
        self.faults.iter().map(report_fault).collect()
    }
}

/// Compares the measures of a report with the expectations of its experiment.
pub(crate) fn evaluate_expectations(
    expectations: &[Expectation],
    report: &RunReport,
) -> Vec<ExpectationResult> {
    let evaluate = |expectation: &Expectation| {
        let value = report.measure_value(&expectation.measure);
        ExpectationResult {
            measure: expectation.measure.clone(),
            expected: expectation.bound.to_string(),
            value: value.unwrap_or(f64::NAN),
            holds: value.is_some_and(|value| expectation.is_met_by(value)),
        }
    };
    expectations.iter().map(evaluate).collect()
}

/// Returns `true` if a fault with this subject affects the target of a placement.
fn affects(subject: &Subject, placement: &Placement) -> bool {
    match subject {
        Subject::Process(name) | Subject::Link { process: name, .. } => {
            name.strip_prefix("agent-") == Some(&placement.target)
                || name.strip_prefix("backend-") == Some(&placement.target)
        }
        Subject::Target(target) | Subject::Lie { target, .. } => *target == placement.target,
        Subject::Domain(domain) => domain == placement.domain,
        Subject::Store
        | Subject::Flows(_)
        | Subject::DelayMs(_)
        | Subject::AgeMs(_)
        | Subject::Percent(_) => false,
    }
}

/// Returns the time from `from_ms` to the last of some times up to `until_ms`, in milliseconds; 0
/// if there is none.
fn last_offset_ms(times: impl Iterator<Item = u64>, from_ms: u64, until_ms: u64) -> u64 {
    let within = times.filter(|at| (from_ms..=until_ms).contains(at));
    within.max().map_or(0, |last_at| last_at - from_ms)
}

/// Returns the ratio of the highest to the mean number of requests per target.
fn imbalance(work: &[&BackendWork]) -> f64 {
    let total: u64 = work.iter().map(|work| work.executed_requests).sum();
    let highest = work
        .iter()
        .map(|work| work.executed_requests)
        .max()
        .unwrap_or(0);
    if total == 0 {
        return 0.0;
    }
    highest as f64 * work.len() as f64 / total as f64
}

/// Returns the share of a part in a whole; 1 if the whole is 0.
fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        1.0
    } else {
        part as f64 / whole as f64
    }
}
