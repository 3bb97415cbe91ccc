//! Replication of records between the processes.
//!
//! A few processes watch the store. The others receive records through a [`Tree`] that every
//! process computes from the member records, so there is no election and no single process is
//! essential. New records are pushed along the tree immediately. After each watch of the store a
//! [`Stamp`] is pushed too: it states how fresh the sender's records are and their digest, and a
//! process whose digest differs pulls the records that it lacks. A process that receives nothing
//! fresh pulls from other processes, and after a longer time watches the store itself.
//!
//! [`Node`] is the state machine of one process. It applies all records, whatever their source and
//! order, by [`Catalog::apply`](crate::catalog::Catalog::apply), so a record is never replaced by
//! an older revision.

mod age;
mod member;
mod message;
mod node;
mod outbox;
mod pause;
mod tree;
mod watcher;

pub use member::{Member, MemberId, Members};
pub use message::{Answer, Bucket, Pull, Push, Restore, Stamp};
pub use node::{Action, Event, Node};
pub use pause::{Confirmation, PAUSE_THRESHOLD};
pub use tree::{FAN_OUT, Tree};
pub use watcher::{REGULAR_WATCHERS, WatcherRanking};
