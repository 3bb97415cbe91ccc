//! From what was seen to what is reported.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use super::Applied;
use super::work::{Audit, Work};
use crate::launcher::{Cluster, Placement};
use crate::load::{Broken, Counts, Flows, Kind, Second, Tally};
use crate::report::{Checked, Feeds, Latency, Marked, Outcome, TargetWork};
use crate::schedule::{Action, Expectation, Experiment, Subject};

/// Time that a caller may take to find a flow broken, in milliseconds.
const FIND_BROKEN_MS: u64 = 7_000;

/// Everything seen in a run; times are in milliseconds since the epoch.
pub(crate) struct Seen<'a> {
    pub(crate) cluster: &'a Cluster,
    pub(crate) experiment: &'a Experiment,
    pub(crate) start_ms: u64,
    pub(crate) end_ms: u64,
    pub(crate) tally: &'a Tally,
    pub(crate) flows: &'a Flows,
    pub(crate) work: &'a [Work],
    pub(crate) applied: &'a [Applied],
    pub(crate) owners: &'a BTreeMap<SocketAddr, IpAddr>,
    pub(crate) passed: &'a BTreeMap<IpAddr, Vec<u64>>,
    pub(crate) work_ms: u64,
}

impl Seen<'_> {
    /// Fills in the measures that callers and backend servers give.
    pub(crate) fn measure(&self, outcome: &mut Outcome) {
        self.flows(outcome);
        self.requests(outcome);
        self.edits(outcome);
        self.targets(outcome);
        outcome.packets_to_domain_out_ms = self.work_in_domains_out();
        outcome.new_work_to_leaving_ms = self.work_at_leaving();
        self.shares(outcome);
        outcome.faults = self.marks();
    }

    fn flows(&self, outcome: &mut Outcome) {
        let total = self.flows.total();
        outcome.flows_opened = total.opened;
        outcome.flows_failed = total.failed;
        outcome.retries = total.retries;
        let counts = self.tally.feed_counts();
        outcome.feeds = Feeds {
            opened: counts.opened,
            moved: total.feeds_moved,
            events: counts.events,
            gaps: counts.gaps,
            repeats: counts.repeats,
            longest_silence_ms: counts.longest_silence_ms,
        };
        outcome.wrong_service += counts.wrong;
        for broken in self.flows.broken() {
            if self.is_given_up(&broken) {
                outcome.flows_given_up += 1;
            } else {
                outcome.flows_broken += 1;
            }
        }
    }

    fn is_given_up(&self, broken: &Broken) -> bool {
        let domain = self.domain_of(broken);
        self.domains_out().any(|(name, from, until)| {
            Some(name) == domain && (from..=until + FIND_BROKEN_MS).contains(&broken.at_ms)
        })
    }

    /// Failure domain of the target that owned a flow, as the fabric has seen it. All callers are
    /// on one machine, so the port tells them apart.
    fn domain_of(&self, broken: &Broken) -> Option<&str> {
        let mut owners = self.owners.iter();
        let (_, owner) = owners.find(|(caller, _)| caller.port() == broken.caller.port())?;
        let mut placements = self.cluster.placements().iter();
        let placement = placements.find(|placement| self.host(placement) == *owner)?;
        Some(placement.domain)
    }

    fn host(&self, placement: &Placement) -> IpAddr {
        self.cluster.network().agent_peer(placement.index).ip()
    }

    fn requests(&self, outcome: &mut Outcome) {
        for kind in Kind::ALL {
            let counts: Counts = self.tally.counts(kind);
            outcome.requests_sent += counts.sent;
            outcome.answered += counts.answered;
            outcome.refused_not_run += counts.refused_not_run;
            outcome.outcome_unknown += counts.unknown;
            outcome.answers_wrong += counts.wrong;
            outcome.wrong_service += counts.wrong_service;
            // A request that nothing was heard of by the end of the run may have run.
            let told = counts.answered
                + counts.refused_not_run
                + counts.unknown
                + counts.wrong
                + counts.wrong_service;
            outcome.outcome_unknown += counts.sent - told;
            if let Some(histogram) = self.tally.latencies(kind) {
                let latency = Latency::new(&histogram);
                outcome.latency.insert(kind.as_str().to_owned(), latency);
            }
        }
        outcome.served_share = share(outcome.answered, outcome.requests_sent);
    }

    fn edits(&self, outcome: &mut Outcome) {
        let runs = self.work.iter().flat_map(|work| &work.edits);
        let audit = Audit::new(runs, &self.tally.edits());
        outcome.ran_twice = audit.ran_twice;
        outcome.refused_but_ran = audit.refused_but_ran;
        outcome.unknown_ran = audit.unknown_ran;
        outcome.answers_wrong += audit.answered_not_run;
    }

    fn targets(&self, outcome: &mut Outcome) {
        let touched = self.touched();
        for group in self.cluster.deployment().groups {
            let of_group = |work: &&Work| work.placement.group.name == group.name;
            let all: Vec<&Work> = self.work.iter().filter(of_group).collect();
            let untouched = |work: &&&Work| !touched.contains(&work.placement.target);
            let rest: Vec<&Work> = all.iter().filter(untouched).copied().collect();
            let name = group.name.to_owned();
            outcome.imbalance.insert(name.clone(), imbalance(&all));
            outcome.imbalance_untouched.insert(name, imbalance(&rest));
        }
        for work in self.work {
            outcome.overload_peak = outcome.overload_peak.max(work.overload_peak);
            outcome.falls += work.falls;
            outcome.targets.push(TargetWork {
                target: work.placement.target.clone(),
                service: work.placement.group.name.to_owned(),
                domain: work.placement.domain.to_owned(),
                requests: work.ran,
            });
        }
    }

    /// Targets that a fault touched, itself or by its failure domain.
    fn touched(&self) -> BTreeSet<String> {
        let mut touched = BTreeSet::new();
        for applied in self.applied {
            for placement in self.cluster.placements() {
                if touches(&applied.fault.subject, placement) {
                    touched.insert(placement.target.clone());
                }
            }
        }
        touched
    }

    /// Failure domains that were out, each with the time of the order and of the order back.
    fn domains_out(&self) -> impl Iterator<Item = (&str, u64, u64)> {
        self.applied.iter().filter_map(|applied| {
            let (Action::DomainOut, Subject::Domain(name)) =
                (applied.fault.action, &applied.fault.subject)
            else {
                return None;
            };
            let from = applied.from_ms?;
            let until = applied.until_ms.or_else(|| self.back_in(name, from));
            Some((name.as_str(), from, until.unwrap_or(self.end_ms)))
        })
    }

    fn back_in(&self, name: &str, after: u64) -> Option<u64> {
        let mut orders = self.applied.iter().filter(|applied| {
            let subject = Subject::Domain(name.to_owned());
            applied.fault.action == Action::DomainIn && applied.fault.subject == subject
        });
        orders.find_map(|applied| applied.from_ms.filter(|at| *at > after))
    }

    fn work_in_domains_out(&self) -> u64 {
        let last = |(name, from, until): (&str, u64, u64)| {
            let work = self
                .work
                .iter()
                .filter(|work| work.placement.domain == name);
            let signs = work.flat_map(|work| {
                let packets = self.passed.get(&self.host(&work.placement));
                let packets = packets.into_iter().flatten();
                work.arrivals.iter().chain(packets)
            });
            latest_within(signs.copied(), from, until)
        };
        self.domains_out().map(last).max().unwrap_or(0)
    }

    /// Last new work at targets that drained or whose agent was asked to stop.
    fn work_at_leaving(&self) -> u64 {
        let last = |applied: &Applied| {
            let target = match (applied.fault.action, &applied.fault.subject) {
                (Action::Drain, Subject::Target(target)) => target.as_str(),
                (Action::Stop | Action::Restart, Subject::Process(process)) => {
                    process.strip_prefix("agent-")?
                }
                _ => return None,
            };
            let from = applied.from_ms?;
            let until = applied.until_ms.unwrap_or(self.end_ms);
            let work = self
                .work
                .iter()
                .find(|work| work.placement.target == target)?;
            Some(latest_within(work.arrivals.iter().copied(), from, until))
        };
        self.applied.iter().filter_map(last).max().unwrap_or(0)
    }

    fn shares(&self, outcome: &mut Outcome) {
        let seconds = self.tally.seconds();
        for second in 0..usize::try_from(self.experiment.seconds).unwrap_or(0) {
            let at = |all: &Vec<Second>| all.get(second).copied().unwrap_or_default();
            let sent: u64 = seconds.values().map(|all| at(all).sent).sum();
            let answered: u64 = seconds.values().map(|all| at(all).answered).sum();
            outcome.served_share_per_second.push(share(answered, sent));
            let from = self.start_ms + 1_000 * second as u64;
            let bearable = seconds.iter().map(|(service, all)| {
                let sent = at(all).sent as f64;
                sent.min(self.capacity(service, from))
            });
            let bearable: f64 = bearable.sum();
            let capacity = if sent == 0 {
                1.0
            } else {
                bearable / sent as f64
            };
            outcome.capacity_share_per_second.push(capacity);
        }
    }

    /// Requests that the targets of a service that serve in a second can answer in it.
    fn capacity(&self, service: &str, from_ms: u64) -> f64 {
        let placements = self.cluster.placements().iter();
        let serving = placements.filter(|placement| {
            placement.group.name == service && !self.is_away(placement, from_ms)
        });
        let slots: u32 = serving.map(|placement| placement.group.slots).sum();
        f64::from(slots) * 1e3 / self.work_ms.max(1) as f64
    }

    /// Whether a fault keeps a target from serving for a part of a second.
    fn is_away(&self, placement: &Placement, from_ms: u64) -> bool {
        let away = |applied: &&Applied| {
            let Some(from) = applied.from_ms else {
                return false;
            };
            let until = applied.until_ms.unwrap_or(self.end_ms);
            let meets = from < from_ms + 1_000 && until > from_ms;
            let ends_service = matches!(
                applied.fault.action,
                Action::Kill
                    | Action::Freeze
                    | Action::Stop
                    | Action::Restart
                    | Action::DomainOut
                    | Action::Drain
            );
            meets && ends_service && touches(&applied.fault.subject, placement)
        };
        self.applied.iter().any(|applied| away(&applied))
    }

    fn marks(&self) -> Vec<Marked> {
        let relative = |at: u64| at.saturating_sub(self.start_ms);
        let mark = |applied: &Applied| Marked {
            fault: applied.fault.to_string(),
            at_ms: applied.fault.at_ms,
            from_ms: applied.from_ms.map(relative),
            until_ms: applied.until_ms.map(relative),
            failed: applied.failed.clone(),
        };
        self.applied.iter().map(mark).collect()
    }
}

