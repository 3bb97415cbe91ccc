//! The receive threads on loopback sockets; the tests supply the resources of the control plane.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_app::App;
use lavenderseam_balancer::{BalancerPlugin, Counters, DatagramEvent, Settings};
use lavenderseam_control::{CurrentView, ForwardingGate, Identity, ProbeReplies, Role};
use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::flow::{Key as FlowKey, Reason, Token};
use lavenderseam_core::id::{Balancer, Domain, Group, Incarnation, Region, Tag, Target};
use lavenderseam_core::record::{self, Document, DomainState, Phase, Record, Schema, Slots};
use lavenderseam_core::view::View;
use lavenderseam_telemetry::Metrics;
use lavenderseam_wire::{Frame, FrameHeader, Hint, Kind, SymmetricKey, connection_id, fabric};

/// Receive timeout of the test sockets; a datagram that doesn't arrive within it fails the test.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// A balancer with stand-ins for the fabric and three agents.
struct Fixture {
    _app: App,
    key: SymmetricKey,
    fabric: UdpSocket,
    agents: Vec<UdpSocket>,
    current_view: Arc<CurrentView>,
    forwarding_gate: Arc<ForwardingGate>,
    counters: Arc<Counters>,
    balancer: SocketAddr,
    peer: SocketAddr,
    catalog: Catalog,
}

fn bind_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    socket
}

/// Returns a loopback address that no other test uses: the process id determines the host part.
fn unused_address() -> SocketAddr {
    static PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 128 | high, low, 1], port))
}

fn service() -> SocketAddr {
    "192.0.2.1:443".parse().unwrap()
}

fn target(index: usize) -> Target {
    Target::new(&format!("target-{index}")).unwrap()
}

fn add_record<R: Record>(catalog: &mut Catalog, name: &str, record: &R) {
    let mut document = Document::new(R::KIND, name, Schema(1));
    record.write(&mut document);
    let revision = Revision(catalog.highest_revision().0 + 1);
    catalog.apply(Entry::written(revision, document));
}

fn catalog(agents: &[UdpSocket]) -> Catalog {
    let mut catalog = Catalog::default();
    let group = Group::new("group").unwrap();
    let group_record = record::Group {
        slots: Slots(4),
        connections: 2_000,
        cold_slots: Slots(1),
        drain_timeout: Duration::from_secs(30),
    };
    add_record(&mut catalog, "group", &group_record);
    let addresses = vec![service()];
    let service_group = group.clone();
    add_record(
        &mut catalog,
        "service",
        &record::Service {
            addresses,
            group: service_group,
        },
    );
    for (index, agent) in agents.iter().enumerate() {
        let peer = agent.local_addr().unwrap();
        let target_record = record::Target {
            group: group.clone(),
            domain: Domain::new("suva-b").unwrap(),
            region: Region::new("fiji").unwrap(),
            peer,
            rpc: peer,
            incarnation: Incarnation(1),
            phase: Phase::Serving,
        };
        add_record(&mut catalog, target(index).as_str(), &target_record);
    }
    catalog
}

fn settings(fabric: SocketAddr, peer: SocketAddr, source: SocketAddr) -> Settings {
    let text = format!(
        r#"
        name = "balancer-1"
        fabric = "{fabric}"
        fabric_sources = ["{source}"]
        [control]
        domain = "suva-a"
        region = "fiji"
        peer = "{peer}"
        rpc = "127.0.0.1:1"
        store = "127.0.0.1:1"
        key_file = "key"
        "#
    );
    text.parse().unwrap()
}

