//! The routing view: what a process routes by, compiled from its catalog.
//!
//! A view is immutable. A process compiles a new one after each change of its catalog and swaps
//! it in whole, so a packet is decided on one consistent state. A [`Compiler`] keeps the typed
//! records between compilations and rebuilds only the groups that a change touches.

mod candidate;
mod compiler;
mod service;
mod tables;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

pub use candidate::{Candidate, Standing};
pub use compiler::Compiler;
pub use service::Service;

use crate::catalog::{Catalog, Revision};
use crate::id;

/// The routing view of one catalog.
#[derive(Clone, Debug, Default)]
pub struct View {
    revision: Revision,
    services: HashMap<SocketAddr, Arc<Service>>,
    targets: HashMap<id::Tag, Arc<Candidate>>,
    out: Arc<BTreeSet<id::Domain>>,
}

impl View {
    /// Compiles the view of a whole catalog.
    #[must_use]
    pub fn new(catalog: &Catalog) -> Self {
        let mut compiler = Compiler::default();
        for entry in catalog.entries() {
            compiler.apply(entry);
        }
        compiler.compile()
    }

    /// Highest revision of the catalog that this view was compiled from.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The service at an address.
    #[must_use]
    pub fn service(&self, address: SocketAddr) -> Option<&Service> {
        self.services.get(&address).map(Arc::as_ref)
    }

    /// All services with the address that each is reached at.
    pub fn services(&self) -> impl Iterator<Item = (SocketAddr, &Service)> {
        self.services
            .iter()
            .map(|(address, service)| (*address, service.as_ref()))
    }

    /// A target by its tag.
    #[must_use]
    pub fn target(&self, tag: id::Tag) -> Option<&Candidate> {
        self.targets.get(&tag).map(Arc::as_ref)
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Candidate> {
        self.targets.values().map(Arc::as_ref)
    }

    /// Whether operators have taken a failure domain out.
    #[must_use]
    pub fn is_out(&self, domain: &id::Domain) -> bool {
        self.out.contains(domain)
    }
}
