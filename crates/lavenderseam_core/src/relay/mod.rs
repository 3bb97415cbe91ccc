//! How records spread among the processes.
//!
//! A few processes watch the store; the others are fed through a [`Tree`] that every process
//! derives from the member records, so nothing is elected and no process is needed in particular.
//! New records are pushed along the tree at once. A [`Stamp`] follows every watch of the store: it
//! tells how fresh its sender's records are and their digest, and a process whose digest differs
//! pulls what it lacks. A process that hears nothing fresh pulls from others, and later watches the
//! store itself.
//!
//! [`Node`] is the state machine of one process. Whatever reaches it, in whatever order, goes
//! through [`Catalog::apply`](crate::catalog::Catalog::apply), so no record ever goes back.

mod age;
mod gap;
mod member;
mod message;
mod node;
mod outbox;
mod tree;
mod watcher;

pub use gap::{Confirmation, PAUSE_LIMIT};
pub use member::{Member, MemberId, Members};
pub use message::{Answer, Bucket, Pull, Push, Stamp};
pub use node::{Action, Event, Node};
pub use tree::{FAN_OUT, Tree};
pub use watcher::{WATCHERS, Watchers};
