//! Unit tests of the flow ownership decisions of an agent.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod world;

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::owner::{Action, ForwardedPacket, Settings};
use lavenderseam_core::flow::{Owner, Packet, Reason, Token};
use lavenderseam_core::id::Tag;
use lavenderseam_core::view::View;
use world::{
    Deployment, continuing_packet, domain, flow_key, group, instant_ms, opener_packet,
    service_address, tag,
};

fn owner() -> Owner {
    Owner::new(tag(0), group(0), domain(0))
}

fn handle_packet(
    owner: &mut Owner,
    packet: Packet,
    visited: &[Tag],
    view: &View,
    admits: bool,
) -> Action {
    let forwarded = ForwardedPacket {
        packet,
        visited,
        revision: view.revision(),
    };
    owner
        .handle_packet(&forwarded, view, instant_ms(1), admits)
        .action
}

fn next_target(action: &Action) -> Tag {
    let Action::Forward { next, .. } = action else {
        panic!("packet was not forwarded: {action:?}");
    };
    *next
}

#[gtest]
fn last_target_refuses_a_flow_that_no_target_admits() {
    let view = Deployment::new(3).view();
    let packet = opener_packet(flow_key(1), service_address(0));
    let first = next_target(&handle_packet(&mut owner(), packet, &[], &view, false));
    let other = if first == tag(1) { tag(2) } else { tag(1) };
    expect_that!(
        next_target(&handle_packet(&mut owner(), packet, &[first], &view, false)),
        eq(other)
    );
    expect_that!(
        handle_packet(&mut owner(), packet, &[first, other], &view, false),
        eq(&Action::Refuse)
    );
}

#[gtest]
fn draining_agent_forwards_new_flows_and_keeps_its_own() {
    let mut world = Deployment::new(3);
    world.set_draining(0, true);
    let view = world.view();
    let mut owner = owner();
    owner.mark_established(flow_key(1), instant_ms(0));
    for packet in [
        continuing_packet(flow_key(1), service_address(0)),
        opener_packet(flow_key(1), service_address(0)),
    ] {
        let action = handle_packet(&mut owner, packet, &[], &view, true);
        expect_that!(action, eq(&Action::Deliver { opened: false }));
    }
    let passed = next_target(&handle_packet(
        &mut owner,
        opener_packet(flow_key(2), service_address(0)),
        &[],
        &view,
        true,
    ));
    expect_that!(passed, not(eq(tag(0))));
}

#[gtest]
fn down_target_gets_new_flows_only_if_none_is_serving() {
    let mut world = Deployment::new(2);
    world.set_down(1, true);
    let packet = opener_packet(flow_key(1), service_address(0));
    let action = handle_packet(&mut owner(), packet, &[], &world.view(), false);
    expect_that!(action, eq(&Action::Refuse));
    world.set_down(0, true);
    let action = handle_packet(&mut owner(), packet, &[], &world.view(), false);
    expect_that!(next_target(&action), eq(tag(1)));
}

#[gtest]
fn packets_for_other_services_or_in_a_domain_out_of_service_are_dropped() {
    let mut world = Deployment::new(3);
    let view = world.view();
    let mut owner = owner();
    owner.mark_established(flow_key(1), instant_ms(0));
    let crossed = handle_packet(
        &mut owner,
        continuing_packet(flow_key(1), service_address(1)),
        &[],
        &view,
        true,
    );
    expect_that!(crossed, eq(&Action::Drop(Reason::OtherService)));
    let unknown = handle_packet(
        &mut owner,
        continuing_packet(flow_key(1), service_address(9)),
        &[],
        &view,
        true,
    );
    expect_that!(unknown, eq(&Action::Drop(Reason::UnknownService)));
    world.set_domain_out(0, true);
    let packet = continuing_packet(flow_key(1), service_address(0));
    let out = handle_packet(&mut owner, packet, &[], &world.view(), true);
    expect_that!(out, eq(&Action::Drop(Reason::DomainOut)));
}

