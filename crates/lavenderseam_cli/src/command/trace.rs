//! The `trace` command, which merges the log lines of one flow from several processes.
//!
//! The report has the lines that name the flow, and the state changes of the involved processes
//! around that time. It also lists what the logs lack: processes that were sent packets of the flow
//! but have no log, and lines that were suppressed because they exceeded the log budget.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{self, BufRead};
use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::{Map, Value, json};

use crate::Report;

/// Time before the first line of the flow for which state changes are shown, in milliseconds;
/// records are in force on all processes within that time.
const CONTEXT_BEFORE_MS: i64 = 5_000;
/// Time after the last line of the flow for which state changes are shown, in milliseconds.
const CONTEXT_AFTER_MS: i64 = 2_000;
/// Log events that report a state change of a process.
const STATE_CHANGE_EVENTS: [&str; 12] = [
    "start",
    "stop",
    "reload",
    "ready",
    "desired",
    "outs",
    "target",
    "backend",
    "dependency",
    "ignored",
    "restored",
    "listed",
];

/// Merges the log lines of one flow from the logs of several processes on standard input.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// address of the caller, or CALLER>SERVICE
    #[argh(positional)]
    pub id: String,
}

/// Error returned by [`trace`].
#[derive(Debug)]
pub enum Error {
    /// The flow is not given as an address or a pair of addresses; holds the text that was given.
    InvalidFlow(String),
    /// The logs can't be read.
    Read(io::Error),
}

/// Identifies a flow in the logs, by its caller and optionally its service.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FlowId {
    caller: String,
    service: Option<String>,
}

/// Log line of a process.
#[derive(Clone, Debug)]
struct LogLine {
    time_ms: i64,
    process: String,
    event: String,
    fields: Map<String, Value>,
}

/// Merges the log lines of a flow into a report. Lines that can't be parsed are counted and
/// skipped.
///
/// # Errors
///
/// Returns [`Error`] if the flow is not given as addresses or the logs can't be read.
pub fn trace(command: &Trace, logs: impl BufRead) -> Result<Report, Error> {
    let id = FlowId::parse(&command.id)?;
    let (lines, unreadable) = read_lines(logs)?;
    let flow_lines: Vec<&LogLine> = lines.iter().filter(|line| line.belongs_to(&id)).collect();
    let flow_trace = FlowTrace::new(&lines, &flow_lines);
    let mut text = String::new();
    for line in &flow_trace.lines {
        let _ = writeln!(text, "{}", line.to_text(flow_trace.start_ms));
    }
    for missing in &flow_trace.missing {
        let _ = writeln!(text, "missing: {missing}");
    }
    let json = json!({
        "flow": command.id,
        "lines": flow_trace.lines.iter().map(|line| line.to_json()).collect::<Vec<_>>(),
        "missing": flow_trace.missing,
        "unreadable": unreadable,
    });
    Ok(Report::new(text, json))
}

/// Log lines of a flow, with the state changes around them.
struct FlowTrace<'a> {
    start_ms: i64,
    lines: Vec<&'a LogLine>,
    missing: Vec<String>,
}

impl<'a> FlowTrace<'a> {
    fn new(lines: &'a [LogLine], flow_lines: &[&'a LogLine]) -> Self {
        let Some(start_ms) = flow_lines.iter().map(|line| line.time_ms).min() else {
            return Self::without_lines(lines);
        };
        let end_ms = flow_lines
            .iter()
            .map(|line| line.time_ms)
            .max()
            .unwrap_or(start_ms);
        let processes = processes_by_address(lines);
        let mut involved: BTreeSet<String> =
            flow_lines.iter().map(|line| line.process.clone()).collect();
        let mut missing = Vec::new();
        for address in flow_lines.iter().flat_map(|line| line.peer_addresses()) {
            match processes.get(&address) {
                Some(process) => {
                    involved.insert(process.clone());
                }
                None => missing.push(format!("no log of the process at {address}")),
            }
        }
        missing.sort();
        missing.dedup();
        let is_in_context = |line: &&LogLine| {
            (start_ms - CONTEXT_BEFORE_MS..=end_ms + CONTEXT_AFTER_MS).contains(&line.time_ms)
                && involved.contains(&line.process)
        };
        missing.extend(suppressed_summary(lines.iter().filter(is_in_context)));
        let names_flow = |line: &LogLine| flow_lines.iter().any(|own| std::ptr::eq(*own, line));
        let mut shown: Vec<&LogLine> = lines
            .iter()
            .filter(|line| names_flow(line) || (is_in_context(line) && line.is_state_change()))
            .collect();
        shown.sort_by_key(|line| line.time_ms);
        Self {
            start_ms,
            lines: shown,
            missing,
        }
    }

    /// Returns the trace of a flow that no line names.
    fn without_lines(lines: &'a [LogLine]) -> Self {
        let mut missing = vec![
            "no line names the flow: packets that are delivered directly are counted, not logged"
                .to_owned(),
        ];
        missing.extend(suppressed_summary(lines.iter()));
        Self {
            start_ms: 0,
            lines: Vec::new(),
            missing,
        }
    }
}

