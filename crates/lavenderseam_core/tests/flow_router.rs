//! Tests of the router: load balance, agreement between balancers, unresponsive targets, cache and
//! hint budget.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod world;

use std::collections::{HashMap, VecDeque};

use googletest::prelude::*;
use lavenderseam_core::flow::router::Action;
use lavenderseam_core::flow::{Hint, Key, Packet, Router, router};
use lavenderseam_core::id::Tag;
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::View;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use world::{
    Deployment, continuing_packet, flow_key, instant_ms, opener_packet, service_address, tag,
};

/// Maximum allowed ratio of the highest load of a target to the mean.
const MAX_IMBALANCE: f64 = 1.15;

/// Routes a packet; returns the target and whether a hint is requested from it.
fn route_with_hint(router: &Router, packet: &Packet, view: &View, now: Instant) -> (Tag, bool) {
    match router.route(packet, view, now) {
        Action::Forward {
            target,
            requests_hint,
            ..
        } => (target, requests_hint),
        Action::Drop(reason) => panic!("dropped: {reason}"),
    }
}

fn route(router: &Router, packet: &Packet, view: &View, now: Instant) -> Tag {
    route_with_hint(router, packet, view, now).0
}

fn hint(flow: Key, owner: Tag, established: bool, flows: u32) -> Hint {
    Hint {
        flow,
        owner,
        established,
        flows,
    }
}

/// Opens flows through several balancers, each of which receives only the hints for its own opening
/// packets, while older flows end. Returns the maximum ratio of the highest load to the mean, and
/// the share of flows for which a second balancer chose the same target.
fn steady_load(targets: usize, open: usize, seed: u64) -> (f64, f64) {
    const BALANCERS: usize = 4;
    let view = Deployment::new(targets).view();
    let routers: Vec<Router> = (0..BALANCERS).map(|_| Router::default()).collect();
    let mut random = StdRng::seed_from_u64(seed);
    let mut loads: HashMap<Tag, u32> = HashMap::new();
    let mut flows = VecDeque::new();
    let (mut max_ratio, mut same_choices) = (0.0_f64, 0);
    let rounds = 6 * open;
    for round in 0..rounds {
        let flow = Key(u128::from(random.next_u64()) << 64 | u128::from(random.next_u64()));
        let now = instant_ms(round as u64);
        let packet = opener_packet(flow, service_address(0));
        let chosen = random.random_range(0..BALANCERS);
        let other = (chosen + random.random_range(1..BALANCERS)) % BALANCERS;
        let (target, requests_hint) = route_with_hint(&routers[chosen], &packet, &view, now);
        let (repeated, repeated_asks) = route_with_hint(&routers[other], &packet, &view, now);
        same_choices += usize::from(repeated == target);
        if repeated_asks {
            let load = loads.get(&repeated).copied().unwrap_or(0);
            routers[other].apply_hint(&hint(flow, repeated, false, load), &view, now);
        }
        let load = loads.entry(target).or_default();
        *load += 1;
        if requests_hint {
            routers[chosen].apply_hint(&hint(flow, target, false, *load), &view, now);
        }
        flows.push_back(target);
        if flows.len() > open {
            // Flows have different lifetimes: a random one of the older half ends.
            let index = random.random_range(0..flows.len() / 2);
            let ended = flows.swap_remove_back(index).unwrap();
            *loads.get_mut(&ended).unwrap() -= 1;
        }
        if round > 2 * open && round % 50 == 0 {
            let highest = f64::from(*loads.values().max().unwrap());
            max_ratio = max_ratio.max(highest * targets as f64 / flows.len() as f64);
        }
    }
    (max_ratio, same_choices as f64 / rounds as f64)
}