/// Checks the expectations on the measures.
pub(crate) fn check(expectations: &[Expectation], outcome: &Outcome) -> Vec<Checked> {
    let check = |expectation: &Expectation| {
        let value = outcome.measure(&expectation.measure);
        Checked {
            measure: expectation.measure.clone(),
            expected: expectation.bound.to_string(),
            value: value.unwrap_or(f64::NAN),
            holds: value.is_some_and(|value| expectation.holds(value)),
        }
    };
    expectations.iter().map(check).collect()
}

fn touches(subject: &Subject, placement: &Placement) -> bool {
    match subject {
        Subject::Process(name) | Subject::Pair { process: name, .. } => {
            name.strip_prefix("agent-") == Some(&placement.target)
                || name.strip_prefix("backend-") == Some(&placement.target)
        }
        Subject::Target(target) | Subject::Lie { target, .. } => *target == placement.target,
        Subject::Domain(domain) => domain == placement.domain,
        Subject::Store | Subject::Flows(_) | Subject::Delay(_) | Subject::Percent(_) => false,
    }
}

fn latest_within(times: impl Iterator<Item = u64>, from: u64, until: u64) -> u64 {
    let within = times.filter(|at| (from..=until).contains(at));
    within.max().map_or(0, |last| last - from)
}

fn imbalance(work: &[&Work]) -> f64 {
    let total: u64 = work.iter().map(|work| work.ran).sum();
    let most = work.iter().map(|work| work.ran).max().unwrap_or(0);
    if total == 0 {
        return 0.0;
    }
    most as f64 * work.len() as f64 / total as f64
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        1.0
    } else {
        part as f64 / whole as f64
    }
}
