//! Monitors which configuration is in force at each daemon.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use lavenderseam_control::Status;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::id::Incarnation;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::AcceptedWrite;
use crate::http_client;
use crate::stand_ins::unix_time_ms;

/// Interval at which each daemon's status is queried.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Kinds of record that operators change.
const OPERATOR_RECORD_KINDS: [&str; 4] = ["Service", "BackendGroup", "FailureDomain", "Drain"];

/// Monitors the configuration of all daemons in background tasks.
pub(crate) struct ConfigurationMonitor {
    state: Arc<Mutex<MonitorState>>,
    tasks: JoinSet<()>,
}

#[derive(Debug, Default)]
struct MonitorState {
    /// Number of times that a record went back to an earlier revision.
    reverts: u64,
    daemons: BTreeMap<String, PollLog>,
}

/// Results of the status polls of one daemon.
#[derive(Debug, Default)]
struct PollLog {
    incarnation: Option<Incarnation>,
    /// Highest revision seen of each record in this incarnation.
    highest_revisions: HashMap<String, Revision>,
    /// Revisions after a restore of the store whose number is lower than that of an earlier one.
    /// They are reverts if they come from the copy.
    lower_numbers: Vec<Revision>,
    /// Times of the polls that failed.
    unreachable_at_ms: Vec<u64>,
    /// Revision of each record in force, with the time of the poll; one entry for each change,
    /// oldest first.
    snapshots: Vec<(u64, HashMap<String, Revision>)>,
}

/// JSON-RPC response to a status call.
#[derive(Deserialize)]
struct StatusResponse {
    result: Status,
}

impl ConfigurationMonitor {
    /// Starts to monitor daemons, given by their names and addresses for remote calls.
    pub(crate) fn new(daemons: Vec<(String, SocketAddr)>) -> Self {
        let state = Arc::new(Mutex::new(MonitorState::default()));
        let mut tasks = JoinSet::new();
        for (name, address) in daemons {
            tasks.spawn(poll_daemon(name, address, Arc::clone(&state)));
        }
        Self { state, tasks }
    }

    /// Stops the monitor. Returns the longest time that a write took to be in force at a daemon
    /// that was reachable meanwhile, in milliseconds, and the number of times that a record went
    /// back to an earlier write. `restored` holds the revision of each copy that the store was
    /// restored from.
    pub(crate) async fn finish(mut self, writes: &[AcceptedWrite], restored: &[u64]) -> (u64, u64) {
        self.tasks.shutdown().await;
        let state = self.state.lock();
        let is_from_copy = |revision: &&Revision| {
            let restore = usize::try_from(revision.epoch().0).ok();
            let copy = restore.and_then(|restore| restored.get(restore.checked_sub(1)?));
            copy.is_some_and(|copy| revision.number() <= *copy)
        };
        let logs = state.daemons.values();
        let lower_numbers = logs.flat_map(|log| &log.lower_numbers);
        let from_copy = lower_numbers.filter(is_from_copy).count();
        let reverts = state.reverts + u64::try_from(from_copy).unwrap_or(u64::MAX);
        let lag = |log: &PollLog| writes.iter().filter_map(|write| log.lag_ms(write)).max();
        let longest = state.daemons.values().filter_map(lag).max();
        (longest.unwrap_or(0), reverts)
    }
}

/// Polls the status of a daemon and records the results.
async fn poll_daemon(name: String, address: SocketAddr, state: Arc<Mutex<MonitorState>>) {
    loop {
        let status = query_status(address).await;
        let now = unix_time_ms();
        {
            let mut state = state.lock();
            let daemon = state.daemons.entry(name.clone()).or_default();
            match status {
                None => daemon.unreachable_at_ms.push(now),
                Some(status) => {
                    let reverts = daemon.record_status(&status, now);
                    state.reverts += reverts;
                }
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Queries the status of a daemon; returns `None` if the daemon is unreachable.
async fn query_status(address: SocketAddr) -> Option<Status> {
    let request =
        json!({ "jsonrpc": "2.0", "id": 1, "method": "status", "params": [OPERATOR_RECORD_KINDS] });
    let body = Bytes::from(request.to_string());
    let headers = [("content-type", "application/json")];
    let response = http_client::send_request(Method::POST, address, "/", &headers, body).await;
    let status: StatusResponse = serde_json::from_slice(&response.ok()?.body).ok()?;
    Some(status.result)
}

impl PollLog {
    /// Records a status and returns the number of records whose revision is lower than one seen
    /// before in the same incarnation.
    fn record_status(&mut self, status: &Status, now_ms: u64) -> u64 {
        if self.incarnation.replace(status.incarnation) != Some(status.incarnation) {
            self.highest_revisions.clear();
        }
        let mut in_force = HashMap::new();
        let mut reverts = 0;
        for (kind, records) in &status.records {
            for (name, revision) in records {
                let key = format!("{kind}/{name}");
                let highest = self.highest_revisions.entry(key.clone()).or_default();
                if *revision < *highest {
                    reverts += 1;
                } else if revision.number() < highest.number() {
                    self.lower_numbers.push(*revision);
                }
                *highest = *revision.max(highest);
                // A record is in force once the view used for packet decisions includes its
                // revision.
                if *revision <= status.view {
                    in_force.insert(key, *revision);
                }
            }
        }
        if self
            .snapshots
            .last()
            .is_none_or(|(_, last)| *last != in_force)
        {
            self.snapshots.push((now_ms, in_force));
        }
        reverts
    }

    /// Returns the time until a write was in force, in milliseconds; `None` if the daemon was
    /// unreachable meanwhile.
    fn lag_ms(&self, write: &AcceptedWrite) -> Option<u64> {
        let key = write.id.to_string();
        let is_in_force = |revisions: &HashMap<String, Revision>| match write.revision {
            Some(revision) => revisions
                .get(&key)
                .is_some_and(|current| *current >= revision),
            None => !revisions.contains_key(&key),
        };
        let accepted_ms = write.accepted_ms;
        let at_acceptance = self
            .snapshots
            .iter()
            .rev()
            .find(|(at, _)| *at <= accepted_ms);
        if at_acceptance.is_some_and(|(_, revisions)| is_in_force(revisions)) {
            return Some(0);
        }
        let after_acceptance = self.snapshots.iter().filter(|(at, _)| *at > accepted_ms);
        let mut matching = after_acceptance.filter(|(_, revisions)| is_in_force(revisions));
        let in_force_at = matching.next().map_or_else(unix_time_ms, |(at, _)| *at);
        let is_meanwhile = |polled_at: &&u64| (accepted_ms..=in_force_at).contains(*polled_at);
        let was_reachable = self.unreachable_at_ms.iter().find(is_meanwhile).is_none();
        was_reachable.then_some(in_force_at.saturating_sub(accepted_ms))
    }
}
