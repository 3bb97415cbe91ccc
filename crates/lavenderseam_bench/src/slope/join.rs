//! Scaling of a join: time and traffic of the first load of records by a process that joins, as the
//! number of records grows.

use std::time::Duration;

use lavenderseam_core::record::DomainState;

use super::Report;
use super::fixture::fleet::Fleet;
use super::sample::REGIONS;

/// Number of members of the fleet that is joined.
const MEMBERS: usize = 30;
/// Maximum simulated time of a join.
const TIME_LIMIT: Duration = Duration::from_secs(60);

/// Measures the first load from a peer during an outage of the store, by number of records.
pub(crate) fn join(seed: u64) -> Report {
    let columns = ["open after s", "B received by it", "most B sent by a peer"];
    let mut report = Report::new("join", seed, "records", &columns);
    for records in [250, 500, 1_000, 2_000, 4_000, 8_000] {
        let mut fleet = Fleet::new(MEMBERS, REGIONS, seed);
        fleet.checks_steps = false;
        for index in MEMBERS..records {
            fleet.set_domain(&format!("domain-{index}"), DomainState::In);
        }
        fleet.run_until(TIME_LIMIT, Fleet::has_converged);
        fleet.run(Duration::from_secs(10));
        fleet.store.unreachable = true;
        fleet.counts_bytes = true;
        let before: Vec<u64> = fleet
            .processes
            .iter()
            .map(|process| process.sent.bytes)
            .collect();
        let seed_address = fleet.address(0);
        let joined = fleet.join(REGIONS, vec![seed_address]);
        let opened = fleet.run_until(TIME_LIMIT, |fleet| {
            fleet.processes[joined].node.is_confirmed()
        });
        let sent = fleet
            .processes
            .iter()
            .zip(&before)
            .map(|(process, before)| process.sent.bytes - before);
        let max_sent = sent.max().unwrap_or_default() as f64;
        let received = fleet.processes[joined].received.bytes as f64;
        let opened = opened.unwrap_or(TIME_LIMIT).as_secs_f64();
        report.add_row(records, vec![opened, received, max_sent]);
    }
    report
}
