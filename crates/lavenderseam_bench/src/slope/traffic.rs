//! Control traffic of whole fleets in memory, on virtual time.

use std::time::Duration;

use lavenderseam_core::id;
use lavenderseam_core::record::{Document, DomainState, Down, Record, Schema, Verdict};

use super::Report;
use super::fixture::fleet::{Fleet, Traffic};
use super::fixture::records;
use super::sample::REGIONS;

/// Sizes of fleets, in members.
const SIZES: [usize; 5] = [30, 60, 120, 240, 480];
/// Size of the fleets of slopes over something else than members.
const MEMBERS: usize = 120;
/// Changes of records in a second at the two-year size: 12,000 of configuration, 4,300 restarts of
/// three writes and 120 failures of eight a day.
const CHANGES: f64 = (12_000.0 + 3.0 * 4_300.0 + 8.0 * 120.0) / 86_400.0;
/// Virtual time of a measurement.
const SPAN: Duration = Duration::from_secs(120);
/// Longest virtual time that a fleet gets to settle.
const LIMIT: Duration = Duration::from_secs(120);
/// Virtual time that a settled fleet runs before a measurement.
const WARM: Duration = Duration::from_secs(15);

/// Bytes and messages that processes sent and received in a second: the mean and the most.
struct Rates {
    mean_bytes: f64,
    most_bytes: f64,
    mean_messages: f64,
}

fn settled(members: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(members, REGIONS, seed);
    fleet.checking = false;
    fleet.until(LIMIT, Fleet::converged);
    fleet.run(WARM);
    fleet.counting = true;
    reset(&mut fleet);
    fleet
}

fn reset(fleet: &mut Fleet) {
    for process in &mut fleet.processes {
        process.sent = Traffic::default();
        process.received = Traffic::default();
    }
}

fn rates(fleet: &Fleet, span: Duration) -> Rates {
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
    Rates {
        mean_bytes: bytes.clone().sum::<f64>() / count,
        most_bytes: bytes.fold(0.0, f64::max),
        mean_messages: messages.sum::<f64>() / count / seconds,
    }
}

