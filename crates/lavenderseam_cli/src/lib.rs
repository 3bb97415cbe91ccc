//! Command line for operators.
//!
//! Every change is a conditional write: if another writer changed the record first, nothing is
//! written and the operator sees both versions. The outcome of a write whose response is lost is
//! resolved by its write token, see [`deadline_store`]. A change keeps unknown fields and the
//! schema version of the stored record, see [`record`].
//!
//! Commands are generic over [`lavenderseam_platform::Store`] and return a [`Report`], which can be
//! rendered as text or JSON.

mod arguments;
pub mod command;
pub mod deadline_store;
mod error;
pub mod record;
mod report;
mod settings;

pub use arguments::{Arguments, Command, Output, UnknownOutput, move_global_options_first};
pub use error::{Conflict, Error, ExitStatus};
pub use report::Report;
pub use settings::{Error as SettingsError, Settings};
