//! The balancer: forwards packets of callers to agents.

mod driver;
mod held;
mod records;

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use lavenderseam_passthrough::balancer::{Balancer, Checkpoint, Identity};
use lavenderseam_passthrough::desired::RegisteredAgent;
use tokio::sync::{Notify, mpsc, watch};

use crate::codec::PacketCodec;
use crate::http;
use crate::log::Event;
use crate::process::{DynamicSettings, ProcessContext, RELOAD_INTERVAL, TICK_INTERVAL};
use crate::socket::DatagramSocket;
use crate::unix_signals::{SignalAction, SignalListener};
use driver::Driver;
pub use records::{RecordKind, RecordList, RecordSource, Records};

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the process, which its log lines contain.
    pub name: String,
    /// Failure domain of the balancer.
    pub domain: String,
    /// Address at which callers' packets arrive.
    pub packet_address: SocketAddrV4,
    /// Address for other processes: UDP for messages, TCP for requests for records.
    pub peer_address: SocketAddrV4,
    /// Address of the HTTP readiness endpoint.
    pub readiness_address: SocketAddrV4,
    /// Address of the HTTP metrics endpoint.
    pub metrics_address: SocketAddrV4,
    /// Maximum duration of a graceful shutdown.
    pub grace_period: Duration,
    /// Settings that may change while the process runs.
    pub dynamic: DynamicSettings,
}

/// What the balancer requests to be written to the store.
#[derive(Debug)]
pub struct StoreWrites {
    /// Agents that have become silent, or send messages again.
    pub silence_reports: mpsc::UnboundedReceiver<RegisteredAgent>,
    /// Open flows, by number of the partition.
    pub checkpoints: mpsc::UnboundedReceiver<(u32, Checkpoint)>,
}

/// Handle to a running balancer, for the source of its records.
#[derive(Debug)]
pub struct Handle<C> {
    driver: Rc<Driver<C>>,
}

/// Runs a balancer until a signal stops it; must run within a `LocalSet`.
///
/// `source` is spawned as a task that passes records to the balancer through the handle, and writes
/// what the balancer requests to the store. `reload` reads the settings again and returns the new
/// ones, an error, or `None` if nothing has changed.
///
/// # Errors
///
/// Fails if a socket can't be bound or a signal handler can't be installed.
pub async fn run<C, F, R, E>(
    settings: Settings,
    codec: C,
    source: impl FnOnce(Handle<C>, StoreWrites) -> F,
    reload: R,
) -> io::Result<()>
where
    C: PacketCodec,
    F: Future<Output = ()> + 'static,
    R: Fn() -> Option<Result<DynamicSettings, E>>,
    E: Error,
{
    let mut signals = SignalListener::new()?;
    let place = Identity {
        domain: settings.domain.clone(),
        address: settings.peer_address,
        rpc_address: settings.peer_address,
    };
    let (silence_reports, silence_receiver) = mpsc::unbounded_channel();
    let (checkpoints, checkpoint_receiver) = mpsc::unbounded_channel();
    let driver = Rc::new(Driver {
        codec,
        process: ProcessContext::new(settings.name.clone(), settings.peer_address).await?,
        balancer: RefCell::new(Balancer::new(place)),
        packet_socket: DatagramSocket::bind(settings.packet_address).await?,
        reset_buffer: RefCell::default(),
        held_packets: RefCell::default(),
        search_started: Notify::new(),
        silence_reports,
        checkpoints,
        keeps_checkpoints: watch::Sender::new(false),
        was_ready: Cell::new(false),
        is_stopping: Cell::new(false),
        store_answered_at: RefCell::default(),
        epoch: watch::Sender::new(None),
    });
    http::serve(
        settings.readiness_address,
        driver::ReadinessService(Rc::clone(&driver)),
    )
    .await?;
    http::serve(settings.metrics_address, Rc::clone(&driver.process.metrics)).await?;
    http::serve(
        settings.peer_address,
        records::RecordsService(Rc::clone(&driver)),
    )
    .await?;
    driver.apply_settings(&settings.dynamic);
    driver.process.log(&Event::Start {
        role: "balancer",
        domain: settings.domain,
        address: settings.peer_address,
    });
    let handle = Handle {
        driver: Rc::clone(&driver),
    };
    let writes = StoreWrites {
        silence_reports: silence_receiver,
        checkpoints: checkpoint_receiver,
    };
    tokio::task::spawn_local(source(handle, writes));
    let task_driver = Rc::clone(&driver);
    tokio::task::spawn_local(async move { task_driver.receive_packets().await });
    let task_driver = Rc::clone(&driver);
    tokio::task::spawn_local(async move { task_driver.receive_messages().await });
    let task_driver = Rc::clone(&driver);
    tokio::task::spawn_local(async move { task_driver.run_ticks(TICK_INTERVAL).await });
    let task_driver = Rc::clone(&driver);
    tokio::task::spawn_local(async move { task_driver.run_searches().await });
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
    driver.stop(settings.grace_period).await;
    Ok(())
}

impl<C> Clone for Handle<C> {
    fn clone(&self) -> Self {
        Self {
            driver: Rc::clone(&self.driver),
        }
    }
}
