//! The agent: a backend server gets the packets that are its own, and callers its answers.

mod work;

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt::Display;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;

use lavenderseam_passthrough::agent::{Agent, Heartbeat, Place};
use rand::TryRng;
use rand::rngs::SysRng;

use crate::codec::Codec;
use crate::http::{self, Service};
use crate::log::Event;
use crate::process::{Process, RELOAD, TICK};
use crate::socket::Socket;
use crate::stop::{Request, Requests};
use work::Work;

/// Where an agent listens, and whom it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the process.
    pub name: String,
    /// Name of the target's service.
    pub service: String,
    /// Failure domain of the target.
    pub domain: String,
    /// Address that packets for callers are sent from.
    pub packets: SocketAddrV4,
    /// Address for messages between processes.
    pub peers: SocketAddrV4,
    /// Address that the backend server sends its packets to.
    pub outbound: SocketAddrV4,
    /// Address of the backend server, for packets by UDP and liveness checks by TCP.
    pub backend: SocketAddrV4,
    /// Address for calls of the backend server.
    pub control: SocketAddrV4,
    /// Address that tells whether it is ready.
    pub ready: SocketAddrV4,
    /// Address of the metrics.
    pub metrics: SocketAddrV4,
    /// Balancers to begin with.
    pub seeds: Vec<SocketAddrV4>,
}

/// A running agent, as the server of its backend server's calls sees it.
#[derive(Debug)]
pub struct Handle<C> {
    work: Rc<Work<C>>,
}

/// Finds balancers when none answers.
pub trait Directory: 'static {
    /// Why they can't be found.
    type Error: Error;

    /// The balancers that have registered.
    fn balancers(&self) -> impl Future<Output = Result<Vec<SocketAddrV4>, Self::Error>>;
}

/// Runs an agent until a planned stop; must run within a `LocalSet`.
///
/// `calls` makes the service that answers the backend server's calls; `reload` reads the settings
/// again and returns the seeds, or what is wrong.
///
/// # Errors
///
/// Fails if an address can't be listened on or signals can't be caught.
pub async fn run<C, D, S, R, E>(
    settings: Settings,
    codec: C,
    directory: D,
    calls: impl FnOnce(Handle<C>) -> S,
    reload: R,
) -> io::Result<()>
where
    C: Codec,
    D: Directory,
    S: Service + 'static,
    R: Fn() -> Option<Result<Vec<SocketAddrV4>, E>>,
    E: Error,
{
    let mut requests = Requests::new()?;
    let place = Place {
        service: settings.service.clone(),
        domain: settings.domain.clone(),
        run: run_number()?,
    };
    let any = SocketAddrV4::new(*settings.packets.ip(), 0);
    let work = Rc::new(Work {
        codec,
        process: Process::new(settings.name.clone(), settings.peers).await?,
        agent: RefCell::new(Agent::new(place)),
        packets: Socket::bind(settings.packets).await?,
        outbound: Socket::bind(settings.outbound).await?,
        backend: Socket::connect(any, settings.backend).await?,
        backend_address: settings.backend,
        probing: Cell::new(false),
    });
    http::serve(settings.ready, work::Ready).await?;
    http::serve(settings.metrics, Rc::clone(&work.process.metrics)).await?;
    let handle = Handle {
        work: Rc::clone(&work),
    };
    http::serve(settings.control, calls(handle)).await?;
    work.seed(&settings.seeds);
    work.process.log(&Event::Start {
        role: "agent",
        domain: settings.domain,
        address: settings.peers,
    });
    let own = Rc::clone(&work);
    tokio::task::spawn_local(async move { own.serve_peers().await });
    let own = Rc::clone(&work);
    tokio::task::spawn_local(async move { own.serve_outbound().await });
    let own = Rc::clone(&work);
    tokio::task::spawn_local(async move { own.serve_backend().await });
    let own = Rc::clone(&work);
    tokio::task::spawn_local(async move { own.tick(TICK, directory).await });
    loop {
        let request = tokio::select! {
            request = requests.next() => request,
            () = tokio::time::sleep(RELOAD) => Request::Reload,
        };
        match request {
            Request::Stop => break,
            Request::Reload => work.seed(&work.process.reloaded(reload())),
        }
    }
    // The flows end on this VM: the sooner the next run takes over, the fewer packets are lost.
    work.process.log(&Event::Stop);
    Ok(())
}

impl<C: Codec> Handle<C> {
    /// Takes a heartbeat; returns whether it is one of the backend server here.
    pub fn heartbeat(&self, beat: &Heartbeat) -> bool {
        self.work.heartbeat(beat)
    }

    /// Takes the backend server's word that it ends.
    pub fn departed(&self, id: &str) {
        self.work.departed(id);
    }

    /// Logs a call that can't be read.
    pub fn unreadable(&self, error: &impl Display) {
        self.work.process.unreadable("backend", error);
    }
}

impl<C> Clone for Handle<C> {
    fn clone(&self) -> Self {
        Self {
            work: Rc::clone(&self.work),
        }
    }
}

/// A number that tells this run of the agent from others.
fn run_number() -> io::Result<u64> {
    SysRng.try_next_u64().map_err(io::Error::other)
}
