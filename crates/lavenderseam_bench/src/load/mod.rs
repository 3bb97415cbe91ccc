//! Open-loop load generator: lookups, edits, downloads and live feeds, and what the callers
//! observe.
//!
//! Requests are sent at random times that don't depend on how fast earlier ones are answered. Every
//! response is checked: it must come from the right service, have the right length and content, and
//! belong to its request.

mod arrivals;
mod check;
mod client;
mod edit_result;
mod feed;
mod flow_tracker;
mod library_client;
mod load_runner;
mod request_kind;
mod statistics;

pub use arrivals::{ArrivalGenerator, PlannedRequest};
pub use check::ResponseError;
pub use client::{Client, Feed, FeedEvent, FlowCounts, RequestError, Response, Session};
pub use edit_result::{EditOutcome, EditResult};
pub use feed::FeedCounts;
pub use flow_tracker::{BrokenFlow, FlowTracker};
pub use library_client::LibraryClient;
pub use load_runner::LoadRunner;
pub use request_kind::RequestKind;
pub use statistics::{LoadStatistics, RequestCounts, SecondCounts};
