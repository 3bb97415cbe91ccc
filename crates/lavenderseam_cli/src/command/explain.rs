//! The `explain` command, which predicts the target of a new flow.

use std::fmt::Write as _;
use std::net::SocketAddr;

use argh::FromArgs;
use lavenderseam_core::flow::router::{Action, Settings, StdLocks};
use lavenderseam_core::flow::{Key, Kind, Packet, Router};
use lavenderseam_core::rank;
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::{Candidate, TargetState, View};
use lavenderseam_platform::Store;
use serde_json::json;

use super::read;
use crate::deadline_store::DeadlineStore;
use crate::{Error, Report};

/// Explains to which target a new flow is routed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// address of the caller
    #[argh(option)]
    pub caller: SocketAddr,
    /// address of the service
    #[argh(option)]
    pub service: SocketAddr,
    /// first destination connection id of the flow, 32 hexadecimal digits; logged as its trace id
    #[argh(option)]
    pub connection: Option<ConnectionId>,
}

/// QUIC destination connection id of the first packet of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId([u8; 16]);

/// Error for a connection id that is not 32 hexadecimal digits; holds the text that was given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConnectionId(String);

/// Explains to which target a balancer that has no load reports yet routes a new flow, by the
/// records in the store.
///
/// # Errors
///
/// Returns [`Error::NoService`] if no service has the address, or another [`Error`].
pub async fn explain<S: Store>(
    store: &DeadlineStore<'_, S>,
    arguments: &Explain,
    seed: u64,
) -> Result<Report, Error> {
    let view = read::view(store.list().await?);
    let mut flow = Key::new(seed, arguments.caller, arguments.service);
    if let Some(connection) = arguments.connection {
        flow = flow.with_connection_id(&connection.0);
    }
    explain_flow(&view, flow, arguments.service)
}

/// Ranks the targets of the service for a flow and reports the decision.
fn explain_flow(view: &View, flow: Key, address: SocketAddr) -> Result<Report, Error> {
    let service = view.service_at(address).ok_or(Error::NoService(address))?;
    let chosen = chosen_target(view, flow, address);
    let mut ranked: Vec<&Candidate> = service.candidates.iter().collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse(score(flow, candidate)));
    let any_serving = ranked
        .iter()
        .any(|candidate| candidate.state == TargetState::Serving);
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
    let mut ranking = Vec::new();
    for (index, candidate) in ranked.iter().enumerate() {
        let reason = standing_reason(candidate, any_serving);
        let position = index + 1;
        let (name, domain) = (&candidate.name, &candidate.domain);
        let _ = writeln!(text, "{position}. {name} in {domain}: {reason}");
        ranking
            .push(json!({ "place": position, "target": name, "domain": domain, "reason": reason }));
    }
    let json = json!({
        "service": service.name,
        "group": service.group,
        "flow": flow.to_string(),
        "target": chosen.map(|target| &target.name),
        "order": ranking,
    });
    Ok(Report::new(text, json))
}

/// Returns the target to which a balancer without cached flows and load reports forwards a new
/// flow.
fn chosen_target(view: &View, flow: Key, service: SocketAddr) -> Option<&Candidate> {
    let settings = Settings {
        shard_count: 1,
        capacity: 1,
        ..Settings::default()
    };
    let router = Router::<StdLocks>::new(settings);
    let packet = Packet {
        flow,
        service,
        kind: Kind::Opener,
        token: None,
    };
    match router.route(&packet, view, Instant(0)) {
        Action::Forward { target, .. } => view.target_by_tag(target),
        Action::Drop(_) => None,
    }
}

/// Returns the rendezvous hashing score of a target for a flow.
fn score(flow: Key, candidate: &Candidate) -> u64 {
    rank::score(flow.fold_u64(), candidate.tag.0)
}

/// Explains whether a target takes new flows.
fn standing_reason(candidate: &Candidate, any_serving: bool) -> &'static str {
    match candidate.state {
        TargetState::Serving => "serving, takes new flows in this order unless its agent refuses",
        TargetState::Down if any_serving => "found down, not taken while others serve",
        TargetState::Down => "found down, tried because no target serves",
        TargetState::Draining => "draining, keeps its flows and takes no new ones",
        TargetState::Out => "its failure domain is out, gets no packets",
    }
}

impl std::str::FromStr for ConnectionId {
    type Err = InvalidConnectionId;

    fn from_str(text: &str) -> Result<Self, InvalidConnectionId> {
        let error = || InvalidConnectionId(text.to_owned());
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(error());
        }
        let word = u128::from_str_radix(text, 16).map_err(|_| error())?;
        Ok(Self(word.to_be_bytes()))
    }
}

impl std::fmt::Display for InvalidConnectionId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:?} is not a connection id; allowed: 32 hexadecimal digits",
            self.0
        )
    }
}

impl std::error::Error for InvalidConnectionId {}
