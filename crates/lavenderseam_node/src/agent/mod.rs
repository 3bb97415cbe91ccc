//! The agent: delivers packets to the backend server beside it, and sends its answers to callers.

mod driver;

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt::Display;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use lavenderseam_passthrough::agent::{
    Agent, Deregistration, Heartbeat, Identity, Settings as Limits,
};
use rand::TryRng;
use rand::rngs::SysRng;

use crate::codec::PacketCodec;
use crate::http::{self, Service};
use crate::log::Event;
use crate::process::{DynamicSettings, ProcessContext, RELOAD_INTERVAL, TICK_INTERVAL};
use crate::socket::DatagramSocket;
use crate::unix_signals::{SignalAction, SignalListener};
use driver::Driver;
use tokio::sync::Notify;

/// Time for which an agent admits no flows unless it is registered: the store usually accepts a
/// registration within milliseconds, and a target without registration serves callers as well.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a stopping agent waits until its registration is removed.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the process, which its log lines contain.
    pub name: String,
    /// Name of the service to which the backend server belongs.
    pub service: String,
    /// Failure domain of the agent and its backend server.
    pub domain: String,
    /// Source address of packets sent to callers.
    pub packet_address: SocketAddrV4,
    /// Address for messages from balancers.
    pub peer_address: SocketAddrV4,
    /// Address to which the backend server sends packets for callers.
    pub outbound_address: SocketAddrV4,
    /// Address of the backend server: UDP for packets, TCP for liveness probes.
    pub backend_address: SocketAddrV4,
    /// Address of the HTTP service that the backend server calls, for example with heartbeats.
    pub control_address: SocketAddrV4,
    /// Address of the HTTP readiness endpoint.
    pub readiness_address: SocketAddrV4,
    /// Address of the HTTP metrics endpoint.
    pub metrics_address: SocketAddrV4,
    /// Settings that may change while the process runs.
    pub dynamic: DynamicSettings,
}

/// Reply to a heartbeat of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatReply {
    /// The heartbeat counts.
    Acknowledged,
    /// The backend server has just started, and gets flows from a later heartbeat on.
    TooEarly,
    /// The heartbeat doesn't describe the current backend server.
    Rejected,
}

/// Handle to a running agent, for the service that handles its backend server's calls.
#[derive(Debug)]
pub struct Handle<C> {
    driver: Rc<Driver<C>>,
}

/// Directory in which an agent registers, and looks up balancers when no known balancer responds.
pub trait Directory: 'static {
    /// Error of a failed request.
    type Error: Error;

    /// Registers the agent, so that balancers that start know of its target; succeeds if it is
    /// registered already.
    fn register(&self) -> impl Future<Output = Result<(), Self::Error>>;

    /// Removes the registration of the agent.
    fn deregister(&self) -> impl Future<Output = Result<(), Self::Error>>;

    /// Returns the message addresses of the registered balancers.
    fn balancers(&self) -> impl Future<Output = Result<Vec<SocketAddrV4>, Self::Error>>;
}

