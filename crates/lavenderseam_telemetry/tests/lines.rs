//! The two forms of a log line, as the example program writes them.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::path::PathBuf;
use std::process::Command;

use googletest::prelude::*;
use lavenderseam_telemetry::log::Level;
use lavenderseam_telemetry::trace::Id;
use serde_json::Value;

const TRACE: &str = "07070707070707070707070707070707";

/// What the example writes to standard error.
fn lines(format: &str) -> Vec<String> {
    let tests = std::env::current_exe().unwrap();
    let directory: PathBuf = tests.ancestors().nth(2).unwrap().join("examples");
    let output = Command::new(directory.join("log_lines"))
        .arg(format)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    text.lines().map(str::to_owned).collect()
}

#[gtest]
fn a_json_line_has_its_fields() {
    let lines: Vec<Value> = lines("json")
        .iter()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let of = |part: &str, level: &str| {
        let found = lines
            .iter()
            .find(|l| l["part"] == part && l["level"] == level);
        found.unwrap().clone()
    };
    let warning = of("example", "warn");
    expect_that!(warning["message"].as_str(), some(eq("store is away")));
    expect_that!(warning["time"].as_u64(), some(gt(0)));
    expect_that!(warning.get("trace"), none());
    let decision = of("example", "debug");
    expect_that!(decision["message"].as_str(), some(eq("chose a \"target\"")));
    expect_that!(decision["trace"].as_str(), some(eq(TRACE)));
    let span = of("balancer", "info");
    expect_that!(span["span"].as_str(), some(eq("forward")));
    expect_that!(span["trace"].as_str(), some(eq(TRACE)));
    expect_that!(span["duration_us"].as_u64(), some(anything()));
    expect_that!(span["start_us"].as_u64(), some(gt(0)));
}

#[gtest]
fn a_text_line_has_its_prefix_and_trace() {
    let lines = lines("text");
    let of = |text: &str| lines.iter().find(|line| line.contains(text)).unwrap();
    expect_that!(of("started"), contains_substring("[info] example: started"));
    expect_that!(of("chose"), contains_substring(TRACE));
    expect_that!(lines.len(), eq(4));
}

#[gtest]
fn a_trace_id_and_a_level_survive_the_round_trip() {
    let id: Id = TRACE.parse().unwrap();
    expect_that!(id, eq(Id([7; 16])));
    expect_that!(id.to_string(), eq(TRACE));
    expect_that!("0707".parse::<Id>(), err(anything()));
    let sign = format!("+{}", &TRACE[1..]);
    expect_that!(sign.parse::<Id>(), err(anything()));
    expect_that!("warn".parse::<Level>(), ok(eq(&Level::Warn)));
    expect_that!("loud".parse::<Level>(), err(anything()));
}
