//! One self-contained page: the served share over time with the faults marked.

use std::fmt::Write;

use super::{Outcome, table};

/// Size of the plot, in pixels.
const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 300.0;
/// Space around the plot for its labels, in pixels.
const MARGIN: f64 = 50.0;
/// Height of the band of one fault, in pixels.
const BAND: f64 = 16.0;

/// The page of a run.
#[must_use]
pub fn page(outcome: &Outcome) -> String {
    let title = escape(&format!("{}, seed {}", outcome.experiment, outcome.seed));
    let about = escape(&outcome.about);
    let plot = plot(outcome);
    let table = escape(&table(outcome));
    format!(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n<title>{title}</title>\n\
         <style>body{{font-family:sans-serif;margin:2em;max-width:60em}}\
         text{{font-size:12px}}pre{{background:#f4f4f4;padding:1em}}</style>\n\
         <h1>{title}</h1>\n<p>{about}</p>\n{plot}\n<pre>{table}</pre>\n</html>\n"
    )
}

fn plot(outcome: &Outcome) -> String {
    let bands = outcome.faults.len() as f64 * BAND;
    let width = WIDTH + 2.0 * MARGIN;
    let height = HEIGHT + 2.0 * MARGIN + bands;
    let mut svg = format!("<svg viewBox=\"0 0 {width} {height}\" role=\"img\">\n");
    axes(&mut svg, outcome);
    faults(&mut svg, outcome);
    let capacity = &outcome.capacity_share_per_second;
    line(&mut svg, outcome, capacity, "#999999", "4 4");
    line(
        &mut svg,
        outcome,
        &outcome.served_share_per_second,
        "#1f5fa8",
        "none",
    );
    svg.push_str("</svg>");
    svg
}

fn axes(svg: &mut String, outcome: &Outcome) {
    for step in 0..=4 {
        let share = f64::from(step) / 4.0;
        let y = y(share);
        let right = MARGIN + WIDTH;
        let _ = writeln!(
            svg,
            "<line x1=\"{MARGIN}\" y1=\"{y:.1}\" x2=\"{right}\" y2=\"{y:.1}\" stroke=\"#dddddd\"/>\
             <text x=\"8\" y=\"{:.1}\">{share:.2}</text>",
            y + 4.0
        );
    }
    let interval = (outcome.seconds / 10).max(1);
    for second in (0..=outcome.seconds).step_by(usize::try_from(interval).unwrap_or(1)) {
        let x = x(outcome, second as f64);
        let below = MARGIN + HEIGHT + 16.0;
        let _ = writeln!(
            svg,
            "<text x=\"{x:.1}\" y=\"{below:.1}\" text-anchor=\"middle\">{second} s</text>"
        );
    }
    svg.push_str(
        "<text x=\"50\" y=\"20\">share of the requests sent in each second that were answered; \
         dashed: what the targets left could answer</text>\n",
    );
}

fn faults(svg: &mut String, outcome: &Outcome) {
    for (row, fault) in outcome.faults.iter().enumerate() {
        let from = fault.from_ms.unwrap_or(fault.at_ms) as f64 / 1e3;
        let end = outcome.seconds as f64;
        let until = fault.until_ms.map_or(end, |until| until as f64 / 1e3);
        let left = x(outcome, from.min(end));
        let width = (x(outcome, until.min(end)) - left).max(2.0);
        let top = MARGIN + HEIGHT + 28.0 + row as f64 * BAND;
        let name = escape(&fault.fault);
        let _ = writeln!(
            svg,
            "<rect x=\"{left:.1}\" y=\"{MARGIN}\" width=\"{width:.1}\" height=\"{HEIGHT}\" \
             fill=\"#c0392b\" fill-opacity=\"0.08\"/>\
             <rect x=\"{left:.1}\" y=\"{top:.1}\" width=\"{width:.1}\" height=\"3\" \
             fill=\"#c0392b\"/><text x=\"{left:.1}\" y=\"{:.1}\">{name}</text>",
            top + 14.0
        );
    }
}

fn line(svg: &mut String, outcome: &Outcome, shares: &[f64], colour: &str, dashes: &str) {
    let mut points = String::new();
    for (second, share) in shares.iter().enumerate() {
        let x = x(outcome, second as f64 + 0.5);
        let _ = write!(points, "{x:.1},{:.1} ", y(*share));
    }
    let _ = writeln!(
        svg,
        "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" \
         stroke-dasharray=\"{dashes}\"/>"
    );
}

fn x(outcome: &Outcome, second: f64) -> f64 {
    MARGIN + WIDTH * second / (outcome.seconds.max(1) as f64)
}

fn y(share: f64) -> f64 {
    MARGIN + HEIGHT * (1.0 - share.clamp(0.0, 1.0))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
