//! A process' first load.

use std::time::Duration;

use lavenderseam_core::record::DomainState;

use super::Report;
use super::fixture::fleet::Fleet;
use super::sample::REGIONS;

/// Members of the fleet that is joined.
const MEMBERS: usize = 30;
/// Longest virtual time of a join.
const LIMIT: Duration = Duration::from_secs(60);

/// The first load from a peer while the store is away, against the records held.
pub(crate) fn join(seed: u64) -> Report {
    let columns = ["open after s", "B received by it", "most B sent by a peer"];
    let mut report = Report::new("join", seed, "records", &columns);
    for records in [250, 500, 1_000, 2_000, 4_000, 8_000] {
        let mut fleet = Fleet::new(MEMBERS, REGIONS, seed);
        fleet.checking = false;
        for index in MEMBERS..records {
            fleet.set_domain(&format!("domain-{index}"), DomainState::In);
        }
        fleet.until(LIMIT, Fleet::converged);
        fleet.run(Duration::from_secs(10));
        fleet.store.away = true;
        fleet.counting = true;
        let before: Vec<u64> = fleet
            .processes
            .iter()
            .map(|process| process.sent.bytes)
            .collect();
        let seed_address = fleet.address(0);
        let joined = fleet.join(REGIONS, vec![seed_address]);
        let opened = fleet.until(LIMIT, |fleet| fleet.processes[joined].node.is_open());
        let sent = fleet
            .processes
            .iter()
            .zip(&before)
            .map(|(process, before)| process.sent.bytes - before);
        let most = sent.max().unwrap_or_default() as f64;
        let received = fleet.processes[joined].received.bytes as f64;
        let opened = opened.unwrap_or(LIMIT).as_secs_f64();
        report.add(records, vec![opened, received, most]);
    }
    report
}
