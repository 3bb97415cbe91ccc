//! Signals that stop a process or reload its settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Shut down gracefully (`SIGTERM` or `SIGINT`).
    Stop,
    /// Read the settings again (`SIGHUP`).
    Reload,
}

/// Listener for the signals that a process handles.
#[derive(Debug)]
pub struct SignalListener {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl SignalListener {
    /// Installs handlers for the signals.
    ///
    /// # Errors
    ///
    /// Fails if a signal handler can't be installed.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal and returns the action that it requests.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}
