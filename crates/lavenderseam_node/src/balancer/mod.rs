//! The balancer: packets of callers go to agents.

mod records;
mod work;

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use lavenderseam_passthrough::balancer::{Balancer, Place};

use crate::codec::Codec;
use crate::http;
use crate::log::Event;
use crate::process::{Process, RELOAD, TICK};
use crate::socket::Socket;
use crate::stop::{Request, Requests};
pub use records::{Records, Source};
use work::Work;

/// Where a balancer listens, and whom it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the process.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Address for packets of callers.
    pub packets: SocketAddrV4,
    /// Address for messages between processes, by UDP; for remote calls, by TCP.
    pub peers: SocketAddrV4,
    /// Address that tells whether it is ready.
    pub ready: SocketAddrV4,
    /// Address of the metrics.
    pub metrics: SocketAddrV4,
    /// Balancers to begin with.
    pub seeds: Vec<SocketAddrV4>,
    /// How long a planned stop may take.
    pub grace: Duration,
}

/// A running balancer, as the source of its records sees it.
#[derive(Debug)]
pub struct Handle<C> {
    work: Rc<Work<C>>,
}

/// Runs a balancer until a planned stop; must run within a `LocalSet`.
///
/// `source` is started with a handle to give records to; `reload` reads the settings again and
/// returns the seeds, or what is wrong.
///
/// # Errors
///
/// Fails if an address can't be listened on or signals can't be caught.
pub async fn run<C, F, R, E>(
    settings: Settings,
    codec: C,
    source: impl FnOnce(Handle<C>) -> F,
    reload: R,
) -> io::Result<()>
where
    C: Codec,
    F: Future<Output = ()> + 'static,
    R: Fn() -> Option<Result<Vec<SocketAddrV4>, E>>,
    E: Error,
{
    let mut requests = Requests::new()?;
    let place = Place {
        domain: settings.domain.clone(),
        address: settings.peers,
        rpc: settings.peers,
    };
    let work = Rc::new(Work {
        codec,
        process: Process::new(settings.name.clone(), settings.peers).await?,
        balancer: RefCell::new(Balancer::new(place)),
        packets: Socket::bind(settings.packets).await?,
        reset: RefCell::default(),
        ready: Cell::new(false),
        stopping: Cell::new(false),
    });
    http::serve(settings.ready, work::Readiness(Rc::clone(&work))).await?;
    http::serve(settings.metrics, Rc::clone(&work.process.metrics)).await?;
    http::serve(settings.peers, records::Server(Rc::clone(&work))).await?;
    work.seed(&settings.seeds);
    work.process.log(&Event::Start {
        role: "balancer",
        domain: settings.domain,
        address: settings.peers,
    });
    let handle = Handle {
        work: Rc::clone(&work),
    };
    tokio::task::spawn_local(source(handle));
    let own = Rc::clone(&work);
    tokio::task::spawn_local(async move { own.serve_packets().await });
    let own = Rc::clone(&work);
    tokio::task::spawn_local(async move { own.serve_peers().await });
    let own = Rc::clone(&work);
    tokio::task::spawn_local(async move { own.tick(TICK).await });
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
    work.stop(settings.grace).await;
    Ok(())
}

impl<C> Clone for Handle<C> {
    fn clone(&self) -> Self {
        Self {
            work: Rc::clone(&self.work),
        }
    }
}
