//! Records as operators write them: parsing, validation and merging with the stored version.

mod error;
mod merge;
mod read;
mod validate;

pub use error::Error;
pub use merge::merge;
pub use read::{DesiredRecord, Format, parse};
pub use validate::validate;
