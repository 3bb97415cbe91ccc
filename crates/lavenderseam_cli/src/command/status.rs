//! The `status` command, which reports on how many processes records are in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use futures::stream::{self, StreamExt};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Balancer, Id, Kind, Record, Target};
use lavenderseam_platform::Store;
use serde::Deserialize;
use serde_json::{Value, json};

use super::Selector;
use crate::deadline_store::DeadlineStore;
use crate::{Error, Report};

/// Timeout of a status request to a process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of concurrent status requests.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Kinds of records that operators write.
const OPERATOR_KINDS: [Kind; 4] = [
    Kind::Service,
    Kind::BackendGroup,
    Kind::FailureDomain,
    Kind::Drain,
];

/// Reports on how many processes each record is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// kind of the records, or kind and name of one (default all kinds that operators write)
    #[argh(positional)]
    pub record: Vec<String>,
}

/// Status that a process reports; fields that its version doesn't have take their default.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ProcessStatus {
    /// Name of the balancer or target.
    pub name: String,
    /// `balancer` or `agent`.
    pub role: String,
    /// Digest of all records that the process has.
    pub digest: u64,
    /// Highest revision that the process has received.
    #[serde(rename = "head")]
    pub head_revision: Revision,
    /// Highest revision in the view that the process acts on.
    #[serde(rename = "view")]
    pub view_revision: Revision,
    /// `true` if the process acts on its view.
    #[serde(rename = "gate")]
    pub gate_open: bool,
    /// Revision of each record, by kind and name.
    pub records: BTreeMap<String, BTreeMap<String, Revision>>,
}

/// Response of one process to a status request.
#[derive(Clone, Debug)]
pub struct ProcessResponse {
    /// RPC address of the process.
    pub address: SocketAddr,
    /// Status of the process; `None` if it didn't respond.
    pub status: Option<ProcessStatus>,
    /// Response as received; null if there was none.
    pub raw: Value,
}

/// Queries all processes and compares their records with the store, or with the newest revisions on
/// any process while the store is unavailable. The addresses in `configured` are queried in
/// addition to those of announced processes.
///
/// # Errors
///
/// Returns [`Error::Unavailable`] if the store is unavailable and no address is configured, or
/// [`Error::Record`] for invalid arguments.
pub async fn status<S: Store>(
    store: &DeadlineStore<'_, S>,
    arguments: &Status,
    configured: &[SocketAddr],
) -> Result<Report, Error> {
    let selector = Selector::new(&arguments.record)?;
    let kinds = selector
        .kind()
        .map_or(OPERATOR_KINDS.to_vec(), |kind| vec![kind]);
    let (stored_entries, mut addresses) = match store.list().await {
        Ok(list) => {
            let addresses = announced_addresses(&list.entries);
            (Some(list.entries), addresses)
        }
        Err(error) if configured.is_empty() => return Err(error),
        Err(_) => (None, BTreeSet::new()),
    };
    addresses.extend(configured);
    let responses = query_all(addresses, &kinds).await;
    let is_selected = |id: &Id| selector.matches(id) && kinds.contains(&id.kind);
    let records = match &stored_entries {
        Some(entries) => stored_revisions(entries, is_selected),
        None => newest_revisions(&responses, is_selected),
    };
    Ok(report(&records, &responses, stored_entries.is_some()))
}

/// Returns the RPC addresses of all processes that have announced themselves.
fn announced_addresses(entries: &[Entry]) -> BTreeSet<SocketAddr> {
    let documents = entries.iter().filter_map(|entry| entry.document.as_ref());
    documents
        .filter_map(|document| match document.kind {
            Kind::Target => Target::read(document).ok().map(|target| target.rpc),
            Kind::Balancer => Balancer::read(document).ok().map(|balancer| balancer.rpc),
            _ => None,
        })
        .collect()
}

