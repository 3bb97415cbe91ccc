//! Follows which configuration is in force at each daemon.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use lavenderseam_control::Status;
use lavenderseam_core::id::Incarnation;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::Order;
use crate::remote;
use crate::standins::now_ms;

/// Time between two looks at a daemon.
const INTERVAL: Duration = Duration::from_millis(50);
/// Kinds of record that operators write.
const KINDS: [&str; 4] = ["Service", "BackendGroup", "FailureDomain", "Drain"];

/// Follows the configuration of all daemons.
pub(crate) struct Configuration {
    seen: Arc<Mutex<Seen>>,
    tasks: JoinSet<()>,
}

#[derive(Debug, Default)]
struct Seen {
    reverts: u64,
    daemons: BTreeMap<String, Daemon>,
}

#[derive(Debug, Default)]
struct Daemon {
    incarnation: Option<Incarnation>,
    highest: HashMap<String, u64>,
    silent_ms: Vec<u64>,
    /// What it held at each look that showed something new, oldest first.
    held: Vec<(u64, HashMap<String, u64>)>,
}

#[derive(Deserialize)]
struct Response {
    result: Status,
}

impl Configuration {
    /// Starts to follow the daemons at their addresses for remote calls.
    pub(crate) fn new(daemons: Vec<(String, SocketAddr)>) -> Self {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let mut tasks = JoinSet::new();
        for (name, address) in daemons {
            tasks.spawn(follow(name, address, Arc::clone(&seen)));
        }
        Self { seen, tasks }
    }

    /// Ends and returns the longest time that an order took to be in force at a daemon that
    /// answered all along, in milliseconds, and how often a record went back.
    pub(crate) async fn finish(mut self, orders: &[Order]) -> (u64, u64) {
        self.tasks.shutdown().await;
        let seen = self.seen.lock();
        let took = |daemon: &Daemon| orders.iter().filter_map(|order| daemon.took(order)).max();
        let longest = seen.daemons.values().filter_map(took).max();
        (longest.unwrap_or(0), seen.reverts)
    }
}

async fn follow(name: String, address: SocketAddr, seen: Arc<Mutex<Seen>>) {
    loop {
        let status = ask(address).await;
        let now = now_ms();
        {
            let mut seen = seen.lock();
            let daemon = seen.daemons.entry(name.clone()).or_default();
            match status {
                None => daemon.silent_ms.push(now),
                Some(status) => {
                    let reverts = daemon.look(&status, now);
                    seen.reverts += reverts;
                }
            }
        }
        sleep(INTERVAL).await;
    }
}

async fn ask(address: SocketAddr) -> Option<Status> {
    let call = json!({ "jsonrpc": "2.0", "id": 1, "method": "status", "params": [KINDS] });
    let body = Bytes::from(call.to_string());
    let headers = [("content-type", "application/json")];
    let answer = remote::send(Method::POST, address, "/", &headers, body).await;
    let response: Response = serde_json::from_slice(&answer.ok()?.body).ok()?;
    Some(response.result)
}

impl Daemon {
    /// Takes a look in and returns how many records went back since the last.
    fn look(&mut self, status: &Status, now_ms: u64) -> u64 {
        if self.incarnation.replace(status.incarnation) != Some(status.incarnation) {
            self.highest.clear();
        }
        let mut held = HashMap::new();
        let mut reverts = 0;
        for (kind, records) in &status.records {
            for (name, revision) in records {
                let key = format!("{kind}/{name}");
                let highest = self.highest.entry(key.clone()).or_default();
                if revision.0 < *highest {
                    reverts += 1;
                }
                *highest = revision.0.max(*highest);
                // A record counts once the view that packets are decided by includes it.
                if *revision <= status.view {
                    held.insert(key, revision.0);
                }
            }
        }
        if self.held.last().is_none_or(|(_, last)| *last != held) {
            self.held.push((now_ms, held));
        }
        reverts
    }

    /// Time until an order was in force; none if the daemon was silent meanwhile.
    fn took(&self, order: &Order) -> Option<u64> {
        let key = order.id.to_string();
        let in_force = |held: &HashMap<String, u64>| match order.revision {
            Some(revision) => held.get(&key).is_some_and(|held| *held >= revision),
            None => !held.contains_key(&key),
        };
        let accepted = order.accepted_ms;
        let before = self.held.iter().rev().find(|(at, _)| *at <= accepted);
        if before.is_some_and(|(_, held)| in_force(held)) {
            return Some(0);
        }
        let later = self.held.iter().filter(|(at, _)| *at > accepted);
        let mut settled = later.filter(|(_, held)| in_force(held));
        let at = settled.next().map_or_else(now_ms, |(at, _)| *at);
        let silent = |silent: &&u64| (accepted..=at).contains(*silent);
        let answered = self.silent_ms.iter().find(silent).is_none();
        answered.then_some(at.saturating_sub(accepted))
    }
}
