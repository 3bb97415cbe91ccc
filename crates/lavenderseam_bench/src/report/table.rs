//! The table that a run prints.

use std::fmt::Write;

use super::Outcome;

/// Width of the names.
const WIDTH: usize = 34;

/// The table of a run.
#[must_use]
pub fn table(outcome: &Outcome) -> String {
    let mut text = String::new();
    let title = format!(
        "{} on {} ({}), seed {}, {} s",
        outcome.experiment, outcome.deployment, outcome.system, outcome.seed, outcome.seconds
    );
    line(&mut text, "", &title);
    counts(&mut text, outcome);
    times(&mut text, outcome);
    for (kind, latency) in &outcome.latency {
        let value = format!(
            "p50 {:.1}  p90 {:.1}  p99 {:.1}  p99.9 {:.1}  max {:.1}  (n {})",
            latency.p50, latency.p90, latency.p99, latency.p999, latency.max, latency.count
        );
        line(&mut text, &format!("latency {kind}, ms"), &value);
    }
    for failed in &outcome.stops_failed {
        line(&mut text, "planned stop failed", failed);
    }
    for name in &outcome.crashed {
        line(&mut text, "ended unexpectedly", name);
    }
    for fault in outcome.faults.iter().filter(|fault| fault.failed.is_some()) {
        line(&mut text, "could not be carried out", &fault.fault);
    }
    for checked in &outcome.expectations {
        let verdict = if checked.holds { "holds" } else { "FAILS" };
        let value = format!("{verdict}: {} is {}", checked.expected, checked.value);
        line(&mut text, &format!("expect {}", checked.measure), &value);
    }
    text
}

fn counts(text: &mut String, outcome: &Outcome) {
    let rows = [
        ("flows opened", outcome.flows_opened),
        ("flows failed to open", outcome.flows_failed),
        ("flows broken", outcome.flows_broken),
        ("flows given up", outcome.flows_given_up),
        ("requests sent", outcome.requests_sent),
        ("answered", outcome.answered),
        ("refused, not run", outcome.refused_not_run),
        ("outcome unknown", outcome.outcome_unknown),
        ("answers wrong", outcome.answers_wrong),
        ("wrong service", outcome.wrong_service),
        ("ran twice", outcome.ran_twice),
        ("refused but ran", outcome.refused_but_ran),
        ("feed events", outcome.feeds.events),
        ("feed events missed", outcome.feeds.gaps),
        ("feed events repeated", outcome.feeds.repeats),
        ("feed longest silence, ms", outcome.feeds.longest_silence_ms),
    ];
    for (name, value) in rows {
        line(text, name, &value.to_string());
    }
}

fn times(text: &mut String, outcome: &Outcome) {
    for (service, imbalance) in &outcome.imbalance {
        let untouched = outcome.imbalance_untouched.get(service);
        let untouched = untouched.copied().unwrap_or_default();
        let value = format!("{imbalance:.2}  (targets without a fault: {untouched:.2})");
        line(text, &format!("imbalance {service}"), &value);
    }
    let rows = [
        (
            "packets to domain out, ms",
            outcome.packets_to_domain_out_ms,
        ),
        ("new work to leaving, ms", outcome.new_work_to_leaving_ms),
        ("configuration in force, ms", outcome.config_in_force_ms),
        ("configuration reverts", outcome.config_reverts),
        ("backend servers fallen over", outcome.falls),
    ];
    line(
        text,
        "overload peak",
        &format!("{:.2}", outcome.overload_peak),
    );
    for (name, value) in rows {
        line(text, name, &value.to_string());
    }
    line(
        text,
        "served share",
        &format!("{:.4}", outcome.served_share),
    );
    let shares = outcome.served_share_per_second.iter();
    let worst = shares.copied().fold(1.0, f64::min);
    line(text, "served share, worst second", &format!("{worst:.4}"));
}

fn line(text: &mut String, name: &str, value: &str) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{name:WIDTH$} {value}");
}
