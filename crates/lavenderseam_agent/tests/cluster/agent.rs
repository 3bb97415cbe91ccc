//! Runs an agent inside the test process and supplies the resources of the control plane.

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderseam_agent::{AgentPlugin, Settings};
use lavenderseam_app::{App, Shutdown, StopHandle};
use lavenderseam_control::{
    AnnouncedPhase, CurrentView, ForwardingGate, Identity, MethodRegistry, Role, RpcClient,
};
use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::id::{self, Incarnation, Tag};
use lavenderseam_core::record::{self, Document, DomainState, Kind, Phase, Record, Schema, Slots};
use lavenderseam_core::view::View;
use lavenderseam_telemetry::Metrics;
use tokio::runtime::Runtime;

use super::{Cluster, SERVICE, TestBackend};

const GROUP: &str = "grooming";
const DOMAIN: &str = "tariat";
const REGION: &str = "khangai";
const SLOTS: Slots = Slots(4);

/// State of the agent's target according to the published records.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum PublishedState {
    Serving,
    Draining,
    Out,
}

/// A running agent with the records that are published to it.
pub struct Agent {
    pub tag: Tag,
    pub peer: SocketAddr,
    pub incarnation: Incarnation,
    pub announcement: Arc<AnnouncedPhase>,
    pub target: (id::Target, record::Target),
    current_view: Arc<CurrentView>,
    service: SocketAddr,
    stopper: StopHandle,
    app_task: Option<tokio::task::JoinHandle<Result<(), lavenderseam_app::Error>>>,
    /// Separate runtime of the agent, so that dropping it ends all of the agent's tasks at once,
    /// like a crash.
    runtime: Option<Runtime>,
    other_targets: Vec<(id::Target, record::Target)>,
    published_state: PublishedState,
}

impl Agent {
    pub(super) async fn start(cluster: &Cluster, name: &str, backend: &TestBackend) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let name = id::Target::new(name).unwrap();
        let peer = unused_address();
        let incarnation = Incarnation(rand::random());
        let rpc_server = jsonrpsee::server::Server::builder().build("127.0.0.1:0");
        let rpc_server = runtime.spawn(rpc_server).await.unwrap().unwrap();
        let rpc = rpc_server.local_addr().unwrap();
        let identity = Identity {
            role: Role::Agent {
                target: name.clone(),
                group: id::Group::new(GROUP).unwrap(),
            },
            domain: id::Domain::new(DOMAIN).unwrap(),
            region: id::Region::new(REGION).unwrap(),
            peer_address: peer,
            rpc_address: rpc,
            incarnation,
            shared_key: cluster.key.clone(),
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
        app.insert_resource(identity);
        let current_view = app.insert_resource(CurrentView::new());
        let forwarding_gate = app.insert_resource(ForwardingGate::default());
        app.add_task("gate", keep_gate_open(forwarding_gate, app.shutdown()));
        app.insert_resource(RpcClient::new(&cluster.key));
        let methods = app.insert_resource(MethodRegistry::default());
        let announcement = app.insert_resource(AnnouncedPhase::new());
        app.insert_resource(Metrics::disabled("test"));
        let plugin = AgentPlugin::new(settings(cluster, &name, backend, peer, rpc));
        {
            let _entered = runtime.enter();
            app.add_plugin(&plugin).unwrap();
        }
        let mut rpc_module = jsonrpsee::RpcModule::new(());
        for methods in methods.take_modules() {
            rpc_module.merge(methods).unwrap();
        }
        let stopper = app.stop_handle();
        runtime.spawn(async move { rpc_server.start(rpc_module).stopped().await });
        let agent = Self {
            tag: Tag::new(&name),
            peer,
            incarnation,
            announcement,
            target: (name, target),
            current_view,
            service: cluster.service_address(),
            stopper,
            app_task: Some(runtime.spawn(app.run())),
            runtime: Some(runtime),
            other_targets: Vec::new(),
            published_state: PublishedState::Serving,
        };
        agent.publish();
        agent
    }

    /// Publishes another agent's target to this agent.
    pub fn add_target(&mut self, other_agent: &Self) {
        self.other_targets.push(other_agent.target.clone());
        self.publish();
    }

    /// Publishes a new state of this agent's target.
    pub fn set_published_state(&mut self, published_state: PublishedState) {
        self.published_state = published_state;
        self.publish();
    }

    /// Starts a planned stop.
    pub fn stop(&self) {
        self.stopper.stop();
    }

    /// Waits until a planned stop has ended; `true` if it succeeded.
    pub async fn stopped(&mut self) -> bool {
        let app_task = self.app_task.take().unwrap();
        app_task.await.unwrap().is_ok()
    }

    /// Ends all of the agent's tasks at once, like a crash.
    pub fn kill(self) {
        drop(self);
    }

    /// Publishes a view of the present records to the agent.
    fn publish(&self) {
        let mut catalog = Catalog::default();
        let mut add_document = |document: Document| {
            let revision = Revision(catalog.highest_revision().0 + 1);
            catalog.apply(Entry::written(revision, document));
        };
        let group = id::Group::new(GROUP).unwrap();
        let service = record::Service {
            addresses: vec![self.service],
            group,
        };
        add_document(new_document(Kind::Service, SERVICE, &service));
        let group_record = record::Group {
            slots: SLOTS,
            connections: 100,
            cold_slots: Slots(2),
            drain_timeout: std::time::Duration::from_secs(5),
        };
        add_document(new_document(Kind::BackendGroup, GROUP, &group_record));
        let domain = record::Domain {
            state: if self.published_state == PublishedState::Out {
                DomainState::Out
            } else {
                DomainState::In
            },
            reason: None,
        };
        add_document(new_document(Kind::FailureDomain, DOMAIN, &domain));
        for (name, target) in self.other_targets.iter().chain([&self.target]) {
            add_document(new_document(Kind::Target, name.as_str(), target));
        }
        if self.published_state == PublishedState::Draining {
            let target = self.target.0.clone();
            add_document(new_document(
                Kind::Drain,
                "drain",
                &record::Drain { target },
            ));
        }
        self.current_view.publish(View::new(&catalog));
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Reopens the gate periodically, because it closes unless it is renewed, until the app halts.
async fn keep_gate_open(forwarding_gate: Arc<ForwardingGate>, mut shutdown: Shutdown) {
    loop {
        forwarding_gate.set_open(true);
        tokio::select! {
            () = tokio::time::sleep(std::time::Duration::from_millis(100)) => {}
            () = shutdown.wait_for_terminating() => return,
        }
    }
}

fn new_document(kind: Kind, name: &str, record: &impl Record) -> Document {
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
    backend: &TestBackend,
    peer: SocketAddr,
    rpc: SocketAddr,
) -> Settings {
    Settings {
        name: name.clone(),
        group: id::Group::new(GROUP).unwrap(),
        egress: cluster.relay.egress,
        backend: backend.address,
        certificate_file: cluster.certificate_files.certificate.clone(),
        private_key_file: cluster.certificate_files.private_key.clone(),
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

fn unused_address() -> SocketAddr {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}
