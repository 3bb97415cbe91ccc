//! Scaling of control traffic, as the fleet or its rate of changes grows. Whole fleets are
//! simulated in memory with virtual time.

use std::time::Duration;

use lavenderseam_core::id;
use lavenderseam_core::record::{Document, DomainState, DownTarget, Record, Schema, Verdict};

use super::Report;
use super::fixture::fleet::{Fleet, Traffic};
use super::fixture::records;
use super::sample::REGIONS;

/// Numbers of members of the measured fleets.
const FLEET_SIZES: [usize; 5] = [30, 60, 120, 240, 480];
/// Number of members where a measurement varies something else.
const FIXED_MEMBERS: usize = 120;
/// Record changes per second at the planned size in two years: per day 12,000 changes of
/// configuration, 4,300 restarts with three writes each and 120 failures with eight writes each.
const PLANNED_CHANGES_PER_SECOND: f64 = (12_000.0 + 3.0 * 4_300.0 + 8.0 * 120.0) / 86_400.0;
/// Simulated duration of a measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(120);
/// Maximum simulated time for a fleet to converge.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);
/// Simulated time that a converged fleet runs before a measurement.
const WARM_UP_TIME: Duration = Duration::from_secs(15);

/// Traffic per process and second, sent and received.
struct TrafficRates {
    mean_bytes: f64,
    max_bytes: f64,
    mean_messages: f64,
}

/// Returns a converged fleet with its traffic counters at zero.
fn converged_fleet(members: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(members, REGIONS, seed);
    fleet.checks_steps = false;
    fleet.run_until(CONVERGENCE_TIMEOUT, Fleet::has_converged);
    fleet.run(WARM_UP_TIME);
    fleet.counts_bytes = true;
    reset_counters(&mut fleet);
    fleet
}

/// Sets the traffic counters to zero.
fn reset_counters(fleet: &mut Fleet) {
    for process in &mut fleet.processes {
        process.sent = Traffic::default();
        process.received = Traffic::default();
    }
}

/// Returns the traffic since the last reset, which was `span` ago.
fn traffic_rates(fleet: &Fleet, span: Duration) -> TrafficRates {
    let seconds = span.as_secs_f64();
    let bytes = fleet
        .processes
        .iter()
        .map(|process| (process.sent.bytes + process.received.bytes) as f64 / seconds);
    let messages = fleet
        .processes
        .iter()
        .map(|process| (process.sent.messages + process.received.messages) as f64);
    let count = fleet.processes.len() as f64;
    TrafficRates {
        mean_bytes: bytes.clone().sum::<f64>() / count,
        max_bytes: bytes.fold(0.0, f64::max),
        mean_messages: messages.sum::<f64>() / count / seconds,
    }
}

/// Writes `changes_per_second` records for `span`. They are announcements of targets, which are the
/// largest of the frequent records.
fn write_changes(fleet: &mut Fleet, changes_per_second: f64, span: Duration) {
    let count = (span.as_secs_f64() * changes_per_second).round() as usize;
    let pause = span.div_f64(count.max(1) as f64);
    for index in 0..count {
        let target = (index * 7 % fleet.processes.len()).max(1);
        let target = if target.is_multiple_of(5) {
            target + 1
        } else {
            target
        };
        let mut document = records::target(target, target % REGIONS);
        document.spec.insert("note".to_owned(), index.into());
        fleet.store.put(document);
        fleet.run(pause);
    }
    if count == 0 {
        fleet.run(span);
    }
}