/// Queries processes concurrently; the responses are ordered by address.
async fn query_all(addresses: BTreeSet<SocketAddr>, kinds: &[Kind]) -> Vec<ProcessResponse> {
    let mut responses: Vec<ProcessResponse> = stream::iter(addresses)
        .map(|address| async move {
            let raw = query_status(address, kinds).await.unwrap_or(Value::Null);
            ProcessResponse {
                address,
                status: ProcessStatus::deserialize(&raw).ok(),
                raw,
            }
        })
        .buffer_unordered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await;
    responses.sort_by_key(|response| response.address);
    responses
}

/// Queries one process; returns `None` if it doesn't respond in time.
async fn query_status(address: SocketAddr, kinds: &[Kind]) -> Option<Value> {
    let client = HttpClientBuilder::default()
        .request_timeout(REQUEST_TIMEOUT)
        .build(format!("http://{address}"))
        .ok()?;
    client.request("status", rpc_params![kinds]).await.ok()
}

/// Returns the revisions of the selected records in the store.
fn stored_revisions(entries: &[Entry], is_selected: impl Fn(&Id) -> bool) -> Vec<(Id, Revision)> {
    let selected = entries.iter().filter(|entry| is_selected(&entry.id));
    let mut records: Vec<(Id, Revision)> = selected
        .map(|entry| (entry.id.clone(), entry.revision))
        .collect();
    records.sort();
    records
}

/// Returns the newest revision of each record on any process.
fn newest_revisions(
    responses: &[ProcessResponse],
    is_selected: impl Fn(&Id) -> bool,
) -> Vec<(Id, Revision)> {
    let mut newest = BTreeMap::new();
    for (kind, revisions_by_name) in responses
        .iter()
        .filter_map(|response| response.status.as_ref())
        .flat_map(|status| &status.records)
    {
        let Ok(kind) = kind.parse::<Kind>() else {
            continue;
        };
        for (name, revision) in revisions_by_name {
            let newest_revision = newest.entry(Id::new(kind, name)).or_insert(*revision);
            *newest_revision = (*newest_revision).max(*revision);
        }
    }
    newest
        .into_iter()
        .filter(|(id, _)| is_selected(id))
        .collect()
}

/// Returns `true` if a process has a record at `revision` or newer and its view includes it.
#[must_use]
pub fn is_in_force(status: &ProcessStatus, id: &Id, revision: Revision) -> bool {
    let revisions_by_name = status.records.get(id.kind.as_str());
    let found = revisions_by_name.and_then(|revisions_by_name| revisions_by_name.get(&id.name));
    found.is_some_and(|found| *found >= revision) && status.view_revision >= revision
}

/// Reports the records in force and the status of each process.
fn report(
    records: &[(Id, Revision)],
    responses: &[ProcessResponse],
    store_available: bool,
) -> Report {
    let statuses: Vec<&ProcessStatus> = responses
        .iter()
        .filter_map(|response| response.status.as_ref())
        .collect();
    let total = responses.len();
    let mut text = String::new();
    if !store_available {
        let _ = writeln!(
            text,
            "store unavailable: compared with the newest revisions on any process"
        );
    }
    let mut record_reports = Vec::new();
    for (id, revision) in records {
        let count = statuses
            .iter()
            .filter(|status| is_in_force(status, id, *revision))
            .count();
        let _ = writeln!(
            text,
            "{id} revision {revision} in force on {count} of {total} processes"
        );
        record_reports
            .push(json!({ "id": id, "revision": revision, "in_force": count, "processes": total }));
    }
    for response in responses {
        let _ = match &response.status {
            Some(status) => writeln!(
                text,
                "{} {} at {}: head {} digest {:016x} gate {}",
                status.role,
                status.name,
                response.address,
                status.head_revision,
                status.digest,
                if status.gate_open { "open" } else { "closed" }
            ),
            None => writeln!(text, "process at {}: no answer", response.address),
        };
    }
    let processes: Vec<_> = responses
        .iter()
        .map(|response| json!({ "address": response.address, "status": response.raw }))
        .collect();
    let json =
        json!({ "store": store_available, "records": record_reports, "processes": processes });
    Report::new(text, json)
}
