//! The metrics page.

use googletest::prelude::*;
use lavenderseam_node::metrics::{ByReason, Metrics, Word};
use lavenderseam_passthrough::message::Reason;

#[gtest]
fn counters_and_histograms_stand_on_the_page() {
    let metrics = Metrics::default();
    metrics.packets.inc_by(3);
    let by = ByReason {
        reason: Word(Reason::NotHeld),
    };
    metrics.returned.get_or_create(&by).inc();
    metrics.answer_seconds.0.observe(0.03);
    let page = metrics.page();
    expect_that!(page, contains_substring("lavenderseam_packets_total 3"));
    expect_that!(
        page,
        contains_substring("returned_total{reason=\"not_held\"} 1")
    );
    expect_that!(
        page,
        contains_substring("answer_seconds_bucket{le=\"0.05\"} 1")
    );
}
