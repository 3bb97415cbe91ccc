//! Access to the platform's object API, the versioned store that holds all records.
//!
//! The rest of the system uses the trait [`Store`]. [`Client`] implements it over HTTP, and
//! [`fake::FakeStore`] in memory for tests. `docs/design/object-api.md` specifies the protocol.

mod client;
pub mod conditional_write;
mod error;
pub mod fake;
mod store;

pub use client::Client;
pub use error::Error;
pub use store::{Condition, ListResponse, Store};
