//! Control traffic of the daemons, as the kernel counts it.
//!
//! Counted is the content of the TCP connections that daemons open to each other's remote calls
//! and to the object API, both ways and at both ends. Connections are looked at now and then, so
//! what the shortest ones carry after the last look is missed. Probes and hints travel in
//! datagrams and are not included.

mod connection;
mod diag;

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use connection::Connection;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(250);

/// A daemon whose traffic is counted.
#[derive(Clone, Debug)]
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) host: IpAddr,
    /// Its process id at each start, the present one last.
    pub(crate) id: Arc<parking_lot::Mutex<Option<u32>>>,
}

/// Counts control traffic in a thread of its own.
pub(crate) struct Traffic {
    ends: Arc<AtomicBool>,
    counting: JoinHandle<BTreeMap<String, u64>>,
}

impl Traffic {
    /// Starts to count; `ports` are those of remote calls and of the object API.
    pub(crate) fn new(daemons: Vec<Daemon>, ports: [u16; 2]) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let ended = Arc::clone(&ends);
        let counting = std::thread::spawn(move || count(&daemons, ports, &ended));
        Self { ends, counting }
    }

    /// Ends and returns the bytes by daemon.
    pub(crate) fn finish(self) -> BTreeMap<String, u64> {
        self.ends.store(true, Ordering::Relaxed);
        self.counting.join().unwrap_or_default()
    }
}

/// A connection's bytes at the first look, if it is older than the count, and at the last.
struct Span {
    client: String,
    server: IpAddr,
    first: u64,
    last: u64,
}

fn count(daemons: &[Daemon], ports: [u16; 2], ends: &AtomicBool) -> BTreeMap<String, u64> {
    let mut spans: HashMap<u32, Span> = HashMap::new();
    let mut first = true;
    while !ends.load(Ordering::Relaxed) {
        let owners = owners(daemons);
        for connection in diag::connections().unwrap_or_default() {
            if ports.contains(&connection.remote.port())
                && let Some(client) = owners.get(&connection.inode)
            {
                note(&mut spans, &connection, client, first);
            }
        }
        first = false;
        std::thread::sleep(INTERVAL);
    }
    total(daemons, &spans)
}

fn note(spans: &mut HashMap<u32, Span>, connection: &Connection, client: &str, first: bool) {
    let span = spans.entry(connection.inode).or_insert_with(|| Span {
        client: client.to_owned(),
        server: connection.remote.ip(),
        first: if first { connection.bytes } else { 0 },
        last: 0,
    });
    span.last = connection.bytes;
}

fn total(daemons: &[Daemon], spans: &HashMap<u32, Span>) -> BTreeMap<String, u64> {
    let mut bytes: BTreeMap<String, u64> = BTreeMap::new();
    for span in spans.values() {
        let carried = span.last.saturating_sub(span.first);
        *bytes.entry(span.client.clone()).or_default() += carried;
        if let Some(server) = daemons.iter().find(|daemon| daemon.host == span.server) {
            *bytes.entry(server.name.clone()).or_default() += carried;
        }
    }
    bytes
}

/// The daemon that holds each socket, by the socket's inode.
fn owners(daemons: &[Daemon]) -> HashMap<u32, String> {
    let mut owners = HashMap::new();
    for daemon in daemons {
        let Some(id) = *daemon.id.lock() else {
            continue;
        };
        for inode in sockets(id) {
            owners.insert(inode, daemon.name.clone());
        }
    }
    owners
}

/// Inodes of the sockets that a process holds; none if it is gone.
fn sockets(id: u32) -> Vec<u32> {
    let directory = PathBuf::from(format!("/proc/{id}/fd"));
    let Ok(entries) = std::fs::read_dir(directory) else {
        return Vec::new();
    };
    entries
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .filter_map(|link| {
            let link = link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
            link.parse().ok()
        })
        .collect()
}
