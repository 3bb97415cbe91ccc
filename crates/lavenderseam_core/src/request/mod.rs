//! Requests: what may run, what is known to have run, and what may be retried.
//!
//! A request that may not be repeated is bound to one run of one agent before it is sent, by a
//! [`Binding`] that the agent issues. That agent's [`Memory`] runs each key at most once and
//! answers repeats. A [`Refusal`] says whether the request may have run; [`Stage`] holds the rule
//! of when `no` is true. Callers retry within a [`Budget`].

mod binding;
mod budget;
mod key;
mod memory;
mod refusal;

pub use binding::{Binding, Malformed as MalformedBinding};
pub use budget::{Attempts, Budget, backoff};
pub use key::{Key, Malformed as MalformedKey};
pub use memory::{Begin, Inquiry, Memory, Settings as MemorySettings};
pub use refusal::{Ran, Refusal, Stage, UnknownRan};
