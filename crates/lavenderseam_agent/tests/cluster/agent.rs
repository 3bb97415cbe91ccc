//! An agent in this process, with the control plane's resources set by hand.

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderseam_agent::{AgentPlugin, Settings};
use lavenderseam_app::{App, Shutdown, Stopper};
use lavenderseam_control::{Announcement, Gate, Identity, Methods, Remote, Role, Views};
use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::id::{self, Incarnation, Tag};
use lavenderseam_core::record::{self, Document, DomainState, Kind, Phase, Record, Schema, Slots};
use lavenderseam_core::view::View;
use lavenderseam_telemetry::Metrics;
use tokio::runtime::Runtime;

use super::{Backend, Cluster, SERVICE};

const GROUP: &str = "grooming";
const DOMAIN: &str = "tariat";
const REGION: &str = "khangai";
const SLOTS: Slots = Slots(4);

/// What the records say of the agent's target.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    Serving,
    Draining,
    Out,
}

pub struct Agent {
    pub tag: Tag,
    pub peer: SocketAddr,
    pub incarnation: Incarnation,
    pub announcement: Arc<Announcement>,
    pub target: (id::Target, record::Target),
    views: Arc<Views>,
    service: SocketAddr,
    stopper: Stopper,
    running: Option<tokio::task::JoinHandle<Result<(), lavenderseam_app::Error>>>,
    /// The agent's tasks run on threads of their own, so that all of them can end without warning.
    runtime: Option<Runtime>,
    others: Vec<(id::Target, record::Target)>,
    standing: Standing,
}

impl Agent {
    pub(super) async fn start(cluster: &Cluster, name: &str, backend: &Backend) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let name = id::Target::new(name).unwrap();
        let peer = free_port();
        let incarnation = Incarnation(rand::random());
        let server = jsonrpsee::server::Server::builder().build("127.0.0.1:0");
        let server = runtime.spawn(server).await.unwrap().unwrap();
        let rpc = server.local_addr().unwrap();
        let identity = Identity {
            role: Role::Agent {
                target: name.clone(),
                group: id::Group::new(GROUP).unwrap(),
            },
            domain: id::Domain::new(DOMAIN).unwrap(),
            region: id::Region::new(REGION).unwrap(),
            peer,
            rpc,
            incarnation,
            key: cluster.key.clone(),
        };
        let mut app = App::new();
        let target = record::Target {
            group: id::Group::new(GROUP).unwrap(),
            domain: identity.domain.clone(),
            region: identity.region.clone(),
            peer,
            rpc,
            incarnation,
            phase: Phase::Serving,
        };
        app.insert(identity);
        let views = app.insert(Views::new());
        let gate = app.insert(Gate::default());
        app.spawn("gate", renew(gate, app.shutdown()));
        app.insert(Remote::new(&cluster.key));
        let methods = app.insert(Methods::default());
        let announcement = app.insert(Announcement::new());
        app.insert(Metrics::new("test"));
        let plugin = AgentPlugin::new(settings(cluster, &name, backend, peer, rpc));
        {
            let _entered = runtime.enter();
            app.add(&plugin).unwrap();
        }
        let mut module = jsonrpsee::RpcModule::new(());
        for methods in methods.take() {
            module.merge(methods).unwrap();
        }
        let stopper = app.stopper();
        runtime.spawn(async move { server.start(module).stopped().await });
        let agent = Self {
            tag: Tag::new(&name),
            peer,
            incarnation,
            announcement,
            target: (name, target),
            views,
            service: cluster.service(),
            stopper,
            running: Some(runtime.spawn(app.run())),
            runtime: Some(runtime),
            others: Vec::new(),
            standing: Standing::Serving,
        };
        agent.publish();
        agent
    }

    /// Makes another agent's target known to this one.
    pub fn know(&mut self, other: &Self) {
        self.others.push(other.target.clone());
        self.publish();
    }

    /// Changes what the records say of this agent's target.
    pub fn set(&mut self, standing: Standing) {
        self.standing = standing;
        self.publish();
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.stopper.stop();
    }

    /// Waits for the end of a planned stop.
    pub async fn stopped(&mut self) -> bool {
        let running = self.running.take().unwrap();
        running.await.unwrap().is_ok()
    }

    /// Ends the agent without warning.
    pub fn kill(self) {
        drop(self);
    }

    fn publish(&self) {
        let mut catalog = Catalog::default();
        let mut add = |document: Document| {
            let revision = Revision(catalog.head().0 + 1);
            catalog.apply(Entry::with_document(revision, document));
        };
        let group = id::Group::new(GROUP).unwrap();
        let service = record::Service {
            addresses: vec![self.service],
            group,
        };
        add(document(Kind::Service, SERVICE, &service));
        let bears = record::Group {
            slots: SLOTS,
            connections: 100,
            cold_slots: Slots(2),
            drain: std::time::Duration::from_secs(5),
        };
        add(document(Kind::BackendGroup, GROUP, &bears));
        let domain = record::Domain {
            state: if self.standing == Standing::Out {
                DomainState::Out
            } else {
                DomainState::In
            },
            reason: None,
        };
        add(document(Kind::FailureDomain, DOMAIN, &domain));
        for (name, target) in self.others.iter().chain([&self.target]) {
            add(document(Kind::Target, name.as_str(), target));
        }
        if self.standing == Standing::Draining {
            let target = self.target.0.clone();
            add(document(Kind::Drain, "drain", &record::Drain { target }));
        }
        self.views.publish(View::new(&catalog));
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Keeps the gate open until the app halts.
async fn renew(gate: Arc<Gate>, mut shutdown: Shutdown) {
    loop {
        gate.set(true);
        tokio::select! {
            () = tokio::time::sleep(std::time::Duration::from_millis(100)) => {}
            () = shutdown.halted() => return,
        }
    }
}

fn document(kind: Kind, name: &str, record: &impl Record) -> Document {
    let schema = match kind {
        Kind::Service | Kind::BackendGroup | Kind::FailureDomain => Schema(2),
        _ => Schema(1),
    };
    let mut document = Document::new(kind, name, schema);
    record.write(&mut document);
    document
}

fn settings(
    cluster: &Cluster,
    name: &id::Target,
    backend: &Backend,
    peer: SocketAddr,
    rpc: SocketAddr,
) -> Settings {
    Settings {
        name: name.clone(),
        group: id::Group::new(GROUP).unwrap(),
        egress: cluster.relay.egress,
        backend: backend.address,
        certificate_file: cluster.files.certificate.clone(),
        private_key_file: cluster.files.private_key.clone(),
        control: lavenderseam_control::Settings {
            domain: id::Domain::new(DOMAIN).unwrap(),
            region: id::Region::new(REGION).unwrap(),
            peer,
            rpc,
            store: "127.0.0.1:1".parse().unwrap(),
            key_file: "unused".into(),
            seeds: Vec::new(),
        },
        log: Default::default(),
        metrics: Default::default(),
    }
}

fn free_port() -> SocketAddr {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}
