//! How long the search for a flow's owner takes.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod world;

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::time::Instant;
use world::World;

const TARGETS: u64 = 40;
const FLOWS: u64 = 100;

/// Pattern: a balancer forgets its flows while half of the slots are in use. The search visits the
/// targets in the order in which placement prefers them, so it takes fewer steps than one in any
/// order, which visits half of the targets.
#[gtest]
fn a_search_begins_where_placement_does() {
    let mut world = World::new(&["a", "a"], &["a"; TARGETS as usize], 5);
    world.run_for(Duration::from_secs(1));
    world.load(0, FLOWS, Duration::from_secs(1), Duration::from_secs(2));
    world.run_for(Duration::from_millis(1_100));
    world.start_balancer(0);
    let before = world.returned;
    world.run_for(Duration::from_secs(2));
    expect_that!(world.served(Instant::default()), eq(1.0));
    expect_that!(world.returned - before, lt(FLOWS * TARGETS / 3));
}
