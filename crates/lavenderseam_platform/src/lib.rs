//! The platform's object API, as the system uses it.
//!
//! [`Store`] is what the rest of the system programs against; the client of the HTTP API and the
//! fakes of the tests implement it. The protocol is written down in `docs/design/object-api.md`.

mod client;
mod error;
pub mod fake;
mod store;
pub mod write;

pub use client::Client;
pub use error::Error;
pub use store::{Condition, List, Store};
