//! Deduplication of requests by idempotency key, within one incarnation of an agent.
//!
//! A key may be evicted only once no valid binding is left that could make its request run again: a
//! binding expires [`Settings::binding_lifetime`] after it was issued, and a key is kept at least
//! that long after its state last changed. A request whose key isn't stored is therefore new if its
//! binding is still valid; otherwise it is answered with [`ExecutionStatus::Unknown`].
//!
//! [`ExecutionStatus::NotRun`] is final: the key is fenced, that is, the request is refused under
//! the binding that it came with and under all earlier ones. When the store of keys is full, all
//! bindings issued so far are fenced at once for the keys that aren't stored.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::{Binding, ExecutionStatus, IdempotencyKey};
use crate::id::{Incarnation, Tag};
use crate::time::Instant;

/// Limits of a [`Deduplicator`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a binding is valid after it was issued.
    pub binding_lifetime: Duration,
    /// Maximum number of stored keys.
    pub max_keys: usize,
    /// Maximum total size of the stored responses.
    pub max_response_bytes: usize,
}

/// Decision on a request that an agent received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginDecision<A> {
    /// The request is to be run now, and then completed by [`Deduplicator::complete`] or
    /// [`Deduplicator::cancel`].
    Run,
    /// An earlier copy of the request is running; repeat the call once it has completed.
    Running,
    /// The request has run; holds the stored response.
    Replay(A),
    /// The request is refused without being run now.
    Refuse(ExecutionStatus),
}

/// Known outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownOutcome<A> {
    /// The request has not run and will not run.
    NotRun,
    /// The request is running; query again once it has completed.
    Running,
    /// The request has run; holds the stored response.
    Finished(A),
    /// The request may have run, but its response isn't known.
    Unknown,
}

#[derive(Clone, Debug)]
enum State<A> {
    Running,
    Finished(Option<StoredResponse<A>>),
    /// The request must not run under bindings issued at or before this time.
    Fenced(Instant),
}

#[derive(Clone, Debug)]
struct StoredResponse<A> {
    response: A,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct Entry<A> {
    state: State<A>,
    stored_at: Instant,
}

/// Deduplicates the requests to one incarnation of an agent; stores responses of type `A`.
#[derive(Clone, Debug)]
pub struct Deduplicator<A> {
    incarnation: Incarnation,
    target: Tag,
    settings: Settings,
    entries: HashMap<IdempotencyKey, Entry<A>>,
    expiry_queue: VecDeque<(Instant, IdempotencyKey)>,
    response_order: VecDeque<IdempotencyKey>,
    bytes: usize,
    last_issued: Instant,
    fenced_until: Instant,
}

impl<A: Clone> Deduplicator<A> {
    /// Creates an empty deduplicator for one incarnation of an agent, with default limits.
    #[must_use]
    pub fn new(incarnation: Incarnation, target: Tag) -> Self {
        Self::with_settings(incarnation, target, Settings::default())
    }

    /// Creates an empty deduplicator with the given limits.
    #[must_use]
    pub fn with_settings(incarnation: Incarnation, target: Tag, settings: Settings) -> Self {
        Self {
            incarnation,
            target,
            settings,
            entries: HashMap::new(),
            expiry_queue: VecDeque::new(),
            response_order: VecDeque::new(),
            bytes: 0,
            last_issued: Instant::default(),
            fenced_until: Instant::default(),
        }
    }

    /// Issues a binding to this incarnation.
    pub fn issue_binding(&mut self, now: Instant) -> Binding {
        let next = self.last_issued + Duration::from_micros(1);
        self.last_issued = next.max(now);
        Binding {
            incarnation: self.incarnation,
            target: self.target,
            issued_at: self.last_issued,
        }
    }

    /// Returns `true` if this incarnation issued the binding.
    #[must_use]
    pub fn has_issued(&self, binding: &Binding) -> bool {
        binding.incarnation == self.incarnation
            && binding.target == self.target
            && binding.issued_at <= self.last_issued
    }

    /// Decides whether a request with this key and binding is to be run.
    pub fn begin(
        &mut self,
        key: &IdempotencyKey,
        binding: &Binding,
        now: Instant,
    ) -> BeginDecision<A> {
        self.expire(now);
        if !self.has_issued(binding) {
            return BeginDecision::Refuse(ExecutionStatus::Unknown);
        }
        match self.entries.get(key).map(|entry| &entry.state) {
            Some(State::Running) => BeginDecision::Running,
            Some(State::Finished(Some(stored))) => BeginDecision::Replay(stored.response.clone()),
            Some(State::Finished(None)) => BeginDecision::Refuse(ExecutionStatus::Unknown),
            Some(State::Fenced(until)) if binding.issued_at <= *until => {
                BeginDecision::Refuse(ExecutionStatus::NotRun)
            }
            Some(State::Fenced(_)) => self.start(key, now),
            None => self.begin_new(key, binding, now),
        }
    }

    /// Cancels a running request of which no byte was sent to the backend server, and fences its
    /// key.
    pub fn cancel(&mut self, key: &IdempotencyKey, binding: &Binding, now: Instant) {
        self.store(key, State::Fenced(binding.issued_at), now);
    }

