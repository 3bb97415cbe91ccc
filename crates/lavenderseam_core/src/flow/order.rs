//! Order in which the targets of a service are tried for a flow.

use std::cmp::Reverse;

use super::Key;
use crate::id::Tag;
use crate::rank;
use crate::view::{Candidate, Service, TargetState};

/// Sort key of a target for a flow; the highest is tried first.
type Rank = (Reverse<bool>, u64);

/// Returns the rendezvous score of a target for a flow.
pub(crate) fn score(flow: Key, target: Tag) -> u64 {
    rank::score(flow.fold_u64(), target.0)
}

/// Returns the highest-ranked target that accepts new flows and isn't excluded.
///
/// Targets that are down are considered only if no target of the service is serving: otherwise a
/// dead target would black-hole the packets of callers that the serving targets refuse.
pub(crate) fn first_new_flow_target(
    service: &Service,
    flow: Key,
    mut excluded: impl FnMut(Tag) -> bool,
) -> Option<&Candidate> {
    let required = new_flow_standing(service);
    service
        .candidates
        .iter()
        .filter(|candidate| candidate.state == required && !excluded(candidate.tag))
        .max_by_key(|candidate| score(flow, candidate.tag))
}

/// Returns the highest-ranked target that may hold existing flows and isn't excluded; targets that
/// are down rank last.
pub(crate) fn first_possible_owner(
    service: &Service,
    flow: Key,
    mut excluded: impl FnMut(Tag) -> bool,
) -> Option<&Candidate> {
    service
        .candidates
        .iter()
        .filter(|candidate| candidate.accepts_established_flows() && !excluded(candidate.tag))
        .max_by_key(|candidate| owner_rank(flow, candidate))
}

/// Returns the state that a target of the service needs to be offered new flows.
pub(crate) fn new_flow_standing(service: &Service) -> TargetState {
    let is_serving = |candidate: &Candidate| candidate.state == TargetState::Serving;
    if service.candidates.iter().any(is_serving) {
        TargetState::Serving
    } else {
        TargetState::Down
    }
}

fn owner_rank(flow: Key, candidate: &Candidate) -> Rank {
    let is_down = candidate.state == TargetState::Down;
    (Reverse(is_down), score(flow, candidate.tag))
}
