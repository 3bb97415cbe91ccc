//! Renders a run as a row of a Markdown table that compares the measures of runs.

use super::RunReport;

/// Header of the Markdown table.
pub const HEAD: &str = "\
| experiment | system | flows broken | given up | imbalance | untouched | served share | worst second | \
unknown | never | domain out, ms | leaving, ms | in force, ms | holds |
| --- | --- | ---: | ---: | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |";

/// Returns the row of a run in the Markdown table.
#[must_use]
pub fn markdown_row(report: &RunReport) -> String {
    let holds = if report.expectations_hold() {
        "yes"
    } else {
        "**no**"
    };
    format!(
        "| {} | {} | {} | {} | {} | {} | {:.4} | {:.3} | {} | {} | {} | {} | {} | {holds} |",
        report.experiment,
        report.system,
        report.flows_broken,
        report.flows_given_up,
        join_values(&report.imbalance),
        join_values(&report.imbalance_untouched),
        report.served_share,
        worst_second_ratio(report),
        report.outcome_unknown,
        forbidden_events(report),
        report.packets_to_domain_out_ms,
        report.new_work_to_leaving_ms,
        report.config_in_force_ms,
    )
}

/// Returns the number of events that must never happen under any fault.
fn forbidden_events(report: &RunReport) -> u64 {
    report.answers_wrong
        + report.wrong_service
        + report.ran_twice
        + report.refused_but_ran
        + report.config_reverts
        + report.race_lost
        + report.feeds.gaps
        + report.feeds.repeats
}

/// Returns the lowest ratio, over all seconds, of the share of requests that were answered to the
/// share that the available targets had the capacity to answer.
fn worst_second_ratio(report: &RunReport) -> f64 {
    let served = report.served_share_per_second.iter();
    let capacity = report.capacity_share_per_second.iter();
    served
        .zip(capacity)
        .map(|(served, capacity)| served / capacity.max(f64::MIN_POSITIVE))
        .fold(f64::INFINITY, f64::min)
        .min(1.0)
}

/// Formats the values of all services, separated by commas.
fn join_values(by_service: &std::collections::BTreeMap<String, f64>) -> String {
    let values: Vec<String> = by_service
        .values()
        .map(|value| format!("{value:.2}"))
        .collect();
    values.join(", ")
}
