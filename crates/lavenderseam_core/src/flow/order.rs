//! The order in which the targets of a service are tried for a flow.

use std::cmp::Reverse;

use super::Key;
use crate::id::Tag;
use crate::rank;
use crate::view::{Candidate, Service, Standing};

/// Rank of a target for a flow; the highest is tried first.
type Rank = (Reverse<bool>, u64);

/// Rendezvous score of a target for a flow.
pub(crate) fn score(flow: Key, target: Tag) -> u64 {
    rank::score(flow.word(), target.0)
}

/// The first target that may be offered a new flow and isn't excluded.
///
/// Targets that are down are offered flows only if no target of the service serves: a dead one
/// would swallow the packets of callers that the others refuse.
pub(crate) fn first_taker(
    service: &Service,
    flow: Key,
    mut excluded: impl FnMut(Tag) -> bool,
) -> Option<&Candidate> {
    let wanted = taker_standing(service);
    service
        .candidates
        .iter()
        .filter(|candidate| candidate.standing == wanted && !excluded(candidate.tag))
        .max_by_key(|candidate| score(flow, candidate.tag))
}

/// The first target that may hold the flow and isn't excluded; those that are down come last.
pub(crate) fn first_holder(
    service: &Service,
    flow: Key,
    mut excluded: impl FnMut(Tag) -> bool,
) -> Option<&Candidate> {
    service
        .candidates
        .iter()
        .filter(|candidate| candidate.holds_flows() && !excluded(candidate.tag))
        .max_by_key(|candidate| holder_rank(flow, candidate))
}

/// The standing of the targets that are offered new flows.
pub(crate) fn taker_standing(service: &Service) -> Standing {
    let serves = |candidate: &Candidate| candidate.standing == Standing::Serving;
    if service.candidates.iter().any(serves) {
        Standing::Serving
    } else {
        Standing::Down
    }
}

fn holder_rank(flow: Key, candidate: &Candidate) -> Rank {
    let down = candidate.standing == Standing::Down;
    (Reverse(down), score(flow, candidate.tag))
}
