//! Client library for callers, which sends requests to a service over QUIC and HTTP/3.
//!
//! A [`Caller`] has a pool of connections to one service; each connection is a separate flow. It
//! retries only requests that did not run or that are idempotent, within the retry budget and the
//! deadline. Non-idempotent requests are bound to one agent before they run, and all retries have
//! the same key and binding, so that they run at most once.

mod at_most_once;
mod caller;
mod connection;
mod download;
mod error;
mod feed;
mod header;
mod outcome;
mod pool;
mod response;
mod settings;
mod statistics;
mod tls;

pub use caller::Caller;
pub use download::Download;
pub use error::{Error, Failure};
pub use feed::{Event, Feed};
pub use outcome::Outcome;
pub use response::Response;
pub use settings::Settings;
pub use statistics::{BreakDetection, BrokenFlow, Statistics};