#[gtest]
fn token_routes_to_its_owner_and_never_to_another_service() {
    let view = Deployment::new(3).view();
    let packet_with_token = |owner: usize| Packet {
        token: Some(Token {
            owner: tag(owner),
            nonce: 1,
        }),
        ..continuing_packet(flow_key(1), service_address(0))
    };
    let own = handle_packet(&mut owner(), packet_with_token(0), &[], &view, true);
    expect_that!(own, eq(&Action::Deliver { opened: false }));
    expect_that!(
        next_target(&handle_packet(
            &mut owner(),
            packet_with_token(2),
            &[],
            &view,
            true
        )),
        eq(tag(2))
    );
    let foreign = handle_packet(&mut owner(), packet_with_token(4), &[], &view, true);
    expect_that!(foreign, eq(&Action::Drop(Reason::ForeignToken)));
    let unknown = handle_packet(&mut owner(), packet_with_token(99), &[], &view, true);
    expect_that!(unknown, eq(&Action::Drop(Reason::UnknownOwner)));
}

#[gtest]
fn flow_without_owner_is_reset_after_the_delay() {
    let view = Deployment::new(2).view();
    let mut owner = owner();
    let mut handle_packet = |milliseconds: u64, newer: u64| {
        let forwarded = ForwardedPacket {
            packet: continuing_packet(flow_key(1), service_address(0)),
            visited: &[tag(1)],
            revision: Revision(view.revision().0 + newer),
        };
        owner
            .handle_packet(&forwarded, &view, instant_ms(milliseconds), true)
            .action
    };
    expect_that!(handle_packet(0, 0), eq(&Action::Drop(Reason::Unowned)));
    expect_that!(handle_packet(2_999, 0), eq(&Action::Drop(Reason::Unowned)));
    expect_that!(
        handle_packet(3_000, 1),
        eq(&Action::Drop(Reason::StaleView))
    );
    expect_that!(handle_packet(3_000, 0), eq(&Action::Reset));
    expect_that!(handle_packet(13_000, 0), eq(&Action::Drop(Reason::Unowned)));
    expect_that!(handle_packet(16_000, 0), eq(&Action::Reset));
}

#[gtest]
fn flow_table_is_bounded_and_embryonic_flows_expire() {
    let view = Deployment::new(1).view();
    let settings = Settings {
        max_flows: 2,
        embryonic_timeout: Duration::from_secs(5),
        idle_timeout: None,
    };
    let mut owner = Owner::with_settings(tag(0), group(0), domain(0), settings);
    let mut open = |index: u32, milliseconds: u64| {
        let forwarded = ForwardedPacket {
            packet: opener_packet(flow_key(index), service_address(0)),
            visited: &[],
            revision: view.revision(),
        };
        let now = instant_ms(milliseconds);
        owner.handle_packet(&forwarded, &view, now, true).action
    };
    let opened = Action::Deliver { opened: true };
    expect_that!(open(1, 0), eq(&opened));
    expect_that!(open(2, 1_000), eq(&opened));
    expect_that!(open(3, 4_999), eq(&Action::Refuse));
    expect_that!(open(4, 5_000), eq(&opened));
    owner.mark_established(flow_key(2), instant_ms(5_500));
    owner.expire(instant_ms(3_600_000));
    expect_that!(owner.flow_count(), eq(1));
    expect_that!(owner.release_embryonic(flow_key(2)), eq(false));
    expect_that!(owner.owns(flow_key(2)), eq(true));
    owner.remove(flow_key(2));
    expect_that!(owner.flow_count(), eq(0));
}

#[gtest]
fn hints_are_sent_only_for_openers_and_forwarded_packets() {
    let view = Deployment::new(3).view();
    let mut owner = owner();
    owner.mark_established(flow_key(1), instant_ms(0));
    let mut hinted = |packet: Packet, visited: &[Tag]| {
        let forwarded = ForwardedPacket {
            packet,
            visited,
            revision: view.revision(),
        };
        owner
            .handle_packet(&forwarded, &view, instant_ms(1), true)
            .hint
    };
    expect_that!(
        hinted(continuing_packet(flow_key(1), service_address(0)), &[]),
        none()
    );
    let walked = hinted(
        continuing_packet(flow_key(1), service_address(0)),
        &[tag(1)],
    )
    .unwrap();
    expect_that!((walked.owner, walked.established), eq((tag(0), true)));
    let opened = hinted(opener_packet(flow_key(2), service_address(0)), &[]).unwrap();
    expect_that!((opened.established, opened.flows), eq((false, 2)));
    expect_that!(
        hinted(continuing_packet(flow_key(3), service_address(0)), &[]),
        none()
    );
}
