//! Callers: open-loop load of four kinds, and what the callers see.
//!
//! Requests arrive at random times that don't depend on how fast earlier ones are answered. Every
//! answer is checked: its service, its length and content, and that it answers its own request.

mod callers;
mod check;
mod client;
mod edit;
mod feed;
mod flows;
mod generator;
mod kind;
mod library;
mod tally;

pub use callers::Callers;
pub use check::Fault;
pub use client::{Answer, Client, Event, Failure, Feed, FlowCounts, Session};
pub use edit::{Edit, EditOutcome};
pub use feed::FeedCounts;
pub use flows::{Broken, Flows};
pub use generator::{Generator, Plan};
pub use kind::Kind;
pub use library::Library;
pub use tally::{Counts, Second, Tally};
