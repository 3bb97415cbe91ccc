//! Results of a run: as JSON, as a table and as a page.

mod html;
mod outcome;
mod table;

pub use html::page;
pub use outcome::{Checked, Feeds, Latency, Marked, Outcome, TargetWork};
pub use table::table;
