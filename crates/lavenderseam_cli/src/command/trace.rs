//! The story of one flow, joined from the logs of several processes.
//!
//! Lines that name the flow are its own. Around them stand the lines in which the processes
//! concerned changed what they believe. What the logs can't tell is said: processes that were sent
//! to and left no line, and lines that exceeded their budget.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{self, BufRead};
use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::{Map, Value, json};

use crate::Report;

/// Milliseconds before the flow's first line in which changes are shown: records are in force
/// everywhere within that time.
const BEFORE: i64 = 5_000;
/// Milliseconds after its last line.
const AFTER: i64 = 2_000;
/// Events in which a process changes what it believes.
const CHANGES: [&str; 9] = [
    "start",
    "stop",
    "reload",
    "ready",
    "desired",
    "outs",
    "target",
    "backend",
    "dependency",
];

/// Joins the log lines of several processes, read from standard input, into a flow's story.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// address of the caller, or CALLER>SERVICE
    #[argh(positional)]
    pub id: String,
}

/// Why logs can't be traced.
#[derive(Debug)]
pub enum Error {
    /// The id is no address and no pair of addresses; holds it.
    Id(String),
    /// The logs can't be read.
    Read(io::Error),
}

/// What a flow is called in the logs.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Id {
    caller: String,
    service: Option<String>,
}

/// A line of a log.
#[derive(Clone, Debug)]
struct Line {
    time: i64,
    process: String,
    event: String,
    fields: Map<String, Value>,
}

/// Tells the story of a flow.
///
/// # Errors
///
/// Returns [`Error`] if the id names no flow or the logs can't be read. Lines that are no log
/// lines are counted and passed over.
pub fn trace(command: &Trace, logs: impl BufRead) -> Result<Report, Error> {
    let id = Id::parse(&command.id)?;
    let (lines, unreadable) = read(logs)?;
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_of(&id)).collect();
    let story = Story::new(&lines, &own);
    let mut text = String::new();
    for line in &story.lines {
        let _ = writeln!(text, "{}", line.text(story.begun));
    }
    for missing in &story.missing {
        let _ = writeln!(text, "missing: {missing}");
    }
    let json = json!({
        "flow": command.id,
        "lines": story.lines.iter().map(|line| line.json()).collect::<Vec<_>>(),
        "missing": story.missing,
        "unreadable": unreadable,
    });
    Ok(Report::new(text, json))
}

struct Story<'a> {
    begun: i64,
    lines: Vec<&'a Line>,
    missing: Vec<String>,
}

impl<'a> Story<'a> {
    fn new(lines: &'a [Line], own: &[&'a Line]) -> Self {
        let Some(begun) = own.iter().map(|line| line.time).min() else {
            return Self::without_lines(lines);
        };
        let ended = own.iter().map(|line| line.time).max().unwrap_or(begun);
        let names = addresses(lines);
        let mut concerned: BTreeSet<String> = own.iter().map(|line| line.process.clone()).collect();
        let mut missing = Vec::new();
        for address in own.iter().flat_map(|line| line.peers()) {
            match names.get(&address) {
                Some(process) => {
                    concerned.insert(process.clone());
                }
                None => missing.push(format!("no log of the process at {address}")),
            }
        }
        missing.sort();
        missing.dedup();
        let within = |line: &&Line| {
            (begun - BEFORE..=ended + AFTER).contains(&line.time)
                && concerned.contains(&line.process)
        };
        missing.extend(suppressed(lines.iter().filter(within)));
        let is_own = |line: &Line| own.iter().any(|own| std::ptr::eq(*own, line));
        let mut shown: Vec<&Line> = lines
            .iter()
            .filter(|line| is_own(line) || (within(line) && line.is_change()))
            .collect();
        shown.sort_by_key(|line| line.time);
        Self {
            begun,
            lines: shown,
            missing,
        }
    }

    fn without_lines(lines: &'a [Line]) -> Self {
        let mut missing = vec![
            "no line names the flow: packets that go where they were sent are counted, not logged"
                .to_owned(),
        ];
        missing.extend(suppressed(lines.iter()));
        Self {
            begun: 0,
            lines: Vec::new(),
            missing,
        }
    }
}

