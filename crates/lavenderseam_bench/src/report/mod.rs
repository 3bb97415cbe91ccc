//! Results of a run, as JSON, as a text table, as a row in Markdown and as an HTML page.

mod html;
mod markdown_row;
mod run_report;
mod table;

pub use html::render_html;
pub use markdown_row::{HEAD, markdown_row};
pub use run_report::{
    ExpectationResult, FaultReport, FeedReport, LatencyPercentiles, RunReport, TargetWork,
};
pub use table::render_table;
