//! Tests of the `status`, `explain` and `watch` commands.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerHandle};
use lavenderseam_cli::command::explain::{Explain, explain};
use lavenderseam_cli::command::status::{Status, status};
use lavenderseam_cli::command::watch::{Watch, watch};
use lavenderseam_cli::deadline_store::DeadlineStore;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::id::{self, Incarnation};
use lavenderseam_core::record::{
    Balancer, Document, Domain, DomainState, Drain, Group, Kind, Phase, Record, Schema, Service,
    Slots, Target,
};
use lavenderseam_platform::fake::{FakeStore, Faults};
use lavenderseam_platform::{Condition, Store};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_millis(300);

async fn put<R: Record>(store: &FakeStore, name: &str, record: &R) -> Revision {
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

async fn put_ductview(store: &FakeStore) -> Revision {
    let group = Group {
        slots: Slots(9),
        connections: 2000,
        cold_slots: Slots(1),
        drain_timeout: Duration::from_secs(30),
    };
    put(store, "ductview", &group).await;
    let service = Service {
        addresses: vec![service_address()],
        group: id::Group::new("ductview").unwrap(),
    };
    put(store, "ductview", &service).await
}

async fn put_target(store: &FakeStore, number: u8, domain: &str) {
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

async fn put_balancer(store: &FakeStore, name: &str, rpc: SocketAddr) {
    let record = Balancer {
        domain: id::Domain::new("suva-a").unwrap(),
        region: id::Region::new("fiji").unwrap(),
        peer: rpc,
        rpc,
        incarnation: Incarnation(1),
    };
    put(store, name, &record).await;
}

/// Starts a process whose status reports the service `ductview` at a revision.
async fn start_process(revision: Revision) -> (SocketAddr, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    let status_response = json!({
        "name": "entry",
        "role": "balancer",
        "digest": 5,
        "head": revision,
        "view": revision,
        "gate": true,
        "records": { "Service": { "ductview": revision } },
    });
    let mut module = RpcModule::new(status_response);
    module
        .register_method("status", |_, status_response, _| status_response.clone())
        .unwrap();
    (address, server.start(module))
}

fn status_of_services() -> Status {
    Status {
        record: vec!["Service".to_owned()],
    }
}

#[gtest]
#[tokio::test]
async fn status_counts_the_processes_in_which_a_record_is_in_force() {
    let store = FakeStore::new();
    let revision = put_ductview(&store).await;
    let (current, _current_server) = start_process(revision).await;
    let (outdated, _outdated_server) = start_process(Revision(revision.0 - 1)).await;
    put_balancer(&store, "entry-1", current).await;
    put_balancer(&store, "entry-2", outdated).await;
    put_balancer(&store, "entry-3", SocketAddr::from(([127, 0, 0, 1], 1))).await;
    let client = DeadlineStore::new(&store, TIMEOUT);
    let report = status(&client, &status_of_services(), &[]).await.unwrap();
    expect_that!(
        report.text,
        contains_substring("in force on 1 of 3 processes")
    );
    expect_that!(report.text, contains_substring("no answer"));
}

#[gtest]
#[tokio::test]
async fn status_queries_configured_processes_while_the_store_is_unavailable() {
    let store = FakeStore::new();
    store.set_faults(Faults {
        unreachable: true,
        ..Faults::default()
    });
    let (address, _current_server) = start_process(Revision(7)).await;
    let client = DeadlineStore::new(&store, TIMEOUT);
    let report = status(&client, &status_of_services(), &[address])
        .await
        .unwrap();
    expect_that!(report.text, contains_substring("store unavailable"));
    expect_that!(
        report.text,
        contains_substring("Service/ductview revision 7 in force on 1 of 1 processes")
    );
    expect_that!(
        status(&client, &status_of_services(), &[]).await,
        err(anything())
    );
}

#[gtest]
#[tokio::test]
async fn explain_reports_the_chosen_target_and_why_others_are_excluded() {
    let store = FakeStore::new();
    put_ductview(&store).await;
    put_target(&store, 1, "suva-a").await;
    put_target(&store, 2, "suva-b").await;
    put_target(&store, 3, "suva-c").await;
    let domain = Domain {
        state: DomainState::Out,
        reason: None,
    };
    put(&store, "suva-b", &domain).await;
    let drain = Drain {
        target: id::Target::new("t-3").unwrap(),
    };
    put(&store, "t-3", &drain).await;
    let arguments = Explain {
        caller: SocketAddr::from(([198, 51, 100, 7], 40_000)),
        service: service_address(),
        connection: None,
    };
    let client = DeadlineStore::new(&store, TIMEOUT);
    let report = explain(&client, &arguments, 1).await.unwrap();
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
    let store = FakeStore::new();
    put_ductview(&store).await;
    let client = DeadlineStore::new(&store, TIMEOUT);
    let arguments = Watch {
        kind: Some(Kind::Target),
        count: Some(2),
    };
    let mut lines = Vec::new();
    let watching = watch(&client, &arguments, |report| lines.push(report.text));
    let writing = async {
        tokio::task::yield_now().await;
        put_target(&store, 1, "suva-a").await;
        put_target(&store, 2, "suva-b").await;
    };
    let (watched, ()) = tokio::join!(watching, writing);
    watched.unwrap();
    expect_that!(
        lines,
        elements_are![starts_with("Target/t-1"), starts_with("Target/t-2")]
    );
}

/// Guards against a watch that prints every record as changed after a restore of the store, or
/// omits what the restore undid.
#[gtest]
#[tokio::test]
async fn watch_prints_what_a_restore_changed() {
    let store = FakeStore::new();
    let put = |name: &str| Document::new(Kind::FailureDomain, name, Schema(1));
    store.put(&put("a"), Condition::Absent).await.unwrap();
    let snapshot = store.snapshot();
    store.put(&put("b"), Condition::Absent).await.unwrap();
    let client = DeadlineStore::new(&store, Duration::from_secs(5));
    let arguments = Watch {
        kind: None,
        count: Some(2),
    };
    let mut lines = Vec::new();
    let watching = watch(&client, &arguments, |report| lines.push(report.text));
    let restoring = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        store.restore(snapshot);
        store.put(&put("c"), Condition::Absent).await.unwrap();
    };
    let (watched, ()) = tokio::join!(watching, restoring);
    watched.unwrap();
    lines.sort();
    expect_that!(
        lines,
        elements_are![
            contains_substring("FailureDomain/b revision 1:"),
            contains_substring("FailureDomain/c revision 1:2")
        ]
    );
}