impl Id {
    fn parse(text: &str) -> Result<Self, Error> {
        let (caller, service) = match text.split_once('>') {
            Some((caller, service)) => (caller, Some(service)),
            None => (text, None),
        };
        let is_address = |text: &str| text.parse::<SocketAddr>().is_ok();
        if !is_address(caller) || !service.is_none_or(is_address) {
            return Err(Error::Id(text.to_owned()));
        }
        Ok(Self {
            caller: caller.to_owned(),
            service: service.map(str::to_owned),
        })
    }
}

impl Line {
    /// Reads a log line, with whatever a collector wrote before it.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let Value::Object(mut fields) = serde_json::from_str(&text[start..]).ok()? else {
            return None;
        };
        let time = fields.remove("time")?.as_i64()?;
        let mut word = |name: &str| Some(fields.remove(name)?.as_str()?.to_owned());
        Some(Self {
            time,
            process: word("process")?,
            event: word("event")?,
            fields,
        })
    }

    fn is_of(&self, id: &Id) -> bool {
        let named = |end: &str| {
            let flow = self.fields.get("flow")?;
            flow.get(end)?.as_str()
        };
        let service = id.service.as_deref();
        named("caller") == Some(id.caller.as_str())
            && service.is_none_or(|service| named("service") == Some(service))
    }

    fn is_change(&self) -> bool {
        CHANGES.contains(&self.event.as_str())
    }

    /// Addresses of other processes that it names.
    fn peers(&self) -> Vec<String> {
        let named = ["agent", "balancer"].into_iter();
        let addresses = named.filter_map(|field| self.fields.get(field)?.as_str());
        addresses.map(str::to_owned).collect()
    }

    fn text(&self, begun: i64) -> String {
        let after = self.time - begun;
        let fields = Value::Object(self.fields.clone());
        format!(
            "{after:+6} ms  {:<20} {:<10} {fields}",
            self.process, self.event
        )
    }

    fn json(&self) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("time".to_owned(), json!(self.time));
        fields.insert("process".to_owned(), json!(self.process));
        fields.insert("event".to_owned(), json!(self.event));
        Value::Object(fields)
    }
}

/// Lines that exceeded their budget, summed by process, kind and reason.
fn suppressed<'a>(lines: impl Iterator<Item = &'a Line>) -> Vec<String> {
    let mut sums: BTreeMap<(&str, &str, &str), u64> = BTreeMap::new();
    for line in lines.filter(|line| line.event == "suppressed") {
        let word = |name: &str| line.fields.get(name).and_then(Value::as_str);
        let (of, reason) = (word("of").unwrap_or(""), word("reason").unwrap_or(""));
        let count = line.fields.get("lines").and_then(Value::as_u64);
        *sums.entry((&line.process, of, reason)).or_default() += count.unwrap_or(0);
    }
    let sums = sums.into_iter();
    sums.map(|((process, of, reason), count)| {
        format!("{count} lines {of} {reason} of {process} beyond their budget")
    })
    .collect()
}

/// Processes by the address that they said they have.
fn addresses(lines: &[Line]) -> BTreeMap<String, String> {
    let started = lines.iter().filter(|line| line.event == "start");
    let named = started.filter_map(|line| {
        let address = line.fields.get("address")?.as_str()?;
        Some((address.to_owned(), line.process.clone()))
    });
    named.collect()
}

fn read(logs: impl BufRead) -> Result<(Vec<Line>, usize), Error> {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for text in logs.lines() {
        match Line::parse(&text.map_err(Error::Read)?) {
            Some(line) => lines.push(line),
            None => unreadable += 1,
        }
    }
    Ok((lines, unreadable))
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Id(id) => write!(
                formatter,
                "{id:?} names no flow; allowed: 192.0.2.1:40000 or 192.0.2.1:40000>198.51.100.1:443"
            ),
            Self::Read(cause) => write!(formatter, "logs can't be read: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