/// Measures the traffic by number of members, at the planned rate of changes and without changes.
pub(crate) fn members(seed: u64) -> Report {
    let columns = [
        "mean B/s",
        "most B/s",
        "mean messages/s",
        "idle mean B/s",
        "idle most B/s",
    ];
    let mut report = Report::new("members", seed, "members", &columns);
    for size in FLEET_SIZES {
        let mut fleet = converged_fleet(size, seed);
        write_changes(&mut fleet, 0.0, MEASUREMENT_TIME);
        let idle = traffic_rates(&fleet, MEASUREMENT_TIME);
        reset_counters(&mut fleet);
        write_changes(&mut fleet, PLANNED_CHANGES_PER_SECOND, MEASUREMENT_TIME);
        let busy = traffic_rates(&fleet, MEASUREMENT_TIME);
        let figures = [
            busy.mean_bytes,
            busy.max_bytes,
            busy.mean_messages,
            idle.mean_bytes,
            idle.max_bytes,
        ];
        report.add_row(size, figures.to_vec());
    }
    report
}

/// Measures the traffic by rate of changes, in changes per minute.
pub(crate) fn changes(seed: u64) -> Report {
    let columns = ["mean B/s", "most B/s", "mean messages/s"];
    let mut report = Report::new("changes", seed, "changes/min", &columns);
    for rate in [0, 6, 12, 24, 48, 96] {
        let mut fleet = converged_fleet(FIXED_MEMBERS, seed);
        write_changes(&mut fleet, f64::from(rate) / 60.0, MEASUREMENT_TIME);
        let rates = traffic_rates(&fleet, MEASUREMENT_TIME);
        report.add_row(
            rate as usize,
            vec![rates.mean_bytes, rates.max_bytes, rates.mean_messages],
        );
    }
    report
}

/// Measures the traffic of health verdicts by number of targets that fail together. Each of three
/// balancers writes a verdict once per second while it detects more of them.
pub(crate) fn failures(seed: u64) -> Report {
    let columns = [
        "mean B a process",
        "most B a process",
        "B of the last verdict",
        "in force s",
    ];
    let mut report = Report::new("failures", seed, "targets", &columns);
    for failed in [3, 30, 120, 480, 1920] {
        let mut fleet = converged_fleet(FIXED_MEMBERS, seed);
        let mut size = 0;
        for second in 1..=3 {
            for balancer in 0..3 {
                let document = verdict_document(balancer * 5, failed * second / 3);
                size = serde_json::to_vec(&document).map_or(0, |text| text.len());
                fleet.store.put(document);
            }
            fleet.run(Duration::from_secs(1));
        }
        let elapsed = fleet
            .run_until(CONVERGENCE_TIMEOUT, Fleet::has_converged)
            .unwrap_or(CONVERGENCE_TIMEOUT);
        let total = traffic_rates(&fleet, Duration::from_secs(1));
        report.add_row(
            failed,
            vec![
                total.mean_bytes,
                total.max_bytes,
                size as f64,
                elapsed.as_secs_f64(),
            ],
        );
    }
    report
}

fn verdict_document(balancer: usize, count: usize) -> Document {
    let down = (0..count).filter_map(|index| {
        Some(DownTarget {
            target: id::Target::new(&format!("target-{}", 100_000 + index)).ok()?,
            incarnation: id::Incarnation(0x9e37_79b9_7f4a_7c15 ^ index as u64),
        })
    });
    let verdict = Verdict {
        down: down.collect(),
    };
    let mut document = Document::new(Verdict::KIND, format!("balancer-{balancer}"), Schema(1));
    verdict.write(&mut document);
    document
}

/// Measures the recovery of a partitioned region by number of changes that it missed.
pub(crate) fn region(seed: u64) -> Report {
    let columns = ["converged s", "mean B a process", "most B a process"];
    let mut report = Report::new("region", seed, "changes missed", &columns);
    for missed in [8, 32, 128, 512] {
        let mut fleet = converged_fleet(FIXED_MEMBERS, seed);
        fleet.partitioned = true;
        fleet.regions_without_store = vec![2];
        fleet.run(Duration::from_secs(30));
        for index in 0..missed {
            fleet.set_domain(&format!("domain-{index}"), DomainState::Out);
            fleet.run(Duration::from_millis(100));
        }
        fleet.partitioned = false;
        fleet.regions_without_store.clear();
        reset_counters(&mut fleet);
        let elapsed = fleet
            .run_until(CONVERGENCE_TIMEOUT, Fleet::has_converged)
            .unwrap_or(CONVERGENCE_TIMEOUT);
        fleet.run(Duration::from_secs(5));
        let total = traffic_rates(&fleet, Duration::from_secs(1));
        report.add_row(
            missed,
            vec![elapsed.as_secs_f64(), total.mean_bytes, total.max_bytes],
        );
    }
    report
}

