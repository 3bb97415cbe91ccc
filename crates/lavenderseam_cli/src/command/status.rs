//! On how many processes the records are in force.

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
use crate::edit::Editor;
use crate::{Error, Report};

/// Longest time that a process is given to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Processes asked at once.
const CONCURRENT_CALLS: usize = 64;
/// Kinds that operators write.
const KINDS: [Kind; 4] = [
    Kind::Service,
    Kind::BackendGroup,
    Kind::FailureDomain,
    Kind::Drain,
];

/// Tells on how many processes the records are in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// kind of the records, or kind and name of one; those that operators write unless given
    #[argh(positional)]
    pub record: Vec<String>,
}

/// What a process of any version says that it holds.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Held {
    /// Name of the balancer or target.
    pub name: String,
    /// `balancer` or `agent`.
    pub role: String,
    /// Digest of all records held.
    pub digest: u64,
    /// Highest revision held.
    pub head: Revision,
    /// Highest revision in the view that the process acts on.
    pub view: Revision,
    /// Whether the process acts on its view.
    pub gate: bool,
    /// Revision of each record, by kind and name.
    pub records: BTreeMap<String, BTreeMap<String, Revision>>,
}

/// What one process answered.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its address for remote calls.
    pub address: SocketAddr,
    /// What it holds; none if it didn't answer.
    pub held: Option<Held>,
    /// Its whole answer.
    pub whole: Value,
}

/// Asks all processes and compares what they hold with the store, or with the newest that any of
/// them holds while the store is away; `known` are asked besides the announced ones.
///
/// # Errors
///
/// Returns [`Error::Away`] if the store is away and no process is known.
pub async fn status<S: Store>(
    editor: &Editor<'_, S>,
    arguments: &Status,
    known: &[SocketAddr],
) -> Result<Report, Error> {
    let selector = Selector::new(&arguments.record)?;
    let kinds = selector.kind().map_or(KINDS.to_vec(), |kind| vec![kind]);
    let (stored, mut addresses) = match editor.list().await {
        Ok(list) => {
            let addresses = processes(&list.entries);
            (Some(list.entries), addresses)
        }
        Err(error) if known.is_empty() => return Err(error),
        Err(_) => (None, BTreeSet::new()),
    };
    addresses.extend(known);
    let answers = ask_all(addresses, &kinds).await;
    let wanted = |id: &Id| selector.selects(id) && kinds.contains(&id.kind);
    let records = match &stored {
        Some(entries) => revisions(entries, wanted),
        None => newest(&answers, wanted),
    };
    Ok(report(&records, &answers, stored.is_some()))
}

/// Addresses for remote calls of all processes that have announced themselves.
fn processes(entries: &[Entry]) -> BTreeSet<SocketAddr> {
    let documents = entries.iter().filter_map(|entry| entry.document.as_ref());
    documents
        .filter_map(|document| match document.kind {
            Kind::Target => Target::read(document).ok().map(|target| target.rpc),
            Kind::Balancer => Balancer::read(document).ok().map(|balancer| balancer.rpc),
            _ => None,
        })
        .collect()
}

async fn ask_all(addresses: BTreeSet<SocketAddr>, kinds: &[Kind]) -> Vec<Answer> {
    let mut answers: Vec<Answer> = stream::iter(addresses)
        .map(|address| async move {
            let whole = ask(address, kinds).await.unwrap_or(Value::Null);
            Answer {
                address,
                held: Held::deserialize(&whole).ok(),
                whole,
            }
        })
        .buffer_unordered(CONCURRENT_CALLS)
        .collect()
        .await;
    answers.sort_by_key(|answer| answer.address);
    answers
}

async fn ask(address: SocketAddr, kinds: &[Kind]) -> Option<Value> {
    let client = HttpClientBuilder::default()
        .request_timeout(ANSWER_LIMIT)
        .build(format!("http://{address}"))
        .ok()?;
    client.request("status", rpc_params![kinds]).await.ok()
}

fn revisions(entries: &[Entry], wanted: impl Fn(&Id) -> bool) -> Vec<(Id, Revision)> {
    let wanted = entries.iter().filter(|entry| wanted(&entry.id));
    let mut records: Vec<(Id, Revision)> = wanted
        .map(|entry| (entry.id.clone(), entry.revision))
        .collect();
    records.sort();
    records
}

/// The newest revision of each record that any process holds.
fn newest(answers: &[Answer], wanted: impl Fn(&Id) -> bool) -> Vec<(Id, Revision)> {
    let mut newest = BTreeMap::new();
    for (kind, names) in answers
        .iter()
        .filter_map(|a| a.held.as_ref())
        .flat_map(|h| &h.records)
    {
        let Ok(kind) = kind.parse::<Kind>() else {
            continue;
        };
        for (name, revision) in names {
            let held = newest.entry(Id::new(kind, name)).or_insert(*revision);
            *held = (*held).max(*revision);
        }
    }
    newest.into_iter().filter(|(id, _)| wanted(id)).collect()
}

/// Whether a process holds a record at a revision or a newer one.
#[must_use]
pub fn is_in_force(held: &Held, id: &Id, revision: Revision) -> bool {
    let names = held.records.get(id.kind.as_str());
    let found = names.and_then(|names| names.get(&id.name));
    found.is_some_and(|found| *found >= revision) && held.view >= revision
}

fn report(records: &[(Id, Revision)], answers: &[Answer], stored: bool) -> Report {
    let held: Vec<&Held> = answers.iter().filter_map(|a| a.held.as_ref()).collect();
    let total = answers.len();
    let mut text = String::new();
    if !stored {
        let _ = writeln!(
            text,
            "store unavailable: compared with the newest that a process holds"
        );
    }
    let mut rows = Vec::new();
    for (id, revision) in records {
        let count = held
            .iter()
            .filter(|held| is_in_force(held, id, *revision))
            .count();
        let _ = writeln!(
            text,
            "{id} revision {revision} in force on {count} of {total} processes"
        );
        rows.push(json!({ "id": id, "revision": revision, "in_force": count, "processes": total }));
    }
    for answer in answers {
        let _ = match &answer.held {
            Some(held) => writeln!(
                text,
                "{} {} at {}: head {} digest {:016x} gate {}",
                held.role,
                held.name,
                answer.address,
                held.head,
                held.digest,
                if held.gate { "open" } else { "closed" }
            ),
            None => writeln!(text, "process at {}: no answer", answer.address),
        };
    }
    let processes: Vec<_> = answers
        .iter()
        .map(|answer| json!({ "address": answer.address, "status": answer.whole }))
        .collect();
    let json = json!({ "store": stored, "records": rows, "processes": processes });
    Report::new(text, json)
}
