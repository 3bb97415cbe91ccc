//! Checks that routing decisions for established flows don't allocate memory.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod world;

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use googletest::prelude::*;
use lavenderseam_core::flow::owner::ForwardedPacket;
use lavenderseam_core::flow::{Hint, Owner, Packet, Router, Token, router};
use world::{
    Deployment, continuing_packet, domain, flow_key, group, instant_ms, service_address, tag,
};

const FLOWS: u32 = 10_000;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

/// Global allocator that counts the allocations of each thread.
struct CountingAllocator;

// SAFETY: all calls are forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the pointer was returned by `alloc` above, which uses the system allocator.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn count_allocations(run: impl FnOnce()) -> u64 {
    let before = ALLOCATIONS.with(Cell::get);
    run();
    ALLOCATIONS.with(Cell::get) - before
}

#[gtest]
fn balancer_routes_established_flows_without_allocation() {
    let view = Deployment::new(7).view();
    let router = Router::<router::StdLocks>::default();
    // Computing a tag allocates, so the tags are computed before the measured section.
    let tags: Vec<_> = (0..7).map(tag).collect();
    let owner = |index: u32| tags[index as usize % 7];
    for index in 0..FLOWS {
        let hint = Hint {
            flow: flow_key(index),
            owner: owner(index),
            established: true,
            flows: 1,
        };
        router.apply_hint(&hint, &view, instant_ms(1));
    }
    let count = count_allocations(|| {
        for index in 0..FLOWS {
            let packet = continuing_packet(flow_key(index), service_address(0));
            let token = Some(Token {
                owner: owner(index),
                nonce: 1,
            });
            let by_cache = router.route(&packet, &view, instant_ms(2));
            let by_token = router.route(&Packet { token, ..packet }, &view, instant_ms(2));
            assert_eq!(by_cache, by_token);
        }
    });
    expect_that!(count, eq(0));
}

#[gtest]
fn agent_routes_its_own_flows_without_allocation() {
    let view = Deployment::new(7).view();
    let mut owner = Owner::new(tag(0), group(0), domain(0));
    (0..FLOWS).for_each(|index| owner.mark_established(flow_key(index), instant_ms(1)));
    let count = count_allocations(|| {
        for index in 0..FLOWS {
            let forwarded = ForwardedPacket {
                packet: continuing_packet(flow_key(index), service_address(0)),
                visited: &[],
                revision: view.revision(),
            };
            let decision = owner.handle_packet(&forwarded, &view, instant_ms(2), true);
            assert!(decision.hint.is_none());
        }
    });
    expect_that!(count, eq(0));
}

#[gtest]
fn allocations_are_counted() {
    let count = count_allocations(|| drop(Vec::<u8>::with_capacity(1).into_boxed_slice()));
    expect_that!(count, ge(1));
    let text = format!("{}", instant_ms(1));
    expect_that!(text.parse::<u64>().unwrap(), eq(1_000));
}
