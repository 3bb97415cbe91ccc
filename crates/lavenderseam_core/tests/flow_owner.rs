//! An agent's decisions, case by case.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod world;

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::owner::{Action, Arrival, Settings};
use lavenderseam_core::flow::{Owner, Packet, Reason, Token};
use lavenderseam_core::id::Tag;
use lavenderseam_core::view::View;
use world::{World, at, continuing, domain, group, key, opener, service, tag};

fn owner() -> Owner {
    Owner::new(tag(0), group(0), domain(0))
}

fn arrive(owner: &mut Owner, packet: Packet, trail: &[Tag], view: &View, admits: bool) -> Action {
    let arrival = Arrival {
        packet,
        trail,
        revision: view.revision(),
    };
    owner.arrival(&arrival, view, at(1), admits).action
}

fn next(action: &Action) -> Tag {
    let Action::Pass { next, .. } = action else {
        panic!("not passed on: {action:?}");
    };
    *next
}

#[gtest]
fn an_opener_that_all_refuse_is_refused_by_the_last() {
    let view = World::new(3).view();
    let packet = opener(key(1), service(0));
    let first = next(&arrive(&mut owner(), packet, &[], &view, false));
    let other = if first == tag(1) { tag(2) } else { tag(1) };
    expect_that!(
        next(&arrive(&mut owner(), packet, &[first], &view, false)),
        eq(other)
    );
    expect_that!(
        arrive(&mut owner(), packet, &[first, other], &view, false),
        eq(&Action::Refuse)
    );
}

#[gtest]
fn a_draining_agent_passes_openers_on_and_keeps_its_own_flows() {
    let mut world = World::new(3);
    world.set_draining(0, true);
    let view = world.view();
    let mut owner = owner();
    owner.established(key(1), at(0));
    for packet in [continuing(key(1), service(0)), opener(key(1), service(0))] {
        let action = arrive(&mut owner, packet, &[], &view, true);
        expect_that!(action, eq(&Action::Deliver { opened: false }));
    }
    let passed = next(&arrive(
        &mut owner,
        opener(key(2), service(0)),
        &[],
        &view,
        true,
    ));
    expect_that!(passed, not(eq(tag(0))));
}

#[gtest]
fn a_down_target_is_offered_flows_only_if_none_serves() {
    let mut world = World::new(2);
    world.set_down(1, true);
    let packet = opener(key(1), service(0));
    let action = arrive(&mut owner(), packet, &[], &world.view(), false);
    expect_that!(action, eq(&Action::Refuse));
    world.set_down(0, true);
    let action = arrive(&mut owner(), packet, &[], &world.view(), false);
    expect_that!(next(&action), eq(tag(1)));
}

#[gtest]
fn another_service_and_a_domain_out_receive_nothing() {
    let mut world = World::new(3);
    let view = world.view();
    let mut owner = owner();
    owner.established(key(1), at(0));
    let crossed = arrive(&mut owner, continuing(key(1), service(1)), &[], &view, true);
    expect_that!(crossed, eq(&Action::Drop(Reason::OtherService)));
    let unknown = arrive(&mut owner, continuing(key(1), service(9)), &[], &view, true);
    expect_that!(unknown, eq(&Action::Drop(Reason::UnknownService)));
    world.set_out(0, true);
    let packet = continuing(key(1), service(0));
    let out = arrive(&mut owner, packet, &[], &world.view(), true);
    expect_that!(out, eq(&Action::Drop(Reason::DomainOut)));
}

#[gtest]
fn a_token_leads_to_its_owner_and_never_to_another_service() {
    let view = World::new(3).view();
    let of = |owner: usize| Packet {
        token: Some(Token {
            owner: tag(owner),
            nonce: 1,
        }),
        ..continuing(key(1), service(0))
    };
    let own = arrive(&mut owner(), of(0), &[], &view, true);
    expect_that!(own, eq(&Action::Deliver { opened: false }));
    expect_that!(
        next(&arrive(&mut owner(), of(2), &[], &view, true)),
        eq(tag(2))
    );
    let foreign = arrive(&mut owner(), of(4), &[], &view, true);
    expect_that!(foreign, eq(&Action::Drop(Reason::ForeignToken)));
    let unknown = arrive(&mut owner(), of(99), &[], &view, true);
    expect_that!(unknown, eq(&Action::Drop(Reason::UnknownOwner)));
}

#[gtest]
fn a_flow_is_reset_once_it_has_stayed_without_owner() {
    let view = World::new(2).view();
    let mut owner = owner();
    let mut arrive = |milliseconds: u64, newer: u64| {
        let arrival = Arrival {
            packet: continuing(key(1), service(0)),
            trail: &[tag(1)],
            revision: Revision(view.revision().0 + newer),
        };
        owner
            .arrival(&arrival, &view, at(milliseconds), true)
            .action
    };
    expect_that!(arrive(0, 0), eq(&Action::Drop(Reason::Unowned)));
    expect_that!(arrive(2_999, 0), eq(&Action::Drop(Reason::Unowned)));
    expect_that!(arrive(3_000, 1), eq(&Action::Drop(Reason::StaleView)));
    expect_that!(arrive(3_000, 0), eq(&Action::Reset));
    expect_that!(arrive(13_000, 0), eq(&Action::Drop(Reason::Unowned)));
    expect_that!(arrive(16_000, 0), eq(&Action::Reset));
}

#[gtest]
fn held_flows_are_bounded_and_embryonic_ones_expire() {
    let view = World::new(1).view();
    let settings = Settings {
        limit: 2,
        embryonic: Duration::from_secs(5),
        idle: None,
    };
    let mut owner = Owner::with_settings(tag(0), group(0), domain(0), settings);
    let mut open = |index: u32, milliseconds: u64| {
        let arrival = Arrival {
            packet: opener(key(index), service(0)),
            trail: &[],
            revision: view.revision(),
        };
        let now = at(milliseconds);
        owner.arrival(&arrival, &view, now, true).action
    };
    let opened = Action::Deliver { opened: true };
    expect_that!(open(1, 0), eq(&opened));
    expect_that!(open(2, 1_000), eq(&opened));
    expect_that!(open(3, 4_999), eq(&Action::Refuse));
    expect_that!(open(4, 5_000), eq(&opened));
    owner.established(key(2), at(5_500));
    owner.expire(at(3_600_000));
    expect_that!(owner.flows(), eq(1));
    expect_that!(owner.yielded(key(2)), eq(false));
    expect_that!(owner.owns(key(2)), eq(true));
    owner.closed(key(2));
    expect_that!(owner.flows(), eq(0));
}

#[gtest]
fn only_delivered_openers_and_walked_packets_draw_hints() {
    let view = World::new(3).view();
    let mut owner = owner();
    owner.established(key(1), at(0));
    let mut hinted = |packet: Packet, trail: &[Tag]| {
        let arrival = Arrival {
            packet,
            trail,
            revision: view.revision(),
        };
        owner.arrival(&arrival, &view, at(1), true).hint
    };
    expect_that!(hinted(continuing(key(1), service(0)), &[]), none());
    let walked = hinted(continuing(key(1), service(0)), &[tag(1)]).unwrap();
    expect_that!((walked.owner, walked.established), eq((tag(0), true)));
    let opened = hinted(opener(key(2), service(0)), &[]).unwrap();
    expect_that!((opened.established, opened.flows), eq((false, 2)));
    expect_that!(hinted(continuing(key(3), service(0)), &[]), none());
}
