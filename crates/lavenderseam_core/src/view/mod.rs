//! The routing view: the immutable routing table compiled from a catalog.
//!
//! A process compiles a new view after each change of its catalog and replaces the old one
//! atomically, so each packet is routed by one consistent state. A [`Compiler`] keeps the typed
//! records between compilations and rebuilds only the groups that a change affects.

mod candidate;
mod compiler;
mod service;
mod tables;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

pub use candidate::{Candidate, TargetState};
pub use compiler::Compiler;
pub use service::Service;

use crate::catalog::{Catalog, Revision};
use crate::id;

/// Immutable routing table compiled from one state of a catalog.
#[derive(Clone, Debug, Default)]
pub struct View {
    revision: Revision,
    services: HashMap<SocketAddr, Arc<Service>>,
    targets: HashMap<id::Tag, Arc<Candidate>>,
    domains_out: Arc<BTreeSet<id::Domain>>,
}

impl View {
    /// Compiles the view of a catalog from scratch.
    #[must_use]
    pub fn new(catalog: &Catalog) -> Self {
        let mut compiler = Compiler::default();
        for entry in catalog.entries() {
            compiler.apply(entry);
        }
        compiler.compile()
    }

    /// Returns the highest revision among the entries that the view was compiled from.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the service that callers reach at an address.
    #[must_use]
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.services.get(&address).map(Arc::as_ref)
    }

    /// Returns each service address with its service.
    pub fn services(&self) -> impl Iterator<Item = (SocketAddr, &Service)> {
        self.services
            .iter()
            .map(|(address, service)| (*address, service.as_ref()))
    }

    /// Returns the target with a tag.
    #[must_use]
    pub fn target_by_tag(&self, tag: id::Tag) -> Option<&Candidate> {
        self.targets.get(&tag).map(Arc::as_ref)
    }

    /// Returns all targets, in no particular order.
    pub fn targets(&self) -> impl Iterator<Item = &Candidate> {
        self.targets.values().map(Arc::as_ref)
    }

    /// Returns `true` if operators have taken the failure domain out of service.
    #[must_use]
    pub fn is_domain_out(&self, domain: &id::Domain) -> bool {
        self.domains_out.contains(domain)
    }
}
