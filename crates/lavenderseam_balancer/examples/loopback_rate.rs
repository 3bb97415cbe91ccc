//! Measures one receive thread of the balancer on loopback beside a bare relay that receives and
//! sends the same datagrams: `cargo run --release --example loopback_rate`.
//!
//! A sender floods each in turn with a bounded number of packets; a sink counts what comes out.

use std::error::Error;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lavenderseam_app::App;
use lavenderseam_balancer::{BalancerPlugin, Settings};
use lavenderseam_control::{Echoes, Gate, Identity, Role, Views};
use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::flow::Token;
use lavenderseam_core::id::{Balancer, Domain, Group, Incarnation, Region, Tag, Target};
use lavenderseam_core::record::{self, Document, Phase, Record, Schema, Slots};
use lavenderseam_core::view::View;
use lavenderseam_telemetry::Metrics;
use lavenderseam_wire::{Key, connection, fabric};

/// Packets that one round sends.
const PACKETS: u32 = 200_000;
/// Rounds of each; the median counts.
const ROUNDS: usize = 7;
/// Payload of a full QUIC datagram, in bytes.
const PAYLOAD: usize = 1_200;
/// Silence after which the sink has seen all.
const SILENCE: Duration = Duration::from_millis(200);

const BALANCER: &str = "127.0.0.1:29400";
const PEER: &str = "127.0.0.1:29401";
const RELAY: &str = "127.0.0.1:29402";
const SINK: &str = "127.0.0.1:29403";
const SERVICE: &str = "192.0.2.1:443";

type Failure = Box<dyn Error + Send + Sync>;

fn put<R: Record>(catalog: &mut Catalog, name: &str, record: &R) {
    let mut document = Document::new(R::KIND, name, Schema(1));
    record.write(&mut document);
    let revision = Revision(catalog.head().0 + 1);
    catalog.apply(Entry::with_document(revision, document));
}

/// A service with one target, whose agent is the sink.
fn view(target: &Target) -> Result<View, Failure> {
    let mut catalog = Catalog::default();
    let group = Group::new("group")?;
    let bears = record::Group {
        slots: Slots(4),
        connections: 2_000,
        cold_slots: Slots(1),
        drain: Duration::from_secs(30),
    };
    put(&mut catalog, group.as_str(), &bears);
    let addresses = vec![SERVICE.parse()?];
    let of = group.clone();
    put(
        &mut catalog,
        "service",
        &record::Service {
            addresses,
            group: of,
        },
    );
    let announced = record::Target {
        group,
        domain: Domain::new("domain")?,
        region: Region::new("region")?,
        peer: SINK.parse()?,
        rpc: SINK.parse()?,
        incarnation: Incarnation(1),
        phase: Phase::Serving,
    };
    put(&mut catalog, target.as_str(), &announced);
    Ok(View::new(&catalog))
}

/// Starts the balancer's threads; they end with the program.
fn start_balancer(key: &Key, target: &Target) -> Result<(App, Arc<Gate>), Failure> {
    let text = format!(
        r#"
        name = "balancer-1"
        fabric = "{BALANCER}"
        threads = 1
        [control]
        domain = "domain"
        region = "region"
        peer = "{PEER}"
        rpc = "127.0.0.1:1"
        store = "127.0.0.1:1"
        key_file = "key"
        "#
    );
    let mut app = App::new();
    app.insert(Identity {
        role: Role::Balancer(Balancer::new("balancer-1")?),
        domain: Domain::new("domain")?,
        region: Region::new("region")?,
        peer: PEER.parse()?,
        rpc: PEER.parse()?,
        incarnation: Incarnation(1),
        key: key.clone(),
    });
    app.insert(Metrics::new("rate"));
    app.insert(Views::new()).publish(view(target)?);
    app.insert(Echoes::new());
    let gate = app.insert(Gate::new());
    app.add(&BalancerPlugin::new(text.parse::<Settings>()?))
        .map_err(|error| error.to_string())?;
    Ok((app, gate))
}

/// Receives and sends on, and does nothing else.
fn relay(stop: &AtomicBool) -> std::io::Result<()> {
    let socket = UdpSocket::bind(RELAY)?;
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

/// Packets a second that come out while a flood goes in.
fn rate(destination: &str, datagram: &[u8], sink: &UdpSocket) -> Result<f64, Failure> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let destination: SocketAddr = destination.parse()?;
    let datagram = datagram.to_vec();
    let sender = thread::spawn(move || {
        for _ in 0..PACKETS {
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
    sender.join().map_err(|_| "the sender failed")?;
    let span = first.map_or(SILENCE, |first| last - first);
    Ok(f64::from(count) / span.as_secs_f64())
}

fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_by(f64::total_cmp);
    rates[rates.len() / 2]
}

fn main() -> Result<(), Failure> {
    let key = Key::new([7; 32]);
    let target = Target::new("target")?;
    let (_app, gate) = start_balancer(&key, &target)?;
    let stop = Arc::new(AtomicBool::new(false));
    let relaying = {
        let stop = Arc::clone(&stop);
        thread::spawn(move || relay(&stop))
    };
    let sink = UdpSocket::bind(SINK)?;
    socket2::SockRef::from(&sink).set_recv_buffer_size(4 << 20)?;
    sink.set_read_timeout(Some(SILENCE))?;

    let token = Token {
        owner: Tag::new(&target),
        nonce: 1,
    };
    let id = connection::encode(&key.derive("connection ids"), token);
    let payload = [&[0x40], &id[..], &[0; PAYLOAD - 17]].concat();
    let ends = fabric::Ends {
        caller: "10.0.0.1:4000".parse()?,
        service: SERVICE.parse()?,
    };
    let mut datagram = Vec::new();
    fabric::Packet::new(ends, &payload).encode(&mut datagram)?;

    let (mut bare, mut balanced) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        bare.push(rate(RELAY, &datagram, &sink)?);
        let renewing = Arc::new(AtomicBool::new(true));
        let renewer = {
            let (gate, renewing) = (Arc::clone(&gate), Arc::clone(&renewing));
            thread::spawn(move || {
                while renewing.load(Ordering::Relaxed) {
                    gate.set(true);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        };
        balanced.push(rate(BALANCER, &datagram, &sink)?);
        renewing.store(false, Ordering::Relaxed);
        renewer.join().map_err(|_| "the renewer failed")?;
    }
    stop.store(true, Ordering::Relaxed);
    relaying.join().map_err(|_| "the relay failed")??;
    let (bare, balanced) = (median(bare), median(balanced));
    println!("bare relay {bare:.0} packets/s, balancer {balanced:.0} packets/s");
    println!("ratio {:.2}", balanced / bare);
    Ok(())
}