/// Runs an agent until a signal stops it; must run within a `LocalSet`.
///
/// `create_service` creates the service that handles the backend server's calls. `reload` reads the
/// settings again and returns the new ones, an error, or `None` if nothing has changed.
///
/// # Errors
///
/// Fails if a socket can't be bound or a signal handler can't be installed.
pub async fn run<C, D, S, R, E>(
    settings: Settings,
    codec: C,
    directory: D,
    create_service: impl FnOnce(Handle<C>) -> S,
    reload: R,
) -> io::Result<()>
where
    C: PacketCodec,
    D: Directory,
    S: Service + 'static,
    R: Fn() -> Option<Result<DynamicSettings, E>>,
    E: Error,
{
    let mut signals = SignalListener::new()?;
    let place = Identity {
        service: settings.service.clone(),
        domain: settings.domain.clone(),
        backend_address: settings.backend_address,
        run_id: random_run_id()?,
    };
    let limits = Limits {
        registration_timeout: REGISTRATION_TIMEOUT,
        ..Limits::default()
    };
    let any_port = SocketAddrV4::new(*settings.packet_address.ip(), 0);
    let driver = Rc::new(Driver {
        codec,
        process: ProcessContext::new(settings.name.clone(), settings.peer_address).await?,
        agent: RefCell::new(Agent::with_settings(place, limits)),
        packet_socket: DatagramSocket::bind(settings.packet_address).await?,
        outbound_socket: DatagramSocket::bind(settings.outbound_address).await?,
        backend_socket: DatagramSocket::connect(any_port, settings.backend_address).await?,
        backend_address: settings.backend_address,
        registration_changed: Notify::new(),
        is_probing: Cell::new(false),
    });
    http::serve(settings.readiness_address, driver::ReadinessService).await?;
    http::serve(settings.metrics_address, Rc::clone(&driver.process.metrics)).await?;
    let handle = Handle {
        driver: Rc::clone(&driver),
    };
    http::serve(settings.control_address, create_service(handle)).await?;
    driver.apply_settings(&settings.dynamic);
    driver.process.log(&Event::Start {
        role: "agent",
        domain: settings.domain,
        address: settings.peer_address,
    });
    let task_driver = Rc::clone(&driver);
    tokio::task::spawn_local(async move { task_driver.receive_messages().await });
    let task_driver = Rc::clone(&driver);
    tokio::task::spawn_local(async move { task_driver.receive_outbound().await });
    let task_driver = Rc::clone(&driver);
    tokio::task::spawn_local(async move { task_driver.watch_backend_port().await });
    let directory = Rc::new(directory);
    let (task_driver, task_directory) = (Rc::clone(&driver), Rc::clone(&directory));
    tokio::task::spawn_local(async move {
        task_driver
            .maintain_registration(task_directory.as_ref())
            .await;
    });
    let (task_driver, task_directory) = (Rc::clone(&driver), Rc::clone(&directory));
    tokio::task::spawn_local(async move {
        task_driver.run_ticks(TICK_INTERVAL, task_directory).await;
    });
    loop {
        let action = tokio::select! {
            action = signals.next() => action,
            () = tokio::time::sleep(RELOAD_INTERVAL) => SignalAction::Reload,
        };
        match action {
            SignalAction::Stop => break,
            SignalAction::Reload => {
                if let Some(reloaded) = driver.process.record_reload(reload()) {
                    driver.apply_settings(&reloaded);
                }
            }
        }
    }
    // Flows terminate at the backend server on this VM, so no other agent can take them over.
    // Exiting at once lets the restarted agent take over sooner, which loses fewer packets.
    driver.process.log(&Event::Stop);
    let needs_deregistration = driver.agent.borrow().needs_deregistration();
    if needs_deregistration {
        let deregistration = driver.update_registration(directory.as_ref());
        // The registration of a target that doesn't exist delays conclusions, but nothing else.
        let _ = tokio::time::timeout(DEREGISTRATION_TIMEOUT, deregistration).await;
    }
    Ok(())
}

impl<C: PacketCodec> Handle<C> {
    /// Handles a heartbeat; returns `false` if the agent rejects it.
    pub fn handle_heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        self.driver.handle_heartbeat(heartbeat)
    }

    /// Handles the notice of a backend server that it terminates.
    pub fn handle_deregistration(&self, deregistration: &Deregistration) {
        self.driver.handle_deregistration(deregistration);
    }

    /// Counts and logs a call that can't be decoded.
    pub fn record_malformed_call(&self, error: &impl Display) {
        self.driver.process.record_malformed("backend", error);
    }
}

impl<C> Clone for Handle<C> {
    fn clone(&self) -> Self {
        Self {
            driver: Rc::clone(&self.driver),
        }
    }
}

/// Returns a random number that distinguishes this run of the agent from others.
fn random_run_id() -> io::Result<u64> {
    SysRng.try_next_u64().map_err(io::Error::other)
}
