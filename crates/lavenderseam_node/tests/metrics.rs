//! The text that the metrics endpoint serves.

use googletest::prelude::*;
use lavenderseam_node::metrics::{DisplayLabel, Metrics, ReasonLabel, RecordLabel};
use lavenderseam_passthrough::message::Reason;

#[gtest]
fn encoded_text_contains_counters_and_histograms() {
    let metrics = Metrics::default();
    metrics.packets.inc_by(3);
    let label = ReasonLabel {
        reason: DisplayLabel(Reason::NotHeld),
    };
    metrics.returned.get_or_create(&label).inc();
    metrics.answer_seconds.0.observe(0.03);
    let text = metrics.encode_text();
    expect_that!(text, contains_substring("lavenderseam_packets_total 3"));
    expect_that!(
        text,
        contains_substring("returned_total{reason=\"not_held\"} 1")
    );
    expect_that!(
        text,
        contains_substring("answer_seconds_bucket{le=\"0.05\"} 1")
    );
}

#[gtest]
fn encoded_text_names_the_kind_of_records() {
    let metrics = Metrics::default();
    let label = RecordLabel { record: "desired" };
    metrics.records_ignored.get_or_create(&label).inc();
    metrics.store_age_seconds.get_or_create(&label).set(1.5);
    let text = metrics.encode_text();
    expect_that!(
        text,
        contains_substring("records_ignored_total{record=\"desired\"} 1")
    );
    expect_that!(
        text,
        contains_substring("store_age_seconds{record=\"desired\"} 1.5")
    );
}