/// Measures traffic and store calls by number of members during an outage of the store.
pub(crate) fn outage(seed: u64) -> Report {
    let columns = ["mean B/s", "most B/s", "store calls/s"];
    let mut report = Report::new("outage", seed, "members", &columns);
    for size in FLEET_SIZES {
        let mut fleet = converged_fleet(size, seed);
        fleet.store.unreachable = true;
        fleet.run(Duration::from_secs(30));
        reset_counters(&mut fleet);
        let before = fleet.store.calls;
        fleet.run(MEASUREMENT_TIME);
        let rates = traffic_rates(&fleet, MEASUREMENT_TIME);
        let calls = (fleet.store.calls - before) as f64 / MEASUREMENT_TIME.as_secs_f64();
        report.add_row(size, vec![rates.mean_bytes, rates.max_bytes, calls]);
    }
    report
}

/// Measures the time until a change is in force on all processes, by number of members: without
/// failures, with a tenth of the processes dead, and with all watchers dead.
pub(crate) fn depth(seed: u64) -> Report {
    let columns = ["all well s", "a tenth dead s", "watchers dead s"];
    let mut report = Report::new("depth", seed, "members", &columns);
    for size in FLEET_SIZES {
        let healthy = max_propagation_time(converged_fleet(size, seed));
        let mut degraded = converged_fleet(size, seed);
        for process in degraded.processes.iter_mut().skip(3).step_by(10) {
            process.is_running = false;
        }
        let mut unwatched = converged_fleet(size, seed);
        for process in &mut unwatched.processes {
            process.is_running = !process.node.is_watching();
        }
        report.add_row(
            size,
            vec![
                healthy,
                max_propagation_time(degraded),
                max_propagation_time(unwatched),
            ],
        );
    }
    report
}

/// Returns the longest time until one of several changes is in force, in seconds.
fn max_propagation_time(mut fleet: Fleet) -> f64 {
    let propagation_time = |index: usize| {
        let id = fleet.set_domain(&format!("domain-{index}"), DomainState::Out);
        let elapsed = fleet
            .run_until(CONVERGENCE_TIMEOUT, |fleet| {
                fleet.is_applied_everywhere(&id)
            })
            .unwrap_or(CONVERGENCE_TIMEOUT);
        fleet.run(Duration::from_millis(700));
        elapsed.as_secs_f64()
    };
    (0..10).map(propagation_time).fold(0.0, f64::max)
}

/// Measures the store calls per second by number of members.
pub(crate) fn store(seed: u64) -> Report {
    let columns = [
        "idle calls/s",
        "calls/s at the two-year rate",
        "watching processes",
    ];
    let mut report = Report::new("store", seed, "members", &columns);
    for size in FLEET_SIZES {
        let mut fleet = converged_fleet(size, seed);
        fleet.counts_bytes = false;
        let before = fleet.store.calls;
        fleet.run(MEASUREMENT_TIME);
        let idle = fleet.store.calls - before;
        write_changes(&mut fleet, PLANNED_CHANGES_PER_SECOND, MEASUREMENT_TIME);
        let busy = fleet.store.calls - before - idle;
        let watching = fleet
            .processes
            .iter()
            .filter(|process| process.node.is_watching());
        let seconds = MEASUREMENT_TIME.as_secs_f64();
        report.add_row(
            size,
            vec![
                idle as f64 / seconds,
                busy as f64 / seconds,
                watching.count() as f64,
            ],
        );
    }
    report
}
