//! Records as operators write them: reading, checking and merging with what the store holds.

mod check;
mod error;
mod merge;
mod read;

pub use check::check;
pub use error::Error;
pub use merge::merge;
pub use read::{Draft, Format, parse};