impl Fixture {
    fn new() -> Self {
        let key = SymmetricKey::new([9; 32]);
        let (balancer, peer) = (unused_address(), unused_address());
        let fabric = bind_socket();
        let agents: Vec<UdpSocket> = (0..3).map(|_| bind_socket()).collect();
        let catalog = catalog(&agents);
        let mut app = App::new();
        app.insert_resource(Identity {
            role: Role::Balancer(Balancer::new("balancer-1").unwrap()),
            domain: Domain::new("suva-a").unwrap(),
            region: Region::new("fiji").unwrap(),
            peer_address: peer,
            rpc_address: unused_address(),
            incarnation: Incarnation(1),
            shared_key: key.clone(),
        });
        app.insert_resource(Metrics::disabled("test"));
        let current_view = app.insert_resource(CurrentView::new());
        current_view.publish(View::new(&catalog));
        app.insert_resource(ProbeReplies::new());
        let forwarding_gate = app.insert_resource(ForwardingGate::new());
        forwarding_gate.set_open(true);
        let settings = settings(balancer, peer, fabric.local_addr().unwrap());
        app.add_plugin(&BalancerPlugin::new(settings)).unwrap();
        let counters = app.resource::<Counters>().unwrap();
        Self {
            _app: app,
            key,
            fabric,
            agents,
            current_view,
            forwarding_gate,
            counters,
            balancer,
            peer,
            catalog,
        }
    }

    /// Sends a caller's datagram to the balancer, as the fabric does, and renews the gate.
    fn send(&self, payload: &[u8]) {
        let endpoints = fabric::Endpoints {
            caller: "10.0.0.1:5000".parse().unwrap(),
            service: service(),
        };
        let mut datagram = Vec::new();
        fabric::Packet::new(endpoints, payload)
            .encode(&mut datagram)
            .unwrap();
        self.forwarding_gate
            .set_open(self.forwarding_gate.is_open());
        self.fabric.send_to(&datagram, self.balancer).unwrap();
    }

    fn check_health(&self) -> Vec<u8> {
        self.fabric.send_to(b"PING", self.balancer).unwrap();
        let mut answer = [0; 16];
        let (length, _) = self.fabric.recv_from(&mut answer).unwrap();
        answer[..length].to_vec()
    }

    /// Waits until a counter is no longer zero.
    fn wait_for_count(&self, count: impl Fn(&Counters) -> u64) {
        while count(&self.counters) == 0 {
            std::thread::yield_now();
        }
    }

    /// Returns the index of the agent that receives the next frame, and the frame's header.
    fn next_forwarded(&self) -> (usize, lavenderseam_wire::ForwardHeader) {
        let mut buffer = vec![0; 2_048];
        loop {
            for (index, agent) in self.agents.iter().enumerate() {
                agent
                    .set_read_timeout(Some(Duration::from_millis(5)))
                    .unwrap();
                if let Ok((length, _)) = agent.recv_from(&mut buffer) {
                    let frame = Frame::open(&self.key.derive("frames"), &buffer[..length]);
                    let FrameHeader::Forward(forward) = frame.unwrap().header else {
                        panic!("not a packet");
                    };
                    return (index, forward);
                }
            }
        }
    }
}

/// Builds the first datagram of a caller: an Initial packet.
fn initial_packet(id: [u8; 16]) -> Vec<u8> {
    [&[0xc0, 0, 0, 0, 1, 16], &id[..], &[0; 32]].concat()
}

/// Builds a later datagram of a caller, whose connection id encodes the owner.
fn short_header_packet(key: &SymmetricKey, owner: &Target) -> Vec<u8> {
    let token = Token {
        owner: Tag::new(owner),
        nonce: 5,
    };
    let id = connection_id::encode(&key.derive("connection ids"), token);
    [&[0x40], &id[..], &[0; 8]].concat()
}

#[gtest]
fn an_opener_and_its_repetition_reach_one_agent() {
    let fixture = Fixture::new();
    fixture.send(&initial_packet([3; 16]));
    let (first, forward) = fixture.next_forwarded();
    expect_that!(forward.kind, eq(Kind::Opener));
    expect_that!(forward.service, eq(service()));
    expect_that!(forward.balancer, eq(fixture.peer));
    expect_that!(forward.revision, eq(fixture.catalog.highest_revision()));
    fixture.send(&initial_packet([3; 16]));
    expect_that!(fixture.next_forwarded().0, eq(first));
}

