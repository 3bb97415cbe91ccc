//! Assembles the agent's parts.

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderseam_app::{App, Error, Plugin};
use lavenderseam_control::{Announcement, Gate, Identity, Methods, Remote, Views};
use lavenderseam_core::admission::Bounds;
use lavenderseam_core::flow::Owner;
use lavenderseam_core::id::Tag;
use lavenderseam_core::record::Slots;
use lavenderseam_quic::{Certificate, Egress, Endpoints};
use lavenderseam_telemetry::{Log, Metrics};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::Settings;
use crate::backend::Backend;
use crate::clock::Clock;
use crate::flows::Flows;
use crate::gauge::Gauge;
use crate::ledger::Ledger;
use crate::peer::Peer;
use crate::probe::Prober;
use crate::reload;
use crate::remote::{self, Inquirer};
use crate::server::{Server, Stage};
use crate::stage::Follower;

/// Name of this part.
const PART: &str = "agent";
/// Bytes that the system buffers of what arrives at the peer socket.
const RECEIVE_BUFFER: usize = 4 * 1024 * 1024;
/// Bounds while no record of the group has been seen.
const BOUNDS_UNKNOWN: (Slots, Slots, u32) = (Slots(1), Slots(1), 1);

/// The agent: ends the callers' transport and gives the backend server what it bears.
///
/// Needs the resources of the control plane.
pub struct AgentPlugin {
    settings: Settings,
}

impl AgentPlugin {
    /// An agent with settings.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    fn certificate(&self) -> Certificate {
        Certificate {
            chain: self.settings.certificate_file.clone(),
            private_key: self.settings.private_key_file.clone(),
        }
    }
}

impl Plugin for AgentPlugin {
    fn build(&self, app: &mut App) -> Result<(), Error> {
        let identity = app.resource::<Identity>()?;
        let views = app.resource::<Views>()?;
        let target = Tag::new(&self.settings.name);
        let clock = Clock::new();
        let (slots, cold_slots, connections) = BOUNDS_UNKNOWN;
        let bounds = Bounds::new(slots, cold_slots, connections);
        let gauge = Arc::new(Gauge::new(bounds, clock, Log::new(PART)));
        let ledger = Arc::new(Ledger::new(identity.incarnation, target, clock));
        let owner = Owner::new(target, self.settings.group.clone(), identity.domain.clone());
        let flows = Flows::new(
            owner,
            identity.key.seed(),
            Arc::clone(&gauge),
            clock,
            app.shutdown(),
        );
        let server = Arc::new(Server {
            backend: Backend::new(self.settings.backend),
            gauge: Arc::clone(&gauge),
            ledger: Arc::clone(&ledger),
            inquirer: Inquirer::new(app.resource::<Remote>()?, Arc::clone(&views)),
            flows: Arc::new(flows),
            stage: watch::Sender::new(Stage::Serving),
            metrics: app.resource::<Metrics>()?,
            log: Log::new(PART),
        });
        let egress = Egress::new(self.settings.egress, identity.peer.ip()).map_err(failed)?;
        let endpoints = Arc::new(Endpoints::new(
            &identity.key,
            target,
            Arc::new(egress),
            self.certificate(),
        ));
        endpoints.check().map_err(failed)?;
        let methods = app.resource::<Methods>()?;
        methods.register(remote::module(&identity.key, ledger).map_err(failed)?);
        let peer = Peer {
            socket: bind(identity.peer).map_err(failed)?,
            key: identity.key.derive("frames"),
            target,
            incarnation: identity.incarnation,
            views: Arc::clone(&views),
            gate: app.resource::<Gate>()?,
            endpoints: Arc::clone(&endpoints),
            server: Arc::clone(&server),
        };
        let follower = Follower {
            target,
            group: self.settings.group.clone(),
            domain: identity.domain.clone(),
            views,
            announcement: app.resource::<Announcement>()?,
            endpoints: Arc::clone(&endpoints),
            server: Arc::clone(&server),
        };
        let prober = Prober::new(self.settings.backend, gauge, Arc::clone(&server.metrics));
        spawn(app, peer, follower, prober, endpoints);
        Ok(())
    }
}

fn spawn(app: &mut App, peer: Peer, follower: Follower, prober: Prober, endpoints: Arc<Endpoints>) {
    let mut halt = app.shutdown();
    app.spawn("agent peer socket", async move {
        tokio::select! {
            () = peer.run() => {}
            () = halt.halted() => {}
        }
    });
    let shutdown = app.shutdown();
    app.spawn("agent stage", follower.run(shutdown));
    let mut halt = app.shutdown();
    app.spawn("backend server probe", async move {
        tokio::select! {
            () = prober.run() => {}
            () = halt.halted() => {}
        }
    });
    let mut halt = app.shutdown();
    app.spawn("certificate reload", async move {
        tokio::select! {
            () = reload::run(&endpoints) => {}
            () = halt.halted() => {}
        }
    });
}

fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::DGRAM,
        None,
    )?;
    // The system may grant less than what is asked for.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

fn failed(cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Error {
    Error::plugin(PART, cause)
}
