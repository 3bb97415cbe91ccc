//! Measures the packet rate of one balancer receive thread on loopback, compared with a minimal
//! relay that receives and sends the same datagrams: `cargo run --release --example loopback_rate`.
//!
//! A sender sends a fixed number of packets as fast as possible to each in turn; a sink counts the
//! packets that arrive.

use std::error::Error;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lavenderseam_app::App;
use lavenderseam_balancer::{BalancerPlugin, Settings};
use lavenderseam_control::{CurrentView, ForwardingGate, Identity, ProbeReplies, Role};
use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::flow::Token;
use lavenderseam_core::id::{Balancer, Domain, Group, Incarnation, Region, Tag, Target};
use lavenderseam_core::record::{self, Document, Phase, Record, Schema, Slots};
use lavenderseam_core::view::View;
use lavenderseam_telemetry::Metrics;
use lavenderseam_wire::{SymmetricKey, connection_id, fabric};

/// Number of packets that one round sends.
const PACKETS_PER_ROUND: u32 = 200_000;
/// Number of rounds for the relay and for the balancer; the median rate is reported.
const ROUNDS: usize = 7;
/// Size of a caller's QUIC datagram, in bytes.
const PAYLOAD_BYTES: usize = 1_200;
/// Idle time after which the sink assumes that no more packets arrive.
const SINK_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

const BALANCER_ADDRESS: &str = "127.0.0.1:29400";
const PEER_ADDRESS: &str = "127.0.0.1:29401";
const RELAY_ADDRESS: &str = "127.0.0.1:29402";
const SINK_ADDRESS: &str = "127.0.0.1:29403";
const SERVICE_ADDRESS: &str = "192.0.2.1:443";

type BoxedError = Box<dyn Error + Send + Sync>;

/// Adds a record to the catalog.
fn add_record<R: Record>(catalog: &mut Catalog, name: &str, record: &R) {
    let mut document = Document::new(R::KIND, name, Schema(1));
    record.write(&mut document);
    let revision = Revision(catalog.highest_revision().0 + 1);
    catalog.apply(Entry::written(revision, document));
}

/// Builds a view with a service that has one target; the target's agent address is the sink.
fn build_view(target: &Target) -> Result<View, BoxedError> {
    let mut catalog = Catalog::default();
    let group = Group::new("group")?;
    let group_record = record::Group {
        slots: Slots(4),
        connections: 2_000,
        cold_slots: Slots(1),
        drain_timeout: Duration::from_secs(30),
    };
    add_record(&mut catalog, group.as_str(), &group_record);
    let addresses = vec![SERVICE_ADDRESS.parse()?];
    let service_group = group.clone();
    add_record(
        &mut catalog,
        "service",
        &record::Service {
            addresses,
            group: service_group,
        },
    );
    let target_record = record::Target {
        group,
        domain: Domain::new("domain")?,
        region: Region::new("region")?,
        peer: SINK_ADDRESS.parse()?,
        rpc: SINK_ADDRESS.parse()?,
        incarnation: Incarnation(1),
        phase: Phase::Serving,
    };
    add_record(&mut catalog, target.as_str(), &target_record);
    Ok(View::new(&catalog))
}

/// Starts the balancer's threads, which run until the program ends.
fn start_balancer(
    key: &SymmetricKey,
    target: &Target,
) -> Result<(App, Arc<ForwardingGate>), BoxedError> {
    let text = format!(
        r#"
        name = "balancer-1"
        fabric = "{BALANCER_ADDRESS}"
        threads = 1
        [control]
        domain = "domain"
        region = "region"
        peer = "{PEER_ADDRESS}"
        rpc = "127.0.0.1:1"
        store = "127.0.0.1:1"
        key_file = "key"
        "#
    );
    let mut app = App::new();
    app.insert_resource(Identity {
        role: Role::Balancer(Balancer::new("balancer-1")?),
        domain: Domain::new("domain")?,
        region: Region::new("region")?,
        peer_address: PEER_ADDRESS.parse()?,
        rpc_address: PEER_ADDRESS.parse()?,
        incarnation: Incarnation(1),
        shared_key: key.clone(),
    });
    app.insert_resource(Metrics::disabled("rate"));
    app.insert_resource(CurrentView::new())
        .publish(build_view(target)?);
    app.insert_resource(ProbeReplies::new());
    let forwarding_gate = app.insert_resource(ForwardingGate::new());
    app.add_plugin(&BalancerPlugin::new(text.parse::<Settings>()?))
        .map_err(|error| error.to_string())?;
    Ok((app, forwarding_gate))
}