#[gtest]
fn steady_load_is_balanced_across_targets() {
    for (targets, open) in [(7, 7 * 200), (3, 3 * 200), (7, 7 * 2_000), (3, 3 * 2_000)] {
        let (max_ratio, same_choices) = steady_load(targets, open, 1);
        println!(
            "{targets} targets, {open} flows: max/mean {max_ratio:.3}, alike {same_choices:.3}"
        );
        expect_that!(
            max_ratio,
            lt(MAX_IMBALANCE),
            "{targets} targets, {open} flows"
        );
        expect_that!(same_choices, gt(0.9), "{targets} targets, {open} flows");
    }
}

#[gtest]
fn retransmitted_opener_goes_to_the_same_target() {
    let view = Deployment::new(7).view();
    let router = Router::<router::StdLocks>::default();
    for index in 0..100 {
        let packet = opener_packet(flow_key(index), service_address(0));
        let first = route(&router, &packet, &view, instant_ms(0));
        router.record_load(first, 1_000_000, instant_ms(1));
        expect_that!(route(&router, &packet, &view, instant_ms(100)), eq(first));
    }
}

#[gtest]
fn opener_goes_to_another_target_after_the_answer_timeout() {
    let view = Deployment::new(3).view();
    let router = Router::<router::StdLocks>::default();
    let packet = opener_packet(flow_key(1), service_address(0));
    let first = route(&router, &packet, &view, instant_ms(0));
    expect_that!(
        route(&router, &packet, &view, instant_ms(1_000)),
        not(eq(first))
    );
}

/// Opens `count` flows, one per millisecond, with hints from all targets except `unresponsive`.
/// Returns the number of flows sent to `unresponsive`.
fn open_flows(router: &Router, view: &View, unresponsive: Tag, start: u32, count: u32) -> u32 {
    let mut sent = 0;
    for index in start..start + count {
        let now = instant_ms(u64::from(index));
        let packet = opener_packet(flow_key(index), service_address(0));
        let (target, requests_hint) = route_with_hint(router, &packet, view, now);
        if target == unresponsive {
            sent += 1;
        } else if requests_hint {
            router.apply_hint(&hint(flow_key(index), target, false, 10), view, now);
        }
    }
    sent
}

#[gtest]
fn unresponsive_target_gets_few_new_flows_and_keeps_its_own() {
    let view = Deployment::new(7).view();
    let router = Router::<router::StdLocks>::default();
    let unresponsive = tag(2);
    let own = flow_key(1_000_000);
    router.apply_hint(&hint(own, unresponsive, true, 10), &view, instant_ms(0));
    let before = open_flows(&router, &view, unresponsive, 1, 400);
    let after = open_flows(&router, &view, unresponsive, 401, 10_000);
    expect_that!(before, gt(20));
    expect_that!(after, le(5), "at most one probe every two seconds");
    let packet = continuing_packet(own, service_address(0));
    expect_that!(
        route(&router, &packet, &view, instant_ms(10_500)),
        eq(unresponsive)
    );
}

#[gtest]
fn recovered_target_gets_its_share() {
    let view = Deployment::new(7).view();
    let router = Router::<router::StdLocks>::default();
    let unresponsive = tag(2);
    open_flows(&router, &view, unresponsive, 1, 1_000);
    router.record_load(unresponsive, 10, instant_ms(1_001));
    let share = open_flows(&router, &view, unresponsive, 1_002, 200);
    expect_that!(share, gt(10));
}

#[gtest]
fn target_that_forwards_openers_is_not_suspect() {
    let view = Deployment::new(3).view();
    let router = Router::<router::StdLocks>::default();
    for index in 0..2_000 {
        let packet = opener_packet(flow_key(index), service_address(0));
        let now = instant_ms(u64::from(index));
        let (target, requests_hint) = route_with_hint(&router, &packet, &view, now);
        let owner = if target == tag(0) { tag(1) } else { target };
        if requests_hint {
            router.apply_hint(&hint(flow_key(index), owner, false, 10), &view, now);
        }
    }
    let sent = (2_000..2_300)
        .map(|index| opener_packet(flow_key(index), service_address(0)))
        .filter(|packet| route(&router, packet, &view, instant_ms(2_000)) == tag(0))
        .count();
    expect_that!(sent, gt(50));
}

