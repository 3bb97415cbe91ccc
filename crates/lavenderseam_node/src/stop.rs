//! Signals: the planned stop, and changed settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A signal that a process acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Stop, after what was begun has ended.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The signals of this process.
#[derive(Debug)]
pub struct Requests {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Requests {
    /// Catches the signals from now on.
    ///
    /// # Errors
    ///
    /// Fails if a signal can't be caught.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// The next signal.
    pub async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.hangup.recv() => Request::Reload,
        }
    }
}