impl FlowId {
    fn parse(text: &str) -> Result<Self, Error> {
        let (caller, service) = match text.split_once('>') {
            Some((caller, service)) => (caller, Some(service)),
            None => (text, None),
        };
        let is_address = |text: &str| text.parse::<SocketAddr>().is_ok();
        if !is_address(caller) || !service.is_none_or(is_address) {
            return Err(Error::InvalidFlow(text.to_owned()));
        }
        Ok(Self {
            caller: caller.to_owned(),
            service: service.map(str::to_owned),
        })
    }
}

impl LogLine {
    /// Parses a log line; text that a log collector wrote before the JSON object is ignored.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let Value::Object(mut fields) = serde_json::from_str(&text[start..]).ok()? else {
            return None;
        };
        let time_ms = fields.remove("time")?.as_i64()?;
        let mut text_field = |name: &str| Some(fields.remove(name)?.as_str()?.to_owned());
        Some(Self {
            time_ms,
            process: text_field("process")?,
            event: text_field("event")?,
            fields,
        })
    }

    /// Returns `true` if the line names the flow.
    fn belongs_to(&self, id: &FlowId) -> bool {
        let endpoint = |end: &str| {
            let flow = self.fields.get("flow")?;
            flow.get(end)?.as_str()
        };
        let service = id.service.as_deref();
        endpoint("caller") == Some(id.caller.as_str())
            && service.is_none_or(|service| endpoint("service") == Some(service))
    }

    /// Returns `true` if the line reports a state change of its process.
    fn is_state_change(&self) -> bool {
        STATE_CHANGE_EVENTS.contains(&self.event.as_str())
    }

    /// Returns the addresses of other processes in the line.
    fn peer_addresses(&self) -> Vec<String> {
        let peer_fields = ["agent", "balancer"].into_iter();
        let addresses = peer_fields.filter_map(|field| self.fields.get(field)?.as_str());
        addresses.map(str::to_owned).collect()
    }

    fn to_text(&self, start_ms: i64) -> String {
        let elapsed_ms = self.time_ms - start_ms;
        let fields = Value::Object(self.fields.clone());
        format!(
            "{elapsed_ms:+6} ms  {:<20} {:<10} {fields}",
            self.process, self.event
        )
    }

    fn to_json(&self) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("time".to_owned(), json!(self.time_ms));
        fields.insert("process".to_owned(), json!(self.process));
        fields.insert("event".to_owned(), json!(self.event));
        Value::Object(fields)
    }
}

/// Summarizes the lines that exceeded the log budget, by process, event and reason.
fn suppressed_summary<'a>(lines: impl Iterator<Item = &'a LogLine>) -> Vec<String> {
    let mut counts: BTreeMap<(&str, &str, &str), u64> = BTreeMap::new();
    for line in lines.filter(|line| line.event == "suppressed") {
        let text_field = |name: &str| line.fields.get(name).and_then(Value::as_str);
        let (of, reason) = (
            text_field("of").unwrap_or(""),
            text_field("reason").unwrap_or(""),
        );
        let count = line.fields.get("lines").and_then(Value::as_u64);
        *counts.entry((&line.process, of, reason)).or_default() += count.unwrap_or(0);
    }
    let counts = counts.into_iter();
    counts
        .map(|((process, of, reason), count)| {
            format!("{count} lines {of} {reason} of {process} suppressed beyond the log budget")
        })
        .collect()
}

/// Returns the names of processes by the address that they logged when they started.
fn processes_by_address(lines: &[LogLine]) -> BTreeMap<String, String> {
    let started = lines.iter().filter(|line| line.event == "start");
    let processes = started.filter_map(|line| {
        let address = line.fields.get("address")?.as_str()?;
        Some((address.to_owned(), line.process.clone()))
    });
    processes.collect()
}

/// Parses all lines; also returns the number of lines that can't be parsed.
fn read_lines(logs: impl BufRead) -> Result<(Vec<LogLine>, usize), Error> {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for text in logs.lines() {
        match LogLine::parse(&text.map_err(Error::Read)?) {
            Some(line) => lines.push(line),
            None => unreadable += 1,
        }
    }
    Ok((lines, unreadable))
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::InvalidFlow(id) => write!(
                formatter,
                "{id:?} is not a flow; allowed: 192.0.2.1:40000 or 192.0.2.1:40000>198.51.100.1:443"
            ),
            Self::Read(cause) => write!(formatter, "logs can't be read: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