/// Writes records at a rate for a time: announcements of targets, which are the largest common ones.
fn change(fleet: &mut Fleet, rate: f64, span: Duration) {
    let count = (span.as_secs_f64() * rate).round() as usize;
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

/// Traffic against members, at the two-year rate of changes.
pub(crate) fn members(seed: u64) -> Report {
    let columns = [
        "mean B/s",
        "most B/s",
        "mean messages/s",
        "idle mean B/s",
        "idle most B/s",
    ];
    let mut report = Report::new("members", seed, "members", &columns);
    for size in SIZES {
        let mut fleet = settled(size, seed);
        change(&mut fleet, 0.0, SPAN);
        let idle = rates(&fleet, SPAN);
        reset(&mut fleet);
        change(&mut fleet, CHANGES, SPAN);
        let busy = rates(&fleet, SPAN);
        let figures = [
            busy.mean_bytes,
            busy.most_bytes,
            busy.mean_messages,
            idle.mean_bytes,
            idle.most_bytes,
        ];
        report.add(size, figures.to_vec());
    }
    report
}

/// Traffic against the rate of changes, in changes a minute.
pub(crate) fn changes(seed: u64) -> Report {
    let columns = ["mean B/s", "most B/s", "mean messages/s"];
    let mut report = Report::new("changes", seed, "changes/min", &columns);
    for rate in [0, 6, 12, 24, 48, 96] {
        let mut fleet = settled(MEMBERS, seed);
        change(&mut fleet, f64::from(rate) / 60.0, SPAN);
        let rates = rates(&fleet, SPAN);
        report.add(
            rate as usize,
            vec![rates.mean_bytes, rates.most_bytes, rates.mean_messages],
        );
    }
    report
}

/// Traffic of verdicts against the targets that fail together: each of three balancers writes its
/// share once a second while the targets are found one by one.
pub(crate) fn failures(seed: u64) -> Report {
    let columns = [
        "mean B a process",
        "most B a process",
        "B of the last verdict",
        "in force s",
    ];
    let mut report = Report::new("failures", seed, "targets", &columns);
    for failed in [3, 30, 120, 480, 1920] {
        let mut fleet = settled(MEMBERS, seed);
        let mut size = 0;
        for second in 1..=3 {
            for balancer in 0..3 {
                let document = verdict(balancer * 5, failed * second / 3);
                size = serde_json::to_vec(&document).map_or(0, |text| text.len());
                fleet.store.put(document);
            }
            fleet.run(Duration::from_secs(1));
        }
        let took = fleet.until(LIMIT, Fleet::converged).unwrap_or(LIMIT);
        let whole = rates(&fleet, Duration::from_secs(1));
        report.add(
            failed,
            vec![
                whole.mean_bytes,
                whole.most_bytes,
                size as f64,
                took.as_secs_f64(),
            ],
        );
    }
    report
}

fn verdict(balancer: usize, count: usize) -> Document {
    let down = (0..count).filter_map(|index| {
        Some(Down {
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

/// A region's return against the changes that it missed.
pub(crate) fn region(seed: u64) -> Report {
    let columns = ["converged s", "mean B a process", "most B a process"];
    let mut report = Report::new("region", seed, "changes missed", &columns);
    for missed in [8, 32, 128, 512] {
        let mut fleet = settled(MEMBERS, seed);
        fleet.parted = true;
        fleet.storeless = vec![2];
        fleet.run(Duration::from_secs(30));
        for index in 0..missed {
            fleet.set_domain(&format!("domain-{index}"), DomainState::Out);
            fleet.run(Duration::from_millis(100));
        }
        fleet.parted = false;
        fleet.storeless.clear();
        reset(&mut fleet);
        let took = fleet.until(LIMIT, Fleet::converged).unwrap_or(LIMIT);
        fleet.run(Duration::from_secs(5));
        let whole = rates(&fleet, Duration::from_secs(1));
        report.add(
            missed,
            vec![took.as_secs_f64(), whole.mean_bytes, whole.most_bytes],
        );
    }
    report
}

/// Traffic and calls of the store against members while the store is away.
pub(crate) fn outage(seed: u64) -> Report {
    let columns = ["mean B/s", "most B/s", "store calls/s"];
    let mut report = Report::new("outage", seed, "members", &columns);
    for size in SIZES {
        let mut fleet = settled(size, seed);
        fleet.store.away = true;
        fleet.run(Duration::from_secs(30));
        reset(&mut fleet);
        let before = fleet.store.calls;
        fleet.run(SPAN);
        let rates = rates(&fleet, SPAN);
        let calls = (fleet.store.calls - before) as f64 / SPAN.as_secs_f64();
        report.add(size, vec![rates.mean_bytes, rates.most_bytes, calls]);
    }
    report
}

/// Time until a change is in force on every process, against members: while all is well, with a
/// tenth of the processes dead, and with all watchers dead.
pub(crate) fn depth(seed: u64) -> Report {
    let columns = ["all well s", "a tenth dead s", "watchers dead s"];
    let mut report = Report::new("depth", seed, "members", &columns);
    for size in SIZES {
        let well = worst(settled(size, seed));
        let mut holed = settled(size, seed);
        for process in holed.processes.iter_mut().skip(3).step_by(10) {
            process.alive = false;
        }
        let mut unwatched = settled(size, seed);
        for process in &mut unwatched.processes {
            process.alive = !process.node.is_watching();
        }
        report.add(size, vec![well, worst(holed), worst(unwatched)]);
    }
    report
}

/// The longest time to in force of several changes, in seconds.
fn worst(mut fleet: Fleet) -> f64 {
    let once = |index: usize| {
        let id = fleet.set_domain(&format!("domain-{index}"), DomainState::Out);
        let took = fleet
            .until(LIMIT, |fleet| fleet.in_force(&id))
            .unwrap_or(LIMIT);
        fleet.run(Duration::from_millis(700));
        took.as_secs_f64()
    };
    (0..10).map(once).fold(0.0, f64::max)
}

/// Calls of the store in a second against members.
pub(crate) fn store(seed: u64) -> Report {
    let columns = [
        "idle calls/s",
        "calls/s at the two-year rate",
        "watching processes",
    ];
    let mut report = Report::new("store", seed, "members", &columns);
    for size in SIZES {
        let mut fleet = settled(size, seed);
        fleet.counting = false;
        let before = fleet.store.calls;
        fleet.run(SPAN);
        let idle = fleet.store.calls - before;
        change(&mut fleet, CHANGES, SPAN);
        let busy = fleet.store.calls - before - idle;
        let watching = fleet
            .processes
            .iter()
            .filter(|process| process.node.is_watching());
        let seconds = SPAN.as_secs_f64();
        report.add(
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
