//! Results of a run: as JSON, as a table and as a page.

mod html;
mod outcome;
mod row;
mod table;

pub use html::page;
pub use outcome::{Checked, Feeds, Latency, Marked, Outcome, TargetWork};
pub use row::{HEAD, row};
pub use table::table;
