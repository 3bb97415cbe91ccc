//! Lists and watches of the store by one process.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod fixture;

use std::time::Duration;

use fixture::records;
use googletest::prelude::*;
use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::DomainState;
use lavenderseam_core::relay::{Action, Event, Member, Node};
use lavenderseam_core::time::Instant;

fn at_ms(milliseconds: u64) -> Instant {
    Instant(1_000_000) + Duration::from_millis(milliseconds)
}

/// Returns a balancer that is alone and has listed the store at revision 5.
fn watching_node() -> Node {
    let document = records::balancer(0, 0);
    let own = Member::new(&Entry::written(Revision(1), document)).unwrap();
    let mut node = Node::new(own, Vec::new(), 1, at_ms(0));
    node.handle(Event::Tick, at_ms(0));
    let entries = vec![Entry::written(Revision(5), records::balancer(0, 0))];
    let listed = Event::StoreListed {
        queried_at: at_ms(1),
        entries,
        revision: Revision(5),
    };
    node.handle(listed, at_ms(2));
    node
}

/// Returns the calls to the store among some actions.
fn store_calls(actions: &[Action]) -> Vec<&Action> {
    let is_call =
        |action: &&Action| matches!(action, Action::ListStore | Action::WatchStore { .. });
    actions.iter().filter(is_call).collect()
}

/// Guards against a process that watches forever from a revision that the store has discarded: it
/// never received another record from the store.
#[gtest]
fn an_expired_watch_is_followed_by_a_list() {
    let mut node = watching_node();
    let actions = node.handle(Event::WatchExpired, at_ms(3));
    expect_that!(
        store_calls(&actions),
        elements_are![eq(&&Action::ListStore)]
    );
    let listed = Event::StoreListed {
        queried_at: at_ms(4),
        entries: vec![Entry::written(
            Revision(9),
            records::failure_domain("suva-a", DomainState::Out),
        )],
        revision: Revision(9),
    };
    let actions = node.handle(listed, at_ms(5));
    let watches_after_list = |action: &&Action| {
        matches!(
            action,
            Action::WatchStore {
                after: Revision(9),
                ..
            }
        )
    };
    expect_that!(actions.iter().filter(watches_after_list).count(), eq(1));
}
