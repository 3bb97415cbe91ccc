//! Measures the control traffic of the daemons with the kernel's TCP counters.
//!
//! Counts the payload of the TCP connections that daemons open to each other for remote calls and
//! to the object API, in both directions, and attributes it to the daemons at both ends.
//! Connections are polled, so bytes that a connection carries after its last poll are missed, which
//! affects short-lived connections most. Liveness probes and hints are sent as datagrams and are
//! not included.

mod connection;
mod sock_diag;

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use connection::Connection;

/// Interval at which the connections are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A daemon whose control traffic is counted.
#[derive(Clone, Debug)]
pub(crate) struct MonitoredDaemon {
    pub(crate) name: String,
    /// IP address that the daemon binds.
    pub(crate) host: IpAddr,
    /// Process id of the latest start of the daemon; it changes when the daemon is started again.
    pub(crate) process_id: Arc<parking_lot::Mutex<Option<u32>>>,
}

/// Counts the control traffic of daemons in a background thread.
pub(crate) struct TrafficMonitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<BTreeMap<String, u64>>,
}

impl TrafficMonitor {
    /// Starts to count the traffic to the server ports `ports`, which are those of remote calls and
    /// of the object API.
    pub(crate) fn new(daemons: Vec<MonitoredDaemon>, ports: [u16; 2]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let thread_stop = Arc::clone(&stop);
        let thread = std::thread::spawn(move || count_traffic(&daemons, ports, &thread_stop));
        Self { stop, thread }
    }

    /// Stops the monitor and returns the payload bytes of each daemon, by name.
    pub(crate) fn finish(self) -> BTreeMap<String, u64> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

/// Payload bytes of a connection at the first and the last poll.
struct ConnectionBytes {
    /// Name of the daemon that opened the connection.
    client: String,
    /// IP address of the server.
    server: IpAddr,
    /// Bytes when the count started; 0 if the connection was opened later.
    first_bytes: u64,
    last_bytes: u64,
}

/// Polls the connections until `stop` is set, then returns the payload bytes of each daemon.
fn count_traffic(
    daemons: &[MonitoredDaemon],
    ports: [u16; 2],
    stop: &AtomicBool,
) -> BTreeMap<String, u64> {
    let mut connections: HashMap<u32, ConnectionBytes> = HashMap::new();
    let mut is_first_poll = true;
    while !stop.load(Ordering::Relaxed) {
        let owners = socket_owners(daemons);
        for connection in sock_diag::connections().unwrap_or_default() {
            if ports.contains(&connection.remote.port())
                && let Some(client) = owners.get(&connection.inode)
            {
                record_connection(&mut connections, &connection, client, is_first_poll);
            }
        }
        is_first_poll = false;
        std::thread::sleep(POLL_INTERVAL);
    }
    bytes_by_daemon(daemons, &connections)
}

/// Updates the byte counts of a connection with its state at a poll.
fn record_connection(
    connections: &mut HashMap<u32, ConnectionBytes>,
    connection: &Connection,
    client: &str,
    is_first_poll: bool,
) {
    let entry = connections
        .entry(connection.inode)
        .or_insert_with(|| ConnectionBytes {
            client: client.to_owned(),
            server: connection.remote.ip(),
            first_bytes: if is_first_poll {
                connection.payload_bytes
            } else {
                0
            },
            last_bytes: 0,
        });
    entry.last_bytes = connection.payload_bytes;
}

/// Returns the payload bytes of each daemon, as client and as server.
fn bytes_by_daemon(
    daemons: &[MonitoredDaemon],
    connections: &HashMap<u32, ConnectionBytes>,
) -> BTreeMap<String, u64> {
    let mut bytes: BTreeMap<String, u64> = BTreeMap::new();
    for entry in connections.values() {
        let transferred = entry.last_bytes.saturating_sub(entry.first_bytes);
        *bytes.entry(entry.client.clone()).or_default() += transferred;
        if let Some(server) = daemons.iter().find(|daemon| daemon.host == entry.server) {
            *bytes.entry(server.name.clone()).or_default() += transferred;
        }
    }
    bytes
}

/// Returns the name of the daemon that holds each socket, by inode of the socket.
fn socket_owners(daemons: &[MonitoredDaemon]) -> HashMap<u32, String> {
    let mut owners = HashMap::new();
    for daemon in daemons {
        let Some(id) = *daemon.process_id.lock() else {
            continue;
        };
        for inode in socket_inodes(id) {
            owners.insert(inode, daemon.name.clone());
        }
    }
    owners
}

/// Returns the inodes of the sockets that a process holds; empty if the process has exited.
fn socket_inodes(id: u32) -> Vec<u32> {
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
