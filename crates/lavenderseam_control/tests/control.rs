//! Tests of the control plane with several processes over loopback and an in-memory store.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use lavenderseam_app::{App, StopHandle};
use lavenderseam_control::{
    AnnouncedPhase, ControlPlugin, CurrentView, ForwardingGate, Role, Settings, Status,
};
use lavenderseam_core::id;
use lavenderseam_core::record::{
    Balancer, Document, Domain, DomainState, Id, Kind, Phase, Record, Schema, Target,
};
use lavenderseam_platform::conditional_write::{Decision, RetryPolicy, update};
use lavenderseam_platform::fake::{FakeStore, Faults};
use lavenderseam_platform::{Condition, Store};
use tokio::task::JoinHandle;

/// Timeout for each condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Control plane of one process, running in a task.
struct Process {
    rpc: SocketAddr,
    current_view: Arc<CurrentView>,
    forwarding_gate: Arc<ForwardingGate>,
    announcement: Arc<AnnouncedPhase>,
    stopper: StopHandle,
    run: JoinHandle<()>,
}

fn key_file() -> PathBuf {
    let path = std::env::temp_dir().join(format!("lavenderseam-key-{}", std::process::id()));
    std::fs::write(&path, "ab".repeat(32)).unwrap();
    path
}

/// Returns a loopback address whose port was free just now.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn balancer(name: &str) -> Role {
    Role::Balancer(id::Balancer::new(name).unwrap())
}

fn agent(name: &str) -> Role {
    Role::Agent {
        target: id::Target::new(name).unwrap(),
        group: id::Group::new("trail-status").unwrap(),
    }
}

fn start_process(store: &Arc<FakeStore>, role: Role, seeds: Vec<SocketAddr>) -> Process {
    let rpc = free_address();
    let settings = Settings {
        domain: id::Domain::new("tariat").unwrap(),
        region: id::Region::new("khangai").unwrap(),
        peer: rpc,
        rpc,
        store: rpc,
        key_file: key_file(),
        seeds,
    };
    let plugin = ControlPlugin::new(settings, role).with_store(Arc::clone(store));
    let mut app = App::new();
    app.add_plugin(&plugin).unwrap();
    Process {
        rpc,
        current_view: app.resource().unwrap(),
        forwarding_gate: app.resource().unwrap(),
        announcement: app.resource().unwrap(),
        stopper: app.stop_handle(),
        run: tokio::spawn(async move { app.run().await.unwrap() }),
    }
}

/// Waits until the condition holds; fails the test after [`WAIT_TIMEOUT`].
async fn wait_until(description: &str, condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(
        tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_ok(),
        "timed out waiting until {description}"
    );
}

async fn status(process: &Process) -> Status {
    let client = HttpClientBuilder::default()
        .build(format!("http://{}", process.rpc))
        .unwrap();
    client
        .request("status", jsonrpsee::core::params::ArrayParams::new())
        .await
        .unwrap()
}

async fn read<R: Record>(store: &FakeStore, name: &str) -> Option<R> {
    let entry = store.get(&Id::new(R::KIND, name)).await.unwrap()?;
    R::read(&entry.document?).ok()
}

async fn set_domain(store: &FakeStore, state: DomainState) {
    let id = Id::new(Kind::FailureDomain, "tariat");
    let change = |current: Option<&lavenderseam_core::catalog::Entry>| {
        let current = current.and_then(|entry| entry.document.clone());
        let mut document = current.unwrap_or_else(|| Document::new(id.kind, &id.name, Schema(1)));
        Domain {
            state,
            reason: None,
        }
        .write(&mut document);
        Decision::Put(document)
    };
    update(store, &id, RetryPolicy::default(), change)
        .await
        .unwrap();
}

fn is_domain_out(process: &Process) -> bool {
    process
        .current_view
        .get()
        .is_domain_out(&id::Domain::new("tariat").unwrap())
}

