//! At-most-once execution of requests, and retries.
//!
//! A request that isn't idempotent is bound to one incarnation of one agent before it is sent, by
//! a [`Binding`] that the agent issues. The agent's [`Deduplicator`] admits each [`IdempotencyKey`]
//! at most once and answers duplicates with the stored response. A [`Refusal`] states whether the
//! request may have run; [`Stage`] determines when [`ExecutionStatus::NotRun`] is guaranteed.
//! Callers limit their retries with a [`RetryBudget`].

mod binding;
mod budget;
mod deduplicator;
mod key;
mod refusal;

pub use binding::{Binding, ParseBindingError};
pub use budget::{AttemptTimes, RetryBudget, backoff_delay};
pub use deduplicator::{
    BeginDecision, Deduplicator, KnownOutcome, Settings as DeduplicatorSettings,
};
pub use key::{IdempotencyKey, ParseKeyError};
pub use refusal::{ExecutionStatus, ParseExecutionStatusError, Refusal, Stage};
