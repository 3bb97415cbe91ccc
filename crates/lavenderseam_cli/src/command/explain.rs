//! Where a new flow goes, and why.

use std::fmt::Write as _;
use std::net::SocketAddr;

use argh::FromArgs;
use lavenderseam_core::flow::router::{Action, Settings, System};
use lavenderseam_core::flow::{Key, Kind, Packet, Router};
use lavenderseam_core::rank;
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::{Candidate, Standing, View};
use lavenderseam_platform::Store;
use serde_json::json;

use super::read;
use crate::edit::Editor;
use crate::{Error, Report};

/// Tells where a new flow goes, and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the caller's address
    #[argh(option)]
    pub caller: SocketAddr,
    /// the service's address
    #[argh(option)]
    pub service: SocketAddr,
    /// the flow's first destination connection id, 32 hexadecimal digits; the trace id in the logs
    #[argh(option)]
    pub connection: Option<Connection>,
}

/// A connection id that a caller opens a flow with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection([u8; 16]);

/// A text that is not 32 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(String);

/// Tells where a new flow goes by the records in the store, before any balancer knows the loads.
///
/// # Errors
///
/// Returns [`Error::NoService`] if no service has the address, or another [`Error`].
pub async fn explain<S: Store>(
    editor: &Editor<'_, S>,
    arguments: &Explain,
    seed: u64,
) -> Result<Report, Error> {
    let view = read::view(editor.list().await?);
    let mut flow = Key::new(seed, arguments.caller, arguments.service);
    if let Some(connection) = arguments.connection {
        flow = flow.with_connection(&connection.0);
    }
    explain_flow(&view, flow, arguments.service)
}

fn explain_flow(view: &View, flow: Key, address: SocketAddr) -> Result<Report, Error> {
    let service = view.service(address).ok_or(Error::NoService(address))?;
    let chosen = chosen(view, flow, address);
    let mut ranked: Vec<&Candidate> = service.candidates.iter().collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse(score(flow, candidate)));
    let any_serves = ranked
        .iter()
        .any(|candidate| candidate.standing == Standing::Serving);
    let mut text = format!(
        "service {} group {} flow {flow}\n",
        service.name, service.group
    );
    match chosen {
        Some(target) => {
            let _ = writeln!(text, "a new flow goes to {}", target.name);
        }
        None => text.push_str("a new flow goes nowhere: no target takes new flows\n"),
    }
    let mut rows = Vec::new();
    for (index, candidate) in ranked.iter().enumerate() {
        let why = reason(candidate, any_serves);
        let place = index + 1;
        let (name, domain) = (&candidate.name, &candidate.domain);
        let _ = writeln!(text, "{place}. {name} in {domain}: {why}");
        rows.push(json!({ "place": place, "target": name, "domain": domain, "reason": why }));
    }
    let json = json!({
        "service": service.name,
        "group": service.group,
        "flow": flow.to_string(),
        "target": chosen.map(|target| &target.name),
        "order": rows,
    });
    Ok(Report::new(text, json))
}

/// What a balancer without state decides.
fn chosen(view: &View, flow: Key, service: SocketAddr) -> Option<&Candidate> {
    let settings = Settings {
        shards: 1,
        capacity: 1,
        ..Settings::default()
    };
    let router = Router::<System>::new(settings);
    let packet = Packet {
        flow,
        service,
        kind: Kind::Opener,
        token: None,
    };
    match router.packet(&packet, view, Instant(0)) {
        Action::Forward { target, .. } => view.target(target),
        Action::Drop(_) => None,
    }
}

fn score(flow: Key, candidate: &Candidate) -> u64 {
    rank::score(flow.word(), candidate.tag.0)
}

fn reason(candidate: &Candidate, any_serves: bool) -> &'static str {
    match candidate.standing {
        Standing::Serving => "serving, takes new flows in this order unless its agent refuses",
        Standing::Down if any_serves => "found down, not taken while others serve",
        Standing::Down => "found down, tried because no target serves",
        Standing::Draining => "draining, keeps its flows and takes no new ones",
        Standing::Out => "its failure domain is out, gets no packets",
    }
}

impl std::str::FromStr for Connection {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed(text.to_owned());
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(malformed());
        }
        let word = u128::from_str_radix(text, 16).map_err(|_| malformed())?;
        Ok(Self(word.to_be_bytes()))
    }
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:?} is no connection id; allowed: 32 hexadecimal digits",
            self.0
        )
    }
}

impl std::error::Error for Malformed {}
