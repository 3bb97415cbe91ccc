//! Number of messages that the search for the owner of a flow needs.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod simulation;

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::time::Instant;
use simulation::Simulation;

const TARGETS: u64 = 40;
const FLOWS: u64 = 100;

/// A balancer loses its flow cache while half of the slots are in use. The search tries targets in
/// the order in which placement prefers them, so it needs fewer attempts than a random order, which
/// would try half of the targets on average.
#[gtest]
fn search_follows_placement_order() {
    let mut sim = Simulation::new(&["a", "a"], &["a"; TARGETS as usize], 5);
    sim.run_for(Duration::from_secs(1));
    sim.add_load(0, FLOWS, Duration::from_secs(1), Duration::from_secs(2));
    sim.run_for(Duration::from_millis(1_100));
    sim.start_balancer(0);
    let before = sim.returned;
    sim.run_for(Duration::from_secs(2));
    expect_that!(sim.answered_fraction(Instant::default()), eq(1.0));
    expect_that!(sim.returned - before, lt(FLOWS * TARGETS / 3));
}
