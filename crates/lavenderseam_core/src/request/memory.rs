//! At-most-once memory of one agent's run.
//!
//! A key may be evicted only after no binding is left that could make it run again: a binding
//! expires [`Settings::life`] after its issue, and a key is kept for at least as long after it was
//! last seen. So a request whose key is not held either carries a binding that is still alive,
//! and then it has never been seen, or is answered "unknown".
//!
//! A refusal with "not run" is final: the key is fenced against the binding that it came with and
//! all earlier ones. When the memory is full, a floor fences all bindings issued so far at once.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::{Binding, Key, Ran};
use crate::id::{Incarnation, Tag};
use crate::time::Instant;

/// Bounds of a memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time after its issue in which a binding can make a request run.
    pub life: Duration,
    /// Keys held.
    pub keys: usize,
    /// Bytes of answers held.
    pub bytes: usize,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin<A> {
    /// It runs now; it must be ended by [`Memory::finish`] or [`Memory::withdraw`].
    Run,
    /// It runs already: ask again once it has ended.
    Running,
    /// It has run; holds the answer.
    Replay(A),
    /// It isn't run.
    Refuse(Ran),
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Inquiry<A> {
    /// It has not run and will not.
    NotRun,
    /// It runs now: ask again once it has ended.
    Running,
    /// It has run; holds the answer.
    Finished(A),
    /// It may have run; its answer isn't known.
    Unknown,
}

#[derive(Clone, Debug)]
enum State<A> {
    Running,
    Finished(Option<Stored<A>>),
    /// Never to run under bindings issued up to this one.
    Fenced(Instant),
}

#[derive(Clone, Debug)]
struct Stored<A> {
    answer: A,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct Entry<A> {
    state: State<A>,
    seen: Instant,
}

/// At-most-once memory of one agent's run, with answers of type `A`.
#[derive(Clone, Debug)]
pub struct Memory<A> {
    incarnation: Incarnation,
    target: Tag,
    settings: Settings,
    entries: HashMap<Key, Entry<A>>,
    by_age: VecDeque<(Instant, Key)>,
    answers: VecDeque<Key>,
    bytes: usize,
    issued: Instant,
    floor: Instant,
}

impl<A: Clone> Memory<A> {
    /// An empty memory of a run.
    #[must_use]
    pub fn new(incarnation: Incarnation, target: Tag) -> Self {
        Self::with_settings(incarnation, target, Settings::default())
    }

    /// An empty memory with other bounds.
    #[must_use]
    pub fn with_settings(incarnation: Incarnation, target: Tag, settings: Settings) -> Self {
        Self {
            incarnation,
            target,
            settings,
            entries: HashMap::new(),
            by_age: VecDeque::new(),
            answers: VecDeque::new(),
            bytes: 0,
            issued: Instant::default(),
            floor: Instant::default(),
        }
    }

    /// Issues a binding to this run.
    pub fn bind(&mut self, now: Instant) -> Binding {
        let next = self.issued + Duration::from_micros(1);
        self.issued = next.max(now);
        Binding {
            incarnation: self.incarnation,
            target: self.target,
            issued: self.issued,
        }
    }

    /// Whether a binding names this run.
    #[must_use]
    pub fn issued(&self, binding: &Binding) -> bool {
        binding.incarnation == self.incarnation
            && binding.target == self.target
            && binding.issued <= self.issued
    }

    /// Decides a request that is bound to this run.
    pub fn begin(&mut self, key: &Key, binding: &Binding, now: Instant) -> Begin<A> {
        self.expire(now);
        if !self.issued(binding) {
            return Begin::Refuse(Ran::Unknown);
        }
        match self.entries.get(key).map(|entry| &entry.state) {
            Some(State::Running) => Begin::Running,
            Some(State::Finished(Some(stored))) => Begin::Replay(stored.answer.clone()),
            Some(State::Finished(None)) => Begin::Refuse(Ran::Unknown),
            Some(State::Fenced(fence)) if binding.issued <= *fence => Begin::Refuse(Ran::No),
            Some(State::Fenced(_)) => self.run(key, now),
            None => self.begin_unseen(key, binding, now),
        }
    }

    /// Takes back a run of which no byte has gone to the backend server; the key is fenced.
    pub fn withdraw(&mut self, key: &Key, binding: &Binding, now: Instant) {
        self.store(key, State::Fenced(binding.issued), now);
    }

    /// Ends a run with its answer and the answer's size in bytes, or with none if the outcome
    /// isn't known.
    pub fn finish(&mut self, key: &Key, answer: Option<(A, usize)>, now: Instant) {
        let stored = answer.map(|(answer, bytes)| Stored { answer, bytes });
        let stored = stored.filter(|stored| stored.bytes <= self.settings.bytes);
        if let Some(stored) = &stored {
            self.bytes += stored.bytes;
            self.answers.push_back(key.clone());
        }
        self.store(key, State::Finished(stored), now);
        self.evict_answers();
    }

    /// Tells what is known of a request; one that has not run is fenced, so that "not run" stays
    /// true.
    pub fn inquire(&mut self, key: &Key, binding: &Binding, now: Instant) -> Inquiry<A> {
        match self.begin(key, binding, now) {
            Begin::Run => {
                self.withdraw(key, binding, now);
                Inquiry::NotRun
            }
            Begin::Running => Inquiry::Running,
            Begin::Replay(answer) => Inquiry::Finished(answer),
            Begin::Refuse(Ran::No) => Inquiry::NotRun,
            Begin::Refuse(Ran::Unknown) => Inquiry::Unknown,
        }
    }

    /// Tells what is known of a key that comes without a binding, if it has been seen.
    pub fn recall(&mut self, key: &Key, now: Instant) -> Option<Inquiry<A>> {
        self.expire(now);
        match &self.entries.get(key)?.state {
            State::Running => Some(Inquiry::Running),
            State::Finished(Some(stored)) => Some(Inquiry::Finished(stored.answer.clone())),
            State::Finished(None) => Some(Inquiry::Unknown),
            State::Fenced(_) => None,
        }
    }

    /// Keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the answers held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn begin_unseen(&mut self, key: &Key, binding: &Binding, now: Instant) -> Begin<A> {
        if now.since(binding.issued) >= self.settings.life {
            return Begin::Refuse(Ran::Unknown);
        }
        if binding.issued <= self.floor {
            return Begin::Refuse(Ran::No);
        }
        if self.entries.len() >= self.settings.keys {
            self.floor = self.issued;
            return Begin::Refuse(Ran::No);
        }
        self.run(key, now)
    }

    fn run(&mut self, key: &Key, now: Instant) -> Begin<A> {
        self.store(key, State::Running, now);
        Begin::Run
    }

    fn store(&mut self, key: &Key, state: State<A>, now: Instant) {
        // A binding may bear a slightly later time than the clock, to be unique.
        let seen = now.max(self.issued);
        let entry = Entry { state, seen };
        self.entries.insert(key.clone(), entry);
        self.by_age.push_back((seen, key.clone()));
    }

    /// Forgets keys for which no binding is alive any more.
    fn expire(&mut self, now: Instant) {
        while let Some((seen, _)) = self.by_age.front() {
            if now.since(*seen) < self.settings.life {
                return;
            }
            let Some((seen, key)) = self.by_age.pop_front() else {
                return;
            };
            self.forget(&key, seen);
        }
    }

    fn forget(&mut self, key: &Key, seen: Instant) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        // A key that was stored again since has a later place in the queue, and a running one
        // gets one when it ends.
        if entry.seen != seen || matches!(entry.state, State::Running) {
            return;
        }
        self.drop_answer(key);
        self.entries.remove(key);
        // Keys expire in the order in which they finished, so its place is the first one.
        if self.answers.front() == Some(key) {
            self.answers.pop_front();
        }
    }

    /// Drops the oldest answers beyond the bound; their keys stay and answer "unknown".
    fn evict_answers(&mut self) {
        while self.bytes > self.settings.bytes {
            let Some(key) = self.answers.pop_front() else {
                return;
            };
            self.drop_answer(&key);
        }
    }

    fn drop_answer(&mut self, key: &Key) {
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
            life: Duration::from_secs(300),
            keys: 100_000,
            bytes: 64 * 1024 * 1024,
        }
    }
}

impl<A> From<Ran> for Inquiry<A> {
    fn from(ran: Ran) -> Self {
        match ran {
            Ran::No => Self::NotRun,
            Ran::Unknown => Self::Unknown,
        }
    }
}
