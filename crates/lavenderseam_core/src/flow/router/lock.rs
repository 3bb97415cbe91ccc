//! Locks around the shards, so that tests can check every interleaving.

use std::sync::{Mutex, PoisonError};

/// A value under a lock.
pub trait Guard<T> {
    /// Puts a value under a lock.
    fn new(value: T) -> Self;

    /// Changes the value while the lock is held.
    fn with<R>(&self, change: impl FnOnce(&mut T) -> R) -> R;
}

/// A kind of lock.
pub trait Locking {
    /// A value under a lock of this kind.
    type Guard<T>: Guard<T>;
}

/// The standard library's mutex.
#[derive(Clone, Copy, Debug)]
pub struct System;

impl Locking for System {
    type Guard<T> = Mutex<T>;
}

impl<T> Guard<T> for Mutex<T> {
    fn new(value: T) -> Self {
        Self::new(value)
    }

    fn with<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        // The state is soft: one that a panic left behind costs hops, never flows.
        change(&mut self.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
