//! The operators' command line.
//!
//! Every change is a conditional write: an operator who was overtaken sees both versions and
//! nothing is lost. A write without an answer is settled by its token, see [`edit`]. A change keeps
//! the fields that this program doesn't know and the schema version of the record, see [`record`].
//!
//! The commands are generic over the platform's [`lavenderseam_platform::Store`] and return a
//! [`Report`], which prints as text or JSON.

mod arguments;
pub mod command;
pub mod edit;
mod error;
pub mod record;
mod report;
mod settings;

pub use arguments::{Arguments, Command, Output, UnknownOutput, hoist};
pub use error::{Conflict, Error, Exit};
pub use report::Report;
pub use settings::{Error as SettingsError, Settings};