/// Forwards each datagram to the sink without processing it.
fn relay(stop: &AtomicBool) -> std::io::Result<()> {
    let socket = UdpSocket::bind(RELAY_ADDRESS)?;
    let out = UdpSocket::bind("127.0.0.1:0")?;
    socket2::SockRef::from(&socket).set_recv_buffer_size(4 << 20)?;
    socket2::SockRef::from(&out).set_send_buffer_size(4 << 20)?;
    socket.set_read_timeout(Some(Duration::from_millis(100)))?;
    let sink: SocketAddr = ([127, 0, 0, 1], 29_403).into();
    let mut buffer = vec![0; 65_536];
    while !stop.load(Ordering::Relaxed) {
        if let Ok((length, _)) = socket.recv_from(&mut buffer) {
            out.send_to(&buffer[..length], sink)?;
        }
    }
    Ok(())
}

/// Returns the rate, in packets per second, at which the sink receives while a sender floods the
/// destination.
fn measure_rate(destination: &str, datagram: &[u8], sink: &UdpSocket) -> Result<f64, BoxedError> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let destination: SocketAddr = destination.parse()?;
    let datagram = datagram.to_vec();
    let sender = thread::spawn(move || {
        for _ in 0..PACKETS_PER_ROUND {
            let _ = socket.send_to(&datagram, destination);
        }
    });
    let mut buffer = vec![0; 65_536];
    let (mut count, mut first, mut last) = (0_u32, None, Instant::now());
    while sink.recv_from(&mut buffer).is_ok() {
        count += 1;
        last = Instant::now();
        first.get_or_insert(last);
    }
    sender.join().map_err(|_| "the sender thread panicked")?;
    let span = first.map_or(SINK_IDLE_TIMEOUT, |first| last - first);
    Ok(f64::from(count) / span.as_secs_f64())
}

fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_by(f64::total_cmp);
    rates[rates.len() / 2]
}

fn main() -> Result<(), BoxedError> {
    let key = SymmetricKey::new([7; 32]);
    let target = Target::new("target")?;
    let (_app, forwarding_gate) = start_balancer(&key, &target)?;
    let stop = Arc::new(AtomicBool::new(false));
    let relay_thread = {
        let stop = Arc::clone(&stop);
        thread::spawn(move || relay(&stop))
    };
    let sink = UdpSocket::bind(SINK_ADDRESS)?;
    socket2::SockRef::from(&sink).set_recv_buffer_size(4 << 20)?;
    sink.set_read_timeout(Some(SINK_IDLE_TIMEOUT))?;

    let token = Token {
        owner: Tag::new(&target),
        nonce: 1,
    };
    let id = connection_id::encode(&key.derive("connection ids"), token);
    let payload = [&[0x40], &id[..], &[0; PAYLOAD_BYTES - 17]].concat();
    let endpoints = fabric::Endpoints {
        caller: "10.0.0.1:4000".parse()?,
        service: SERVICE_ADDRESS.parse()?,
    };
    let mut datagram = Vec::new();
    fabric::Packet::new(endpoints, &payload).encode(&mut datagram)?;

    let (mut relay_rates, mut balancer_rates) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        relay_rates.push(measure_rate(RELAY_ADDRESS, &datagram, &sink)?);
        let keep_open = Arc::new(AtomicBool::new(true));
        let gate_renewer = {
            let (forwarding_gate, keep_open) =
                (Arc::clone(&forwarding_gate), Arc::clone(&keep_open));
            thread::spawn(move || {
                while keep_open.load(Ordering::Relaxed) {
                    forwarding_gate.set_open(true);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        };
        balancer_rates.push(measure_rate(BALANCER_ADDRESS, &datagram, &sink)?);
        keep_open.store(false, Ordering::Relaxed);
        gate_renewer
            .join()
            .map_err(|_| "the gate renewer thread panicked")?;
    }
    stop.store(true, Ordering::Relaxed);
    relay_thread
        .join()
        .map_err(|_| "the relay thread panicked")??;
    let (relay_rate, balancer_rate) = (median(relay_rates), median(balancer_rates));
    println!("bare relay {relay_rate:.0} packets/s, balancer {balancer_rate:.0} packets/s");
    println!("ratio {:.2}", balancer_rate / relay_rate);
    Ok(())
}
