//! Tests of the two log formats, on the output of the example `log_lines`.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::path::PathBuf;
use std::process::Command;

use googletest::prelude::*;
use lavenderseam_telemetry::log::Level;
use lavenderseam_telemetry::trace::Id;
use serde_json::Value;

const TRACE: &str = "07070707070707070707070707070707";

/// Runs the example with a log format and returns the lines of its standard error.
fn run_example(format: &str) -> Vec<String> {
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
fn json_lines_have_their_fields() {
    let lines: Vec<Value> = run_example("json")
        .iter()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let find = |part: &str, level: &str| {
        let found = lines
            .iter()
            .find(|l| l["part"] == part && l["level"] == level);
        found.unwrap().clone()
    };
    let warning = find("example", "warn");
    expect_that!(
        warning["message"].as_str(),
        some(eq("the store is unreachable"))
    );
    expect_that!(warning["time"].as_u64(), some(gt(0)));
    expect_that!(warning.get("trace"), none());
    let details = find("example", "debug");
    expect_that!(details["message"].as_str(), some(eq("chose a \"target\"")));
    expect_that!(details["trace"].as_str(), some(eq(TRACE)));
    let span = find("balancer", "info");
    expect_that!(span["span"].as_str(), some(eq("forward")));
    expect_that!(span["trace"].as_str(), some(eq(TRACE)));
    expect_that!(span["duration_us"].as_u64(), some(anything()));
    expect_that!(span["start_us"].as_u64(), some(gt(0)));
}

#[gtest]
fn text_lines_have_their_component_and_trace() {
    let lines = run_example("text");
    let find = |text: &str| lines.iter().find(|line| line.contains(text)).unwrap();
    expect_that!(
        find("started"),
        contains_substring("[info] example: started")
    );
    expect_that!(find("chose"), contains_substring(TRACE));
    expect_that!(lines.len(), eq(4));
}

#[gtest]
fn trace_ids_and_levels_are_parsed() {
    let id: Id = TRACE.parse().unwrap();
    expect_that!(id, eq(Id([7; 16])));
    expect_that!(id.to_string(), eq(TRACE));
    expect_that!("0707".parse::<Id>(), err(anything()));
    let sign = format!("+{}", &TRACE[1..]);
    expect_that!(sign.parse::<Id>(), err(anything()));
    expect_that!("warn".parse::<Level>(), ok(eq(&Level::Warn)));
    expect_that!("loud".parse::<Level>(), err(anything()));
}