#[gtest]
fn a_packet_with_a_token_reaches_its_owner_only() {
    let fixture = Fixture::new();
    for index in [2, 0, 1] {
        fixture.send(&short_header_packet(&fixture.key, &target(index)));
        expect_that!(fixture.next_forwarded().0, eq(index));
    }
    let forged = short_header_packet(&SymmetricKey::new([1; 32]), &target(0));
    fixture.send(&forged);
    fixture.wait_for_count(|counters| counters.events(DatagramEvent::UnknownConnection));
}

#[gtest]
fn a_hint_moves_a_flow_and_the_losing_owner_is_told() {
    let fixture = Fixture::new();
    let seed = fixture.key.flow_hash_seed();
    let caller = "10.0.0.1:5000".parse().unwrap();
    let flow = FlowKey::new(seed, caller, service()).with_connection_id(&[3; 16]);
    let agent = &fixture.agents[0];
    let mut buffer = Vec::new();
    for (index, established) in [(1, false), (2, true)] {
        let hint = Hint {
            flow,
            owner: Tag::new(&target(index)),
            established,
            flows: 1,
        };
        let frame = Frame::new(FrameHeader::Hint(hint));
        frame
            .seal(&fixture.key.derive("frames"), &mut buffer)
            .unwrap();
        agent.send_to(&buffer, fixture.peer).unwrap();
        fixture.wait_for_count(|counters| counters.events(DatagramEvent::HintHandled));
    }
    fixture.wait_for_count(|counters| counters.events(DatagramEvent::YieldSent));
    let mut answer = [0; 512];
    let (length, _) = fixture.agents[1].recv_from(&mut answer).unwrap();
    let frame = Frame::open(&fixture.key.derive("frames"), &answer[..length]).unwrap();
    expect_that!(frame.header, eq(&FrameHeader::Yield(flow)));
    fixture.send(&initial_packet([3; 16]));
    expect_that!(fixture.next_forwarded().0, eq(2));
}

#[gtest]
fn unknown_sources_and_malformed_datagrams_are_counted_and_dropped() {
    let fixture = Fixture::new();
    let unknown_source = bind_socket();
    unknown_source.send_to(b"PING", fixture.balancer).unwrap();
    fixture.wait_for_count(|counters| counters.events(DatagramEvent::UnknownSource));
    fixture.send(&[0x40, 1, 2]);
    fixture.wait_for_count(|counters| counters.events(DatagramEvent::Malformed));
}

#[gtest]
fn health_checks_report_whether_the_balancer_serves() {
    let mut fixture = Fixture::new();
    expect_that!(fixture.check_health(), eq(b"PONG\x01"));
    let out = record::Domain {
        state: DomainState::Out,
        reason: None,
    };
    add_record(&mut fixture.catalog, "suva-a", &out);
    fixture.current_view.publish(View::new(&fixture.catalog));
    expect_that!(fixture.check_health(), eq(b"PONG\x00"));
    fixture.forwarding_gate.set_open(false);
    expect_that!(fixture.check_health(), eq(b"PONG\x00"));
    fixture.send(&initial_packet([3; 16]));
    fixture.wait_for_count(|counters| counters.events(DatagramEvent::GateClosed));
}

#[gtest]
fn a_failure_domain_that_is_out_receives_nothing() {
    let mut fixture = Fixture::new();
    let out = record::Domain {
        state: DomainState::Out,
        reason: None,
    };
    add_record(&mut fixture.catalog, "suva-b", &out);
    fixture.current_view.publish(View::new(&fixture.catalog));
    fixture.send(&initial_packet([3; 16]));
    fixture.wait_for_count(|counters| counters.drops(Reason::NoTarget));
    fixture.send(&short_header_packet(&fixture.key, &target(1)));
    while fixture.counters.drops(Reason::NoTarget) < 2 {
        std::thread::yield_now();
    }
    expect_that!(fixture.counters.events(DatagramEvent::Forwarded), eq(0));
}
