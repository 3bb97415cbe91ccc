//! What operators are told: status of processes, the way of a flow, changes as they come.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerHandle};
use lavenderseam_cli::command::explain::{Explain, explain};
use lavenderseam_cli::command::status::{Status, status};
use lavenderseam_cli::command::watch::{Watch, watch};
use lavenderseam_cli::edit::Editor;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::id::{self, Incarnation};
use lavenderseam_core::record::{
    Balancer, Document, Domain, DomainState, Drain, Group, Kind, Phase, Record, Schema, Service,
    Slots, Target,
};
use lavenderseam_platform::fake::{Fake, Faults};
use lavenderseam_platform::{Condition, Store};
use serde_json::json;

const SHORT: Duration = Duration::from_millis(300);

async fn put<R: Record>(store: &Fake, name: &str, record: &R) -> Revision {
    let mut document = Document::new(R::KIND, name, Schema(2));
    if !matches!(
        R::KIND,
        Kind::Service | Kind::BackendGroup | Kind::FailureDomain
    ) {
        document.schema = Schema(1);
    }
    record.write(&mut document);
    store.put(&document, Condition::Absent).await.unwrap()
}

fn service_address() -> SocketAddr {
    SocketAddr::from(([203, 0, 113, 1], 443))
}

async fn ductview(store: &Fake) -> Revision {
    let bears = Group {
        slots: Slots(9),
        connections: 2000,
        cold_slots: Slots(1),
        drain: Duration::from_secs(30),
    };
    put(store, "ductview", &bears).await;
    let service = Service {
        addresses: vec![service_address()],
        group: id::Group::new("ductview").unwrap(),
    };
    put(store, "ductview", &service).await
}

async fn target(store: &Fake, number: u8, domain: &str) {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::from(number)));
    let record = Target {
        group: id::Group::new("ductview").unwrap(),
        domain: id::Domain::new(domain).unwrap(),
        region: id::Region::new("fiji").unwrap(),
        peer: address,
        rpc: address,
        incarnation: Incarnation(1),
        phase: Phase::Serving,
    };
    put(store, &format!("t-{number}"), &record).await;
}

async fn balancer(store: &Fake, name: &str, rpc: SocketAddr) {
    let record = Balancer {
        domain: id::Domain::new("suva-a").unwrap(),
        region: id::Region::new("fiji").unwrap(),
        peer: rpc,
        rpc,
        incarnation: Incarnation(1),
    };
    put(store, name, &record).await;
}

/// A process that holds the service `ductview` at a revision.
async fn process(revision: Revision) -> (SocketAddr, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    let held = json!({
        "name": "entry",
        "role": "balancer",
        "digest": 5,
        "head": revision,
        "view": revision,
        "gate": true,
        "records": { "Service": { "ductview": revision } },
    });
    let mut module = RpcModule::new(held);
    module
        .register_method("status", |_, held, _| held.clone())
        .unwrap();
    (address, server.start(module))
}

fn of_service() -> Status {
    Status {
        record: vec!["Service".to_owned()],
    }
}

#[gtest]
#[tokio::test]
async fn status_counts_the_processes_in_which_a_record_is_in_force() {
    let store = Fake::new();
    let revision = ductview(&store).await;
    let (present, _running) = process(revision).await;
    let (behind, _also_running) = process(Revision(revision.0 - 1)).await;
    balancer(&store, "entry-1", present).await;
    balancer(&store, "entry-2", behind).await;
    balancer(&store, "entry-3", SocketAddr::from(([127, 0, 0, 1], 1))).await;
    let editor = Editor::new(&store, SHORT);
    let report = status(&editor, &of_service(), &[]).await.unwrap();
    expect_that!(
        report.text,
        contains_substring("in force on 1 of 3 processes")
    );
    expect_that!(report.text, contains_substring("no answer"));
}

#[gtest]
#[tokio::test]
async fn status_asks_known_processes_while_the_store_is_away() {
    let store = Fake::new();
    store.set(Faults {
        away: true,
        ..Faults::default()
    });
    let (address, _running) = process(Revision(7)).await;
    let editor = Editor::new(&store, SHORT);
    let report = status(&editor, &of_service(), &[address]).await.unwrap();
    expect_that!(report.text, contains_substring("store unavailable"));
    expect_that!(
        report.text,
        contains_substring("Service/ductview revision 7 in force on 1 of 1 processes")
    );
    expect_that!(status(&editor, &of_service(), &[]).await, err(anything()));
}

#[gtest]
#[tokio::test]
async fn explain_names_the_target_and_why_others_are_not_taken() {
    let store = Fake::new();
    ductview(&store).await;
    target(&store, 1, "suva-a").await;
    target(&store, 2, "suva-b").await;
    target(&store, 3, "suva-c").await;
    let out = Domain {
        state: DomainState::Out,
        reason: None,
    };
    put(&store, "suva-b", &out).await;
    let drain = Drain {
        target: id::Target::new("t-3").unwrap(),
    };
    put(&store, "t-3", &drain).await;
    let arguments = Explain {
        caller: SocketAddr::from(([198, 51, 100, 7], 40_000)),
        service: service_address(),
        connection: None,
    };
    let editor = Editor::new(&store, SHORT);
    let report = explain(&editor, &arguments, 1).await.unwrap();
    expect_that!(report.text, contains_substring("a new flow goes to t-1"));
    expect_that!(
        report.text,
        contains_substring("t-2 in suva-b: its failure domain is out")
    );
    expect_that!(report.text, contains_substring("t-3 in suva-c: draining"));
}

#[gtest]
#[tokio::test]
async fn watch_prints_each_change_once() {
    let store = Fake::new();
    ductview(&store).await;
    let editor = Editor::new(&store, SHORT);
    let arguments = Watch {
        kind: Some(Kind::Target),
        count: Some(2),
    };
    let mut lines = Vec::new();
    let watching = watch(&editor, &arguments, |report| lines.push(report.text));
    let writing = async {
        tokio::task::yield_now().await;
        target(&store, 1, "suva-a").await;
        target(&store, 2, "suva-b").await;
    };
    let (watched, ()) = tokio::join!(watching, writing);
    watched.unwrap();
    expect_that!(
        lines,
        elements_are![starts_with("Target/t-1"), starts_with("Target/t-2")]
    );
}
