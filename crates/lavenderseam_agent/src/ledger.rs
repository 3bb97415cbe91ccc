//! The at-most-once memory, shared by all requests.

use std::sync::Arc;

use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_core::request::{Begin, Binding, Inquiry, Key, Memory};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::answer::Answer;
use crate::clock::Clock;

/// The at-most-once memory of this run.
pub(crate) struct Ledger {
    clock: Clock,
    memory: Mutex<Memory<Answer>>,
    ended: Notify,
}

/// A run in the ledger; dropped without an end its outcome is unknown.
pub(crate) struct Run {
    ledger: Arc<Ledger>,
    key: Key,
    binding: Binding,
    ended: bool,
}

/// What becomes of a request, as [`Begin`], with the run to end.
pub(crate) enum Start {
    Run(Run),
    Settled(Inquiry<Answer>),
}

impl Ledger {
    pub(crate) fn new(incarnation: Incarnation, target: Tag, clock: Clock) -> Self {
        Self {
            clock,
            memory: Mutex::new(Memory::new(incarnation, target)),
            ended: Notify::new(),
        }
    }

    pub(crate) fn bind(&self) -> Binding {
        self.memory.lock().bind(self.clock.now())
    }

    /// Whether a binding names this run.
    pub(crate) fn issued(&self, binding: &Binding) -> bool {
        self.memory.lock().issued(binding)
    }

    /// Starts a request, or waits until its earlier run has ended.
    pub(crate) async fn begin(self: &Arc<Self>, key: &Key, binding: &Binding) -> Start {
        loop {
            // Registered before the look, so an end between the look and the wait isn't missed.
            let mut ended = std::pin::pin!(self.ended.notified());
            ended.as_mut().enable();
            let begin = self.memory.lock().begin(key, binding, self.clock.now());
            match begin {
                Begin::Run => return Start::Run(self.run(key, binding)),
                Begin::Running => ended.await,
                Begin::Replay(answer) => return Start::Settled(Inquiry::Finished(answer)),
                Begin::Refuse(ran) => return Start::Settled(ran.into()),
            }
        }
    }

    /// Tells what became of a request, once it has ended; one that has not run is fenced.
    pub(crate) async fn inquire(&self, key: &Key, binding: &Binding) -> Inquiry<Answer> {
        loop {
            let mut ended = std::pin::pin!(self.ended.notified());
            ended.as_mut().enable();
            let inquiry = self.memory.lock().inquire(key, binding, self.clock.now());
            match inquiry {
                Inquiry::Running => ended.await,
                settled => return settled,
            }
        }
    }

    /// Tells what became of a key that comes without a binding, if it has been seen.
    pub(crate) async fn recall(&self, key: &Key) -> Option<Inquiry<Answer>> {
        loop {
            let mut ended = std::pin::pin!(self.ended.notified());
            ended.as_mut().enable();
            let inquiry = self.memory.lock().recall(key, self.clock.now());
            match inquiry {
                Some(Inquiry::Running) => ended.await,
                settled => return settled,
            }
        }
    }

    fn run(self: &Arc<Self>, key: &Key, binding: &Binding) -> Run {
        Run {
            ledger: Arc::clone(self),
            key: key.clone(),
            binding: *binding,
            ended: false,
        }
    }
}

impl Run {
    /// Ends a run of which the backend server has run nothing.
    pub(crate) fn withdraw(mut self) {
        self.ended = true;
        let mut memory = self.ledger.memory.lock();
        memory.withdraw(&self.key, &self.binding, self.ledger.clock.now());
        drop(memory);
        self.ledger.ended.notify_waiters();
    }

    /// Ends the run with its answer.
    pub(crate) fn finish(mut self, answer: Answer) {
        let size = answer.size();
        self.store(Some((answer, size)));
    }

    fn store(&mut self, answer: Option<(Answer, usize)>) {
        self.ended = true;
        let mut memory = self.ledger.memory.lock();
        memory.finish(&self.key, answer, self.ledger.clock.now());
        drop(memory);
        self.ledger.ended.notify_waiters();
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            self.store(None);
        }
    }
}
