//! Renders a run as a text table.

use std::fmt::Write;

use super::RunReport;

/// Width of the column of names, in characters.
const NAME_WIDTH: usize = 34;

/// Returns the text table of a run.
#[must_use]
pub fn render_table(report: &RunReport) -> String {
    let mut text = String::new();
    let title = format!(
        "{} on {} ({}), seed {}, {} s",
        report.experiment, report.deployment, report.system, report.seed, report.seconds
    );
    write_line(&mut text, "", &title);
    write_counts(&mut text, report);
    write_measures(&mut text, report);
    for (kind, latency) in &report.latency {
        let value = format!(
            "p50 {:.1}  p90 {:.1}  p99 {:.1}  p99.9 {:.1}  max {:.1}  (n {})",
            latency.p50, latency.p90, latency.p99, latency.p999, latency.max, latency.count
        );
        write_line(&mut text, &format!("latency {kind}, ms"), &value);
    }
    for failure in &report.stops_failed {
        write_line(&mut text, "planned stop failed", failure);
    }
    for name in &report.crashed {
        write_line(&mut text, "ended unexpectedly", name);
    }
    for fault in report.faults.iter().filter(|fault| fault.failed.is_some()) {
        write_line(&mut text, "could not be carried out", &fault.fault);
    }
    for expectation in &report.expectations {
        let verdict = if expectation.holds { "holds" } else { "FAILS" };
        let value = format!(
            "{verdict}: {} is {}",
            expectation.expected, expectation.value
        );
        write_line(
            &mut text,
            &format!("expect {}", expectation.measure),
            &value,
        );
    }
    text
}

/// Appends the counts of flows, requests and feed events to the table.
fn write_counts(text: &mut String, report: &RunReport) {
    let rows = [
        ("flows opened", report.flows_opened),
        ("flows failed to open", report.flows_failed),
        ("flows broken", report.flows_broken),
        ("flows given up", report.flows_given_up),
        ("requests sent", report.requests_sent),
        ("answered", report.answered),
        ("refused, not run", report.refused_not_run),
        ("outcome unknown", report.outcome_unknown),
        ("answers wrong", report.answers_wrong),
        ("wrong service", report.wrong_service),
        ("ran twice", report.ran_twice),
        ("refused but ran", report.refused_but_ran),
        ("feed events", report.feeds.events),
        ("feed events missed", report.feeds.gaps),
        ("feed events repeated", report.feeds.repeats),
        ("feed longest silence, ms", report.feeds.longest_silence_ms),
    ];
    for (name, value) in rows {
        write_line(text, name, &value.to_string());
    }
}

/// Appends the imbalance of each service and the measures of the whole run to the table.
fn write_measures(text: &mut String, report: &RunReport) {
    for (service, imbalance) in &report.imbalance {
        let untouched = report.imbalance_untouched.get(service);
        let untouched = untouched.copied().unwrap_or_default();
        let value = format!("{imbalance:.2}  (targets without a fault: {untouched:.2})");
        write_line(text, &format!("imbalance {service}"), &value);
    }
    let rows = [
        ("packets to domain out, ms", report.packets_to_domain_out_ms),
        ("new work to leaving, ms", report.new_work_to_leaving_ms),
        ("configuration in force, ms", report.config_in_force_ms),
        ("configuration reverts", report.config_reverts),
        ("backend servers fallen over", report.falls),
    ];
    write_line(
        text,
        "overload peak",
        &format!("{:.2}", report.overload_peak),
    );
    for (name, value) in rows {
        write_line(text, name, &value.to_string());
    }
    write_line(text, "served share", &format!("{:.4}", report.served_share));
    let shares = report.served_share_per_second.iter();
    let worst = shares.copied().fold(1.0, f64::min);
    write_line(text, "served share, worst second", &format!("{worst:.4}"));
}

/// Appends one line with a name and its value to the table.
fn write_line(text: &mut String, name: &str, value: &str) {
    // Writing to a `String` can't fail.
    let _ = writeln!(text, "{name:NAME_WIDTH$} {value}");
}
