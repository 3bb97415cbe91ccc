//! A service as routing sees it.

use std::sync::Arc;

use super::Candidate;
use crate::{id, record};

/// A service as routing sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: id::Service,
    /// Group that serves it.
    pub group: id::Group,
    /// What one target of the group bears.
    pub bears: record::Group,
    /// All targets of the group, whatever their standing.
    pub candidates: Arc<[Candidate]>,
}
