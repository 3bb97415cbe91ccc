//! Records that balancers fetch from each other.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_node::balancer::Records;
use lavenderseam_passthrough::desired::{DesiredState, OutOfServiceDomains};
use lavenderseam_passthrough::message::{Announcement, TargetSnapshot};
use serde_json::json;

fn target(index: u8) -> TargetSnapshot {
    TargetSnapshot {
        agent: format!("10.2.0.{index}:7720").parse().unwrap(),
        age_ms: 5,
        announcement: Announcement::default(),
    }
}

fn records() -> Records {
    Records {
        desired_state: Some(DesiredState {
            version: 7,
            ..DesiredState::default()
        }),
        disabled_domains: OutOfServiceDomains {
            revision: Revision(4),
            domains: ["a".to_owned()].into(),
        },
        targets: vec![target(1), target(2)],
        ..Records::default()
    }
}

/// Returns the number of errors and the records that remain if a part is replaced by a value.
fn decode_with(pointer: &str, value: &[u8]) -> (usize, Records) {
    let mut body = serde_json::to_value(records()).unwrap();
    *body.pointer_mut(pointer).unwrap() = json!("odd value");
    let text = body.to_string();
    let (head, tail) = text.split_once("\"odd value\"").unwrap();
    let text = [head.as_bytes(), value, tail.as_bytes()].concat();
    let (records, errors) = Records::decode(&text).unwrap();
    (errors.len(), records)
}

#[gtest]
fn records_are_read_as_they_were_written() {
    let text = serde_json::to_vec(&records()).unwrap();
    let (decoded, errors) = Records::decode(&text).unwrap();
    expect_that!(errors, is_empty());
    let value = |records: &Records| serde_json::to_value(records).unwrap();
    expect_that!(value(&decoded), eq(&value(&records())));
}

/// Guards against a desired state that doesn't reach a balancer, because another part of the records, as
/// of a later version, can't be read.
#[gtest]
fn an_odd_part_costs_only_itself() {
    let deep = [vec![b'['; 1_000], vec![b']'; 1_000]].concat();
    let odd_values = [
        &deep[..],
        b"1e999",
        b"-1",
        b"\"10.2.0.1:77200\"",
        b"\"\xff\"",
        b"[]",
        b"{}",
    ];
    for odd in odd_values {
        let text = String::from_utf8_lossy(&odd[..odd.len().min(20)]).into_owned();
        for pointer in ["/targets/0", "/targets/0/agent", "/targets/0/announcement"] {
            let (errors, rest) = decode_with(pointer, odd);
            expect_that!(errors, eq(1), "{pointer} {text}");
            expect_that!(rest.targets, eq(&vec![target(2)]), "{pointer} {text}");
            expect_that!(rest.desired_state, eq(&records().desired_state));
            expect_that!(rest.disabled_domains, eq(&records().disabled_domains));
        }
        let (errors, rest) = decode_with("/desired", odd);
        expect_that!(errors, eq(1), "desired {text}");
        expect_that!(rest.desired_state, none());
        expect_that!(rest.targets.len(), eq(2));
        let (errors, rest) = decode_with("/outs", odd);
        expect_that!(errors, eq(1), "outs {text}");
        expect_that!(rest.desired_state, eq(&records().desired_state));
        expect_that!(rest.disabled_domains.domains, is_empty());
    }
    expect_that!(Records::decode(b"[]").is_err(), eq(true));
    expect_that!(Records::decode(b"{\"targets\":{}}").is_err(), eq(true));
    expect_that!(decode_with("/desired", b"null").1.desired_state, none());
}
