//! At-most-once execution of requests, and retries.
//!
//! A request that isn't idempotent is bound to one incarnation of one agent before it is sent, by
//! a [`Binding`] that the agent issues. The agent's [`Memory`] admits each idempotency [`Key`] at
//! most once and answers duplicates with the stored response. A [`Refusal`] says whether the
//! request may have run; [`Stage`] determines when [`Ran::No`] is guaranteed. Callers limit their
//! retries with a [`Budget`].

mod binding;
mod budget;
mod key;
mod memory;
mod refusal;

pub use binding::{Binding, ParseBindingError};
pub use budget::{Attempts, Budget, backoff};
pub use key::{Key, ParseKeyError};
pub use memory::{Begin, Inquiry, Memory, Settings as MemorySettings};
pub use refusal::{ParseRanError, Ran, Refusal, Stage};
