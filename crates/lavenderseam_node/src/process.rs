//! What a balancer and an agent share: their clock, log, metrics and messages.

use std::fmt::Display;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use lavenderseam_passthrough::message::Message;

use crate::clock::Clock;
use crate::log::{Event, Log};
use crate::metrics::Metrics;
use crate::peer::{self, Peers};

/// Time between two ticks of the decisions.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// Time between two searches for a change of the settings that no signal told.
pub(crate) const RELOAD: Duration = Duration::from_secs(2);

/// What every process works with.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) clock: Clock,
    pub(crate) log: Log,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) peers: Peers,
}

impl Process {
    /// A process with a name, and an address for messages.
    pub(crate) async fn new(name: String, peers: SocketAddrV4) -> io::Result<Self> {
        Ok(Self {
            clock: Clock::new(),
            log: Log::new(name),
            metrics: Rc::new(Metrics::default()),
            peers: Peers::bind(peers).await?,
        })
    }

    /// Logs an event.
    pub(crate) fn log(&self, event: &Event) {
        self.log.write(event, self.clock.now());
    }

    /// Sends a message, with the packet that it concerns.
    pub(crate) fn send(&self, message: &Message, packet: &[u8], to: SocketAddrV4) {
        if let Err(error) = self.peers.send(message, packet, to) {
            self.message_failed(&error);
        }
    }

    /// Notes input that can't be read.
    pub(crate) fn unreadable(&self, source: &'static str, error: &impl Display) {
        self.metrics.malformed.inc();
        self.log(&Event::Malformed {
            source,
            error: error.to_string(),
        });
    }

    /// Notes a message that couldn't be sent or read.
    pub(crate) fn message_failed(&self, error: &peer::Error) {
        match error {
            peer::Error::Message(malformed) => self.unreadable("process", malformed),
            peer::Error::Socket(error) => self.socket_failed("peers", error),
        }
    }

    /// Notes a failure of a socket.
    pub(crate) fn socket_failed(&self, socket: &'static str, error: &io::Error) {
        self.metrics.socket_errors.inc();
        self.log(&Event::Socket {
            socket,
            error: error.to_string(),
        });
    }

    /// Notes settings that were read again; returns the seeds if they can be used.
    pub(crate) fn reloaded<E: Display>(
        &self,
        read: Option<Result<Vec<SocketAddrV4>, E>>,
    ) -> Vec<SocketAddrV4> {
        let (seeds, error) = match read {
            None => return Vec::new(),
            Some(Ok(seeds)) => (seeds, None),
            Some(Err(error)) => (Vec::new(), Some(error.to_string())),
        };
        let accepted = error.is_none();
        self.log(&Event::Reload { accepted, error });
        seeds
    }
}
