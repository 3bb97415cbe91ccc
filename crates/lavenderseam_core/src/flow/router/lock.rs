//! Abstraction over locks, so that tests can replace them and explore thread interleavings.

use std::sync::{Mutex, PoisonError};

/// A value protected by a lock.
pub trait Lock<T> {
    /// Wraps a value in a lock.
    fn new(value: T) -> Self;

    /// Runs a closure on the value while the lock is held.
    fn with<R>(&self, change: impl FnOnce(&mut T) -> R) -> R;
}

/// A lock implementation.
pub trait LockFamily {
    /// A value protected by a lock of this implementation.
    type Lock<T>: Lock<T>;
}

/// Lock implementation that uses the mutex of the standard library.
#[derive(Clone, Copy, Debug)]
pub struct StdLocks;

impl LockFamily for StdLocks {
    type Lock<T> = Mutex<T>;
}

impl<T> Lock<T> for Mutex<T> {
    fn new(value: T) -> Self {
        Self::new(value)
    }

    fn with<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        // Recovers from poisoning: the protected state is only a cache, so an inconsistency left by
        // a panic costs extra hops but never breaks a flow.
        change(&mut self.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
