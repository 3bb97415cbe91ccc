//! Clock, log, metrics and message socket, which balancers and agents have in common.

use std::fmt::Display;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use lavenderseam_passthrough::message::Message;

use crate::clock::Clock;
use crate::log::{Event, Log};
use crate::metrics::Metrics;
use crate::peer::{self, PeerSocket};

/// Interval between ticks of the state machines.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the settings are read again, for changes that no signal announced.
pub(crate) const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum length of an error about malformed input in the log, in characters.
const MAX_ERROR_CHARS: usize = 500;

/// Settings that take effect without a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DynamicSettings {
    /// Message addresses of the balancers to contact.
    pub seeds: Vec<SocketAddrV4>,
    /// Maximum age of a flow; `None` if there is none.
    pub max_flow_age: Option<Duration>,
    /// Time between two heartbeats of a backend server; `None` if there is none.
    pub heartbeat_interval: Option<Duration>,
    /// Errors of the settings that are ignored.
    pub errors: Vec<String>,
}

/// Clock, log, metrics and message socket of a process.
#[derive(Debug)]
pub(crate) struct ProcessContext {
    /// Monotonic clock of the process.
    pub(crate) clock: Clock,
    /// Log on standard output.
    pub(crate) log: Log,
    /// Metrics, which an HTTP endpoint serves.
    pub(crate) metrics: Rc<Metrics>,
    /// Socket for messages between processes.
    pub(crate) peer_socket: PeerSocket,
}

impl ProcessContext {
    /// Creates the context of the process with this name; messages are received at `peer_address`.
    pub(crate) async fn new(name: String, peer_address: SocketAddrV4) -> io::Result<Self> {
        Ok(Self {
            clock: Clock::new(),
            log: Log::new(name),
            metrics: Rc::new(Metrics::default()),
            peer_socket: PeerSocket::bind(peer_address).await?,
        })
    }

    /// Logs an event with the current time.
    pub(crate) fn log(&self, event: &Event) {
        self.log.write(event, self.clock.now());
    }

    /// Sends a message, followed by the packet that it concerns; logs a failure.
    pub(crate) fn send(&self, message: &Message, packet: &[u8], to: SocketAddrV4) {
        if let Err(error) = self.peer_socket.send(message, packet, to) {
            self.record_message_error(&error);
        }
    }

    /// Counts and logs input that can't be decoded.
    pub(crate) fn record_malformed(&self, source: &'static str, error: &impl Display) {
        self.metrics.malformed.inc();
        // The error may quote the input.
        let error = error.to_string().chars().take(MAX_ERROR_CHARS).collect();
        self.log(&Event::MalformedInput { source, error });
    }

    /// Counts and logs a message that couldn't be sent or received.
    pub(crate) fn record_message_error(&self, error: &peer::Error) {
        match error {
            peer::Error::Message(malformed) => self.record_malformed("process", malformed),
            peer::Error::Socket(error) => self.record_socket_error("peers", error),
        }
    }

    /// Counts and logs a failed operation on a socket.
    pub(crate) fn record_socket_error(&self, socket: &'static str, error: &io::Error) {
        self.metrics.socket_errors.inc();
        self.log(&Event::SocketFailed {
            socket,
            error: error.to_string(),
        });
    }

    /// Logs the result of a reload of the settings.
    ///
    /// Returns the new settings, or `None` if they are unchanged (`None`) or invalid.
    pub(crate) fn record_reload<E: Display>(
        &self,
        reloaded: Option<Result<DynamicSettings, E>>,
    ) -> Option<DynamicSettings> {
        let (settings, error) = match reloaded? {
            Ok(settings) => (Some(settings), None),
            Err(error) => (None, Some(error.to_string())),
        };
        let accepted = error.is_none();
        self.log(&Event::Reload { accepted, error });
        settings
    }
}
