//! Idempotency store: outcomes of non-idempotent requests, shared by all connections.

use std::sync::Arc;

use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_core::request::{
    BeginDecision, Binding, Deduplicator, IdempotencyKey, KnownOutcome,
};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::stored_response::StoredResponse;

/// Outcomes of the non-idempotent requests that this process has run, by idempotency key.
pub(crate) struct IdempotencyStore {
    clock: Clock,
    deduplicator: Mutex<Deduplicator<StoredResponse>>,
    request_ended: Notify,
}

/// A request that is running; dropping it without an outcome records the outcome as unknown.
pub(crate) struct Execution {
    idempotency: Arc<IdempotencyStore>,
    key: IdempotencyKey,
    binding: Binding,
    outcome_recorded: bool,
}

/// How an attempt of a request is handled: like [`BeginDecision`], with a handle that records the
/// outcome.
pub(crate) enum Attempt {
    /// The attempt has to run the request.
    Run(Execution),
    /// The outcome of an earlier attempt is known.
    Known(KnownOutcome<StoredResponse>),
}

impl IdempotencyStore {
    pub(crate) fn new(incarnation: Incarnation, target: Tag, clock: Clock) -> Self {
        Self {
            clock,
            deduplicator: Mutex::new(Deduplicator::new(incarnation, target)),
            request_ended: Notify::new(),
        }
    }

    /// Issues a binding to this process.
    pub(crate) fn issue_binding(&self) -> Binding {
        self.deduplicator.lock().issue_binding(self.clock.now())
    }

    /// Returns `true` if this process issued the binding.
    pub(crate) fn has_issued(&self, binding: &Binding) -> bool {
        self.deduplicator.lock().has_issued(binding)
    }

    /// Starts a request, or waits for the outcome of an attempt that is already running.
    pub(crate) async fn begin(
        self: &Arc<Self>,
        key: &IdempotencyKey,
        binding: &Binding,
    ) -> Attempt {
        loop {
            // Registered before the check, so a request that ends between check and wait isn't
            // missed.
            let mut ended = std::pin::pin!(self.request_ended.notified());
            ended.as_mut().enable();
            let begin = self
                .deduplicator
                .lock()
                .begin(key, binding, self.clock.now());
            match begin {
                BeginDecision::Run => return Attempt::Run(self.execution(key, binding)),
                BeginDecision::Running => ended.await,
                BeginDecision::Replay(response) => {
                    return Attempt::Known(KnownOutcome::Finished(response));
                }
                BeginDecision::Refuse(execution) => return Attempt::Known(execution.into()),
            }
        }
    }

    /// Returns a request's outcome once it has ended. A request that hasn't run yet is fenced: it
    /// can't run later.
    pub(crate) async fn outcome(
        &self,
        key: &IdempotencyKey,
        binding: &Binding,
    ) -> KnownOutcome<StoredResponse> {
        loop {
            let mut ended = std::pin::pin!(self.request_ended.notified());
            ended.as_mut().enable();
            let outcome = self
                .deduplicator
                .lock()
                .outcome_or_fence(key, binding, self.clock.now());
            match outcome {
                KnownOutcome::Running => ended.await,
                outcome => return outcome,
            }
        }
    }

    /// Returns the outcome for a key that was sent without a binding, or `None` if the key is new.
    ///
    /// Waits while the request with this key runs. A binding restricts a request to one run of one
    /// agent; without it, only the key identifies the request.
    pub(crate) async fn recall_unbound(
        &self,
        key: &IdempotencyKey,
    ) -> Option<KnownOutcome<StoredResponse>> {
        loop {
            let mut ended = std::pin::pin!(self.request_ended.notified());
            ended.as_mut().enable();
            let outcome = self
                .deduplicator
                .lock()
                .outcome_by_key(key, self.clock.now());
            match outcome {
                Some(KnownOutcome::Running) => ended.await,
                outcome => return outcome,
            }
        }
    }

    /// Creates the handle of a request that starts to run.
    fn execution(self: &Arc<Self>, key: &IdempotencyKey, binding: &Binding) -> Execution {
        Execution {
            idempotency: Arc::clone(self),
            key: key.clone(),
            binding: *binding,
            outcome_recorded: false,
        }
    }
}

impl Execution {
    /// Removes the request, because the backend server hasn't run any of it.
    pub(crate) fn discard(mut self) {
        self.outcome_recorded = true;
        let mut deduplicator = self.idempotency.deduplicator.lock();
        deduplicator.cancel(&self.key, &self.binding, self.idempotency.clock.now());
        drop(deduplicator);
        self.idempotency.request_ended.notify_waiters();
    }

    /// Records the response and ends the request.
    pub(crate) fn complete(mut self, response: StoredResponse) {
        let size = response.size();
        self.record_outcome(Some((response, size)));
    }

    /// Records a response and its size, or an unknown outcome, and wakes the waiting attempts.
    fn record_outcome(&mut self, response: Option<(StoredResponse, usize)>) {
        self.outcome_recorded = true;
        let mut deduplicator = self.idempotency.deduplicator.lock();
        deduplicator.complete(&self.key, response, self.idempotency.clock.now());
        drop(deduplicator);
        self.idempotency.request_ended.notify_waiters();
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if !self.outcome_recorded {
            self.record_outcome(None);
        }
    }
}
