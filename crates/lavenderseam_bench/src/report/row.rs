//! One run as a row of the table of measures, in Markdown.

use super::Outcome;

/// Head of the table of measures.
pub const HEAD: &str = "\
| experiment | system | flows broken | given up | imbalance | untouched | served share | worst second | \
unknown | never | domain out, ms | leaving, ms | in force, ms | holds |
| --- | --- | ---: | ---: | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |";

/// A run as a row of the table of measures.
#[must_use]
pub fn row(outcome: &Outcome) -> String {
    let holds = if outcome.holds() { "yes" } else { "**no**" };
    format!(
        "| {} | {} | {} | {} | {} | {} | {:.4} | {:.3} | {} | {} | {} | {} | {} | {holds} |",
        outcome.experiment,
        outcome.system,
        outcome.flows_broken,
        outcome.flows_given_up,
        joined(&outcome.imbalance),
        joined(&outcome.imbalance_untouched),
        outcome.served_share,
        worst_second(outcome),
        outcome.outcome_unknown,
        never(outcome),
        outcome.packets_to_domain_out_ms,
        outcome.new_work_to_leaving_ms,
        outcome.config_in_force_ms,
    )
}

/// Sum of what must never happen.
fn never(outcome: &Outcome) -> u64 {
    outcome.answers_wrong
        + outcome.wrong_service
        + outcome.ran_twice
        + outcome.refused_but_ran
        + outcome.config_reverts
        + outcome.race_lost
        + outcome.feeds.gaps
        + outcome.feeds.repeats
}

/// Served share of the worst second, of what the targets left could have answered.
fn worst_second(outcome: &Outcome) -> f64 {
    let seconds = outcome.served_share_per_second.iter();
    let capacity = outcome.capacity_share_per_second.iter();
    seconds
        .zip(capacity)
        .map(|(served, capacity)| served / capacity.max(f64::MIN_POSITIVE))
        .fold(f64::INFINITY, f64::min)
        .min(1.0)
}

fn joined(by_service: &std::collections::BTreeMap<String, f64>) -> String {
    let values: Vec<String> = by_service
        .values()
        .map(|value| format!("{value:.2}"))
        .collect();
    values.join(", ")
}
