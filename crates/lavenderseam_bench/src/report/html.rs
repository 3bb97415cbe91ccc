//! Renders a run as one self-contained HTML page: the share of answered requests over time, with
//! the faults marked, and the table of the run.

use std::fmt::Write;

use super::{RunReport, render_table};

/// Width of the plot area, in pixels.
const PLOT_WIDTH: f64 = 900.0;
/// Height of the plot area, in pixels.
const PLOT_HEIGHT: f64 = 300.0;
/// Margin around the plot area for labels, in pixels.
const PLOT_MARGIN: f64 = 50.0;
/// Height of the row below the plot for each fault, in pixels.
const FAULT_ROW_HEIGHT: f64 = 16.0;

/// Returns the HTML page of a run.
#[must_use]
pub fn render_html(report: &RunReport) -> String {
    let title = escape_html(&format!("{}, seed {}", report.experiment, report.seed));
    let about = escape_html(&report.about);
    let plot = render_plot(report);
    let table = escape_html(&render_table(report));
    format!(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n<title>{title}</title>\n\
         <style>body{{font-family:sans-serif;margin:2em;max-width:60em}}\
         text{{font-size:12px}}pre{{background:#f4f4f4;padding:1em}}</style>\n\
         <h1>{title}</h1>\n<p>{about}</p>\n{plot}\n<pre>{table}</pre>\n</html>\n"
    )
}

/// Returns the plot of the shares over time, as SVG.
fn render_plot(report: &RunReport) -> String {
    let faults_height = report.faults.len() as f64 * FAULT_ROW_HEIGHT;
    let width = PLOT_WIDTH + 2.0 * PLOT_MARGIN;
    let height = PLOT_HEIGHT + 2.0 * PLOT_MARGIN + faults_height;
    let mut svg = format!("<svg viewBox=\"0 0 {width} {height}\" role=\"img\">\n");
    write_axes(&mut svg, report);
    write_faults(&mut svg, report);
    let capacity = &report.capacity_share_per_second;
    write_share_line(&mut svg, report, capacity, "#999999", "4 4");
    write_share_line(
        &mut svg,
        report,
        &report.served_share_per_second,
        "#1f5fa8",
        "none",
    );
    svg.push_str("</svg>");
    svg
}

/// Appends the grid lines and the labels of both axes to the plot.
fn write_axes(svg: &mut String, report: &RunReport) {
    for step in 0..=4 {
        let share = f64::from(step) / 4.0;
        let y = y_position(share);
        let right = PLOT_MARGIN + PLOT_WIDTH;
        let _ = writeln!(
            svg,
            "<line x1=\"{PLOT_MARGIN}\" y1=\"{y:.1}\" x2=\"{right}\" y2=\"{y:.1}\" \
             stroke=\"#dddddd\"/>\
             <text x=\"8\" y=\"{:.1}\">{share:.2}</text>",
            y + 4.0
        );
    }
    let interval = (report.seconds / 10).max(1);
    for second in (0..=report.seconds).step_by(usize::try_from(interval).unwrap_or(1)) {
        let x = x_position(report, second as f64);
        let below = PLOT_MARGIN + PLOT_HEIGHT + 16.0;
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

/// Marks the time span of each fault in the plot, with its name in a row below the plot.
fn write_faults(svg: &mut String, report: &RunReport) {
    for (row, fault) in report.faults.iter().enumerate() {
        let from = fault.from_ms.unwrap_or(fault.at_ms) as f64 / 1e3;
        let end = report.seconds as f64;
        let until = fault.until_ms.map_or(end, |until| until as f64 / 1e3);
        let left = x_position(report, from.min(end));
        let width = (x_position(report, until.min(end)) - left).max(2.0);
        let top = PLOT_MARGIN + PLOT_HEIGHT + 28.0 + row as f64 * FAULT_ROW_HEIGHT;
        let name = escape_html(&fault.fault);
        let _ = writeln!(
            svg,
            "<rect x=\"{left:.1}\" y=\"{PLOT_MARGIN}\" width=\"{width:.1}\" \
             height=\"{PLOT_HEIGHT}\" fill=\"#c0392b\" fill-opacity=\"0.08\"/>\
             <rect x=\"{left:.1}\" y=\"{top:.1}\" width=\"{width:.1}\" height=\"3\" \
             fill=\"#c0392b\"/><text x=\"{left:.1}\" y=\"{:.1}\">{name}</text>",
            top + 14.0
        );
    }
}

/// Appends a line through the values of a share in each second to the plot.
fn write_share_line(
    svg: &mut String,
    report: &RunReport,
    shares: &[f64],
    color: &str,
    dash_pattern: &str,
) {
    let mut points = String::new();
    for (second, share) in shares.iter().enumerate() {
        let x = x_position(report, second as f64 + 0.5);
        let _ = write!(points, "{x:.1},{:.1} ", y_position(*share));
    }
    let _ = writeln!(
        svg,
        "<polyline points=\"{points}\" fill=\"none\" stroke=\"{color}\" stroke-width=\"2\" \
         stroke-dasharray=\"{dash_pattern}\"/>"
    );
}

/// Returns the horizontal position of a time in the run, in pixels.
fn x_position(report: &RunReport, second: f64) -> f64 {
    PLOT_MARGIN + PLOT_WIDTH * second / (report.seconds.max(1) as f64)
}

/// Returns the vertical position of a share, in pixels.
fn y_position(share: f64) -> f64 {
    PLOT_MARGIN + PLOT_HEIGHT * (1.0 - share.clamp(0.0, 1.0))
}

/// Replaces the characters that have a special meaning in HTML text.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