    /// Completes a running request with its response and the size of the response in bytes, or
    /// with `None` if the outcome isn't known.
    pub fn complete(&mut self, key: &IdempotencyKey, response: Option<(A, usize)>, now: Instant) {
        let stored = response.map(|(response, bytes)| StoredResponse { response, bytes });
        let stored = stored.filter(|stored| stored.bytes <= self.settings.max_response_bytes);
        if let Some(stored) = &stored {
            self.bytes += stored.bytes;
            self.response_order.push_back(key.clone());
        }
        self.store(key, State::Finished(stored), now);
        self.evict_responses();
    }

    /// Returns the known outcome of a request. A request that hasn't run is fenced, so that
    /// [`KnownOutcome::NotRun`] stays true.
    pub fn outcome_or_fence(
        &mut self,
        key: &IdempotencyKey,
        binding: &Binding,
        now: Instant,
    ) -> KnownOutcome<A> {
        match self.begin(key, binding, now) {
            BeginDecision::Run => {
                self.cancel(key, binding, now);
                KnownOutcome::NotRun
            }
            BeginDecision::Running => KnownOutcome::Running,
            BeginDecision::Replay(response) => KnownOutcome::Finished(response),
            BeginDecision::Refuse(ExecutionStatus::NotRun) => KnownOutcome::NotRun,
            BeginDecision::Refuse(ExecutionStatus::Unknown) => KnownOutcome::Unknown,
        }
    }

    /// Returns the known outcome of a request that arrived without a binding, or `None` if its key
    /// isn't stored or is fenced.
    pub fn outcome_by_key(
        &mut self,
        key: &IdempotencyKey,
        now: Instant,
    ) -> Option<KnownOutcome<A>> {
        self.expire(now);
        match &self.entries.get(key)?.state {
            State::Running => Some(KnownOutcome::Running),
            State::Finished(Some(stored)) => Some(KnownOutcome::Finished(stored.response.clone())),
            State::Finished(None) => Some(KnownOutcome::Unknown),
            State::Fenced(_) => None,
        }
    }

    /// Returns the number of stored keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if no key is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the stored responses.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn begin_new(
        &mut self,
        key: &IdempotencyKey,
        binding: &Binding,
        now: Instant,
    ) -> BeginDecision<A> {
        if now.since(binding.issued_at) >= self.settings.binding_lifetime {
            return BeginDecision::Refuse(ExecutionStatus::Unknown);
        }
        if binding.issued_at <= self.fenced_until {
            return BeginDecision::Refuse(ExecutionStatus::NotRun);
        }
        if self.entries.len() >= self.settings.max_keys {
            self.fenced_until = self.last_issued;
            return BeginDecision::Refuse(ExecutionStatus::NotRun);
        }
        self.start(key, now)
    }

    fn start(&mut self, key: &IdempotencyKey, now: Instant) -> BeginDecision<A> {
        self.store(key, State::Running, now);
        BeginDecision::Run
    }

    fn store(&mut self, key: &IdempotencyKey, state: State<A>, now: Instant) {
        // The time of a binding can be slightly ahead of the clock, because bindings are unique.
        // The key must be kept until that binding has expired.
        let stored_at = now.max(self.last_issued);
        let entry = Entry { state, stored_at };
        self.entries.insert(key.clone(), entry);
        self.expiry_queue.push_back((stored_at, key.clone()));
    }

    /// Evicts keys that no valid binding can refer to any more.
    fn expire(&mut self, now: Instant) {
        while let Some((stored_at, _)) = self.expiry_queue.front() {
            if now.since(*stored_at) < self.settings.binding_lifetime {
                return;
            }
            let Some((stored_at, key)) = self.expiry_queue.pop_front() else {
                return;
            };
            self.evict(&key, stored_at);
        }
    }

    fn evict(&mut self, key: &IdempotencyKey, stored_at: Instant) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        // A key that was stored again has a later entry in the queue, and a running one gets a
        // later entry when it completes.
        if entry.stored_at != stored_at || matches!(entry.state, State::Running) {
            return;
        }
        self.drop_response(key);
        self.entries.remove(key);
        // Keys expire in the order in which they completed, so this key can only be at the front.
        if self.response_order.front() == Some(key) {
            self.response_order.pop_front();
        }
    }

    /// Evicts the oldest responses beyond the size limit. Their keys stay stored, so repeated
    /// requests are answered with [`ExecutionStatus::Unknown`].
    fn evict_responses(&mut self) {
        while self.bytes > self.settings.max_response_bytes {
            let Some(key) = self.response_order.pop_front() else {
                return;
            };
            self.drop_response(&key);
        }
    }

    fn drop_response(&mut self, key: &IdempotencyKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let State::Finished(stored) = &mut entry.state
            && let Some(stored) = stored.take()
        {
            self.bytes -= stored.bytes;
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            binding_lifetime: Duration::from_secs(300),
            max_keys: 100_000,
            max_response_bytes: 64 * 1024 * 1024,
        }
    }
}

impl<A> From<ExecutionStatus> for KnownOutcome<A> {
    fn from(execution: ExecutionStatus) -> Self {
        match execution {
            ExecutionStatus::NotRun => Self::NotRun,
            ExecutionStatus::Unknown => Self::Unknown,
        }
    }
}
