//! Tests of the `trace` command on the logs of several processes.

use googletest::prelude::*;
use lavenderseam_cli::command::trace::{Error, Trace, trace};

const LOGS: &str = r#"
  -9.98 edge-1 {"time":1000,"process":"edge-1","event":"start","role":"balancer","domain":"a","address":"10.1.0.1:7000"}
  -9.97 side-1 {"time":1001,"process":"side-1","event":"start","role":"agent","domain":"a","address":"10.1.0.2:7000"}
not a log line
{"time":9000,"process":"side-1","event":"backend","id":"b-1","standing":"draining","sequence":7,"reason":"changed"}
{"time":9100,"process":"side-1","event":"return","flow":{"caller":"100.64.0.1:1024","service":"198.18.0.1:443"},"opener":true,"balancer":"10.1.0.1:7000","reason":"draining"}
{"time":9101,"process":"edge-1","event":"returned","flow":{"caller":"100.64.0.1:1024","service":"198.18.0.1:443"},"opener":true,"agent":"10.1.0.2:7000","reason":"draining"}
{"time":9103,"process":"edge-1","event":"returned","flow":{"caller":"100.64.0.1:1024","service":"198.18.0.1:443"},"opener":true,"agent":"10.1.0.3:7000","reason":"busy"}
{"time":9104,"process":"edge-1","event":"packet","flow":{"caller":"100.64.0.1:1024","service":"198.18.0.1:443"},"opener":true,"measure":"reset","cause":"all_refused"}
{"time":9105,"process":"edge-1","event":"packet","flow":{"caller":"100.64.0.9:1024","service":"198.18.0.1:443"},"opener":true,"measure":"reset","cause":"all_refused"}
{"time":9900,"process":"edge-1","event":"suppressed","of":"returned","reason":"busy","lines":12}
{"time":60000,"process":"side-1","event":"backend","id":"b-1","standing":"ended","sequence":null,"reason":"departed"}
"#;

fn run_trace(id: &str) -> std::result::Result<lavenderseam_cli::Report, Error> {
    let command = Trace { id: id.to_owned() };
    trace(&command, LOGS.as_bytes())
}

#[gtest]
fn lines_of_all_processes_are_merged_in_order() {
    let report = run_trace("100.64.0.1:1024>198.18.0.1:443").unwrap();
    let events: Vec<String> = report.json["lines"]
        .as_array()
        .unwrap()
        .iter()
        .map(|line| format!("{} {}", line["process"], line["event"]).replace('"', ""))
        .collect();
    expect_that!(
        events,
        elements_are![
            eq("side-1 backend"),
            eq("side-1 return"),
            eq("edge-1 returned"),
            eq("edge-1 returned"),
            eq("edge-1 packet"),
        ]
    );
    expect_that!(report.text, contains_substring("all_refused"));
}

#[gtest]
fn missing_logs_and_suppressed_lines_are_reported() {
    let report = run_trace("100.64.0.1:1024").unwrap();
    expect_that!(
        report.text,
        contains_substring("missing: no log of the process at 10.1.0.3:7000")
    );
    expect_that!(
        report.text,
        contains_substring("missing: 12 lines returned busy of edge-1")
    );
    expect_that!(report.json["unreadable"].as_u64(), some(ge(1)));
}

#[gtest]
fn a_flow_without_lines_is_reported() {
    let report = run_trace("100.64.7.7:1").unwrap();
    expect_that!(
        report.text,
        contains_substring("missing: no line names the flow")
    );
}

#[gtest]
fn an_id_that_names_no_flow_is_rejected() {
    let error = run_trace("request-17").unwrap_err();
    expect_that!(error.to_string(), contains_substring("request-17"));
}
