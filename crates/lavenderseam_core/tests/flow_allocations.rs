//! Decisions for established flows allocate nothing.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod world;

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use googletest::prelude::*;
use lavenderseam_core::flow::owner::Arrival;
use lavenderseam_core::flow::{Hint, Owner, Packet, Router, Token, router};
use world::{World, at, continuing, domain, group, key, service, tag};

const FLOWS: u32 = 10_000;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

/// Counts the allocations of each thread.
struct Counting;

// SAFETY: every call is handed to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the pointer came from `alloc` above, so from the system's allocator.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn allocations(run: impl FnOnce()) -> u64 {
    let before = ALLOCATIONS.with(Cell::get);
    run();
    ALLOCATIONS.with(Cell::get) - before
}

#[gtest]
fn a_balancer_decides_established_flows_without_allocation() {
    let view = World::new(7).view();
    let router = Router::<router::System>::default();
    // Naming a target allocates, so the tags are taken before the count.
    let tags: Vec<_> = (0..7).map(tag).collect();
    let owner = |index: u32| tags[index as usize % 7];
    for index in 0..FLOWS {
        let hint = Hint {
            flow: key(index),
            owner: owner(index),
            established: true,
            flows: 1,
        };
        router.hint(&hint, &view, at(1));
    }
    let count = allocations(|| {
        for index in 0..FLOWS {
            let packet = continuing(key(index), service(0));
            let token = Some(Token {
                owner: owner(index),
                nonce: 1,
            });
            let cached = router.packet(&packet, &view, at(2));
            let named = router.packet(&Packet { token, ..packet }, &view, at(2));
            assert_eq!(cached, named);
        }
    });
    expect_that!(count, eq(0));
}

#[gtest]
fn an_agent_decides_its_own_flows_without_allocation() {
    let view = World::new(7).view();
    let mut owner = Owner::new(tag(0), group(0), domain(0));
    (0..FLOWS).for_each(|index| owner.established(key(index), at(1)));
    let count = allocations(|| {
        for index in 0..FLOWS {
            let arrival = Arrival {
                packet: continuing(key(index), service(0)),
                trail: &[],
                revision: view.revision(),
            };
            let decision = owner.arrival(&arrival, &view, at(2), true);
            assert!(decision.hint.is_none());
        }
    });
    expect_that!(count, eq(0));
}

#[gtest]
fn the_counter_counts() {
    let count = allocations(|| drop(Vec::<u8>::with_capacity(1).into_boxed_slice()));
    expect_that!(count, ge(1));
    let text = format!("{}", at(1));
    expect_that!(text.parse::<u64>().unwrap(), eq(1_000));
}
