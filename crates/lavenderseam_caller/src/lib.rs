//! The caller client: requests to a service over QUIC and HTTP/3.
//!
//! A [`Caller`] keeps a few connections to one service, each a flow of its own. It retries only
//! requests that surely did not run or that may be repeated, within a budget and the deadline.
//! Requests that may not be repeated are bound to one agent before they are sent, and every
//! repeat carries the same key and binding, so they run at most once.

mod answer;
mod caller;
mod download;
mod edit;
mod error;
mod feed;
mod header;
mod link;
mod outcome;
mod pool;
mod settings;
mod statistics;
mod tls;

pub use answer::Answer;
pub use caller::Caller;
pub use download::Download;
pub use error::{Error, Failure};
pub use feed::{Event, Feed};
pub use outcome::Outcome;
pub use settings::Settings;
pub use statistics::{Broken, Found, Statistics};