/// Starts three balancers and three agents, and waits until each holds the records of all.
async fn start_cluster(store: &Arc<FakeStore>) -> Vec<Process> {
    let balancers = (0..3).map(|index| balancer(&format!("balancer-{index}")));
    let agents = (0..3).map(|index| agent(&format!("target-{index}")));
    let roles = balancers.chain(agents);
    let processes: Vec<Process> = roles
        .map(|role| start_process(store, role, Vec::new()))
        .collect();
    for process in &processes {
        wait_until("the cluster starts", async || {
            let status = status(process).await;
            let kinds = ["Balancer", "Target"]
                .map(|kind| status.records.get(kind).map_or(0, BTreeMap::len));
            process.forwarding_gate.is_open() && kinds == [3, 3]
        })
        .await;
    }
    processes
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_reach_all_processes_and_a_new_one_during_a_store_outage() {
    let store = Arc::new(FakeStore::new());
    let processes = start_cluster(&store).await;
    set_domain(&store, DomainState::Out).await;
    for process in &processes {
        wait_until("the domain is out", async || is_domain_out(process)).await;
    }
    store.set_faults(Faults {
        unreachable: true,
        ..Faults::default()
    });
    let joined = start_process(&store, balancer("balancer-9"), vec![processes[4].rpc]);
    wait_until("the new process starts from its peer", async || {
        joined.forwarding_gate.is_open() && is_domain_out(&joined)
    })
    .await;
    let digests = [
        status(&joined).await.digest,
        status(&processes[0]).await.digest,
    ];
    assert_that!(digests[0], eq(digests[1]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_stop_is_announced_and_then_deletes_the_record() {
    let store = Arc::new(FakeStore::new());
    let processes = start_cluster(&store).await;
    processes[3].announcement.set(Phase::Leaving);
    wait_until("the phase is in the store", async || {
        let target: Option<Target> = read(&store, "target-0").await;
        target.is_some_and(|target| target.phase == Phase::Leaving)
    })
    .await;
    wait_until("the phase is in every view", async || {
        let tag = id::Tag::new(&id::Target::new("target-0").unwrap());
        processes.iter().all(|process| {
            let view = process.current_view.get();
            view.target_by_tag(tag)
                .is_some_and(|target| !target.accepts_new_flows())
        })
    })
    .await;
    for stopped in [0, 3] {
        processes[stopped].stopper.stop();
    }
    wait_until("the stopped processes end", async || {
        processes[0].run.is_finished() && processes[3].run.is_finished()
    })
    .await;
    assert_that!(read::<Balancer>(&store, "balancer-0").await, none());
    assert_that!(read::<Target>(&store, "target-0").await, none());
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn registration_waits_for_the_store_and_survives_a_lost_response() {
    let store = Arc::new(FakeStore::new());
    store.set_faults(Faults {
        unreachable: true,
        ..Faults::default()
    });
    let process = start_process(&store, balancer("balancer-0"), Vec::new());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_that!(process.forwarding_gate.is_open(), eq(false));
    store.set_faults(Faults {
        lost_responses: 1,
        ..Faults::default()
    });
    wait_until("the process is announced", async || {
        read::<Balancer>(&store, "balancer-0").await.is_some()
    })
    .await;
    wait_until("the gate opens", async || process.forwarding_gate.is_open()).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn new_run_takes_over_the_record_and_the_old_run_leaves_it_alone() {
    let store = Arc::new(FakeStore::new());
    let first = start_process(&store, agent("target-0"), Vec::new());
    wait_until("the first run is announced", async || {
        read::<Target>(&store, "target-0").await.is_some()
    })
    .await;
    let first_incarnation = read::<Target>(&store, "target-0")
        .await
        .unwrap()
        .incarnation;
    let _second = start_process(&store, agent("target-0"), Vec::new());
    wait_until("the second run takes over", async || {
        read::<Target>(&store, "target-0")
            .await
            .unwrap()
            .incarnation
            != first_incarnation
    })
    .await;
    first.announcement.set(Phase::Leaving);
    first.stopper.stop();
    wait_until("the first run ends", async || first.run.is_finished()).await;
    let current = read::<Target>(&store, "target-0").await.unwrap();
    assert_that!(current.phase, eq(Phase::Serving));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn record_deleted_by_another_writer_is_registered_again() {
    let store = Arc::new(FakeStore::new());
    let _process = start_process(&store, agent("target-0"), Vec::new());
    let id = Id::new(Kind::Target, "target-0");
    wait_until("the process is announced", async || {
        store.get(&id).await.unwrap().is_some()
    })
    .await;
    let current = store.get(&id).await.unwrap().unwrap();
    store.delete(&id, current.revision).await.unwrap();
    wait_until("it is announced anew", async || {
        store.get(&id).await.unwrap().is_some()
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn registration_keeps_unknown_fields_of_the_record() {
    let store = Arc::new(FakeStore::new());
    let mut document = Document::new(Kind::Target, "target-0", Schema(1));
    document.spec.insert("note".to_owned(), "kept".into());
    store.put(&document, Condition::Absent).await.unwrap();
    let _process = start_process(&store, agent("target-0"), Vec::new());
    wait_until("the process is announced", async || {
        read::<Target>(&store, "target-0").await.is_some()
    })
    .await;
    let current = store.get(&document.id()).await.unwrap().unwrap();
    assert_that!(
        current.document.unwrap().spec["note"].as_str(),
        some(eq("kept"))
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn call_with_another_key_is_refused() {
    let store = Arc::new(FakeStore::new());
    let process = start_process(&store, balancer("balancer-0"), Vec::new());
    let client =
        lavenderseam_control::RpcClient::new(&lavenderseam_wire::SymmetricKey::new([1; 32]));
    let parameters = serde_json::json!({});
    wait_until("the process serves", async || {
        let call = client.call::<_, serde_json::Value>(process.rpc, "pull_records", &parameters);
        matches!(
            call.await,
            Err(lavenderseam_control::rpc::Error::Rejected(-32001))
        )
    })
    .await;
}

/// Guards against a process that stays unregistered because a restore of the store discarded its
/// record.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_registration_that_a_restore_discarded_is_written_again() {
    let store = Arc::new(FakeStore::new());
    let snapshot = store.snapshot();
    let processes = start_cluster(&store).await;
    set_domain(&store, DomainState::Out).await;
    for process in &processes {
        wait_until("the domain is out", async || is_domain_out(process)).await;
    }
    store.restore(snapshot);
    for index in 0..3 {
        wait_until("the target is registered", async || {
            read::<Target>(&store, &format!("target-{index}"))
                .await
                .is_some()
        })
        .await;
        wait_until("the balancer is registered", async || {
            read::<Balancer>(&store, &format!("balancer-{index}"))
                .await
                .is_some()
        })
        .await;
    }
    // The lost change is still in force; the next one takes effect.
    for process in &processes {
        expect_that!(is_domain_out(process), eq(true));
    }
    set_domain(&store, DomainState::In).await;
    for process in &processes {
        wait_until("the domain is in", async || !is_domain_out(process)).await;
    }
}