#[gtest]
fn lower_ranked_embryonic_owner_releases_the_flow_and_established_owner_keeps_it() {
    let view = Deployment::new(3).view();
    for (first, second) in [(0, 1), (1, 0)] {
        let router = Router::<router::StdLocks>::default();
        let flow = flow_key(5);
        router.apply_hint(&hint(flow, tag(first), false, 1), &view, instant_ms(0));
        let release = router.apply_hint(&hint(flow, tag(second), false, 1), &view, instant_ms(0));
        let winner = route(
            &router,
            &continuing_packet(flow, service_address(0)),
            &view,
            instant_ms(0),
        );
        let score = |tag: Tag| lavenderseam_core::rank::score(flow.fold_u64(), tag.0);
        let highest = [tag(0), tag(1)].into_iter().max_by_key(|tag| score(*tag));
        expect_that!(winner, eq(highest.unwrap()));
        expect_that!(release.unwrap().losing_owner, not(eq(winner)));
        let losing_owner = release.unwrap().losing_owner;
        let release = router.apply_hint(&hint(flow, losing_owner, true, 1), &view, instant_ms(0));
        expect_that!(release.unwrap().losing_owner, eq(winner));
    }
}

#[gtest]
fn cache_is_bounded_and_keeps_flows_in_use() {
    let view = Deployment::new(3).view();
    let router = Router::<router::StdLocks>::new(router::Settings {
        shard_count: 2,
        capacity: 1_024,
        ..router::Settings::default()
    });
    // Without a cache entry, packets of this flow would go to another target.
    let flow = (0..100)
        .map(flow_key)
        .find(|flow| {
            route(
                &router,
                &continuing_packet(*flow, service_address(0)),
                &view,
                instant_ms(0),
            ) != tag(0)
        })
        .unwrap();
    router.apply_hint(&hint(flow, tag(0), true, 1), &view, instant_ms(0));
    for index in 1_000..100_000 {
        router.apply_hint(
            &hint(flow_key(index), tag(1), true, 1),
            &view,
            instant_ms(1),
        );
        let used = route(
            &router,
            &continuing_packet(flow, service_address(0)),
            &view,
            instant_ms(1),
        );
        assert_that!(used, eq(tag(0)));
    }
    expect_that!(router.cached_flow_count(), le(1_024));
}

#[gtest]
fn hint_requests_stay_within_the_budget() {
    let view = Deployment::new(3).view();
    let router = Router::<router::StdLocks>::new(router::Settings {
        hints_per_second: 40,
        ..router::Settings::default()
    });
    let requested_hints = (0..10_000)
        .map(|index| {
            (
                instant_ms(u64::from(index)),
                opener_packet(flow_key(index), service_address(0)),
            )
        })
        .filter(|(now, packet)| route_with_hint(&router, packet, &view, *now).1)
        .count();
    // The budget starts with the hints of one second, and refills by as many each second.
    expect_that!(requested_hints, all![ge(11 * 40 - 5), le(11 * 40)]);
}

#[gtest]
fn retransmitted_opener_requests_a_hint_and_starts_the_answer_timeout() {
    let view = Deployment::new(3).view();
    let router = Router::<router::StdLocks>::new(router::Settings {
        hints_per_second: 0,
        ..router::Settings::default()
    });
    let packet = opener_packet(flow_key(1), service_address(0));
    let (first, requests_hint) = route_with_hint(&router, &packet, &view, instant_ms(0));
    expect_that!(requests_hint, eq(false));
    expect_that!(
        route_with_hint(&router, &packet, &view, instant_ms(1_000)),
        eq((first, true))
    );
    expect_that!(
        route(&router, &packet, &view, instant_ms(2_000)),
        not(eq(first))
    );
}
