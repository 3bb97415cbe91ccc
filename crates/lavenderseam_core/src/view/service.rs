//! Services in the routing view, with the targets and limits of their groups.

use std::sync::Arc;

use super::Candidate;
use crate::{id, record};

/// A service in the routing view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
    /// Backend group that serves the service.
    pub group: id::Group,
    /// Limits on each target of the group.
    pub limits: record::Group,
    /// All targets of the group, including those that are down, draining or out of service.
    pub candidates: Arc<[Candidate]>,
}
