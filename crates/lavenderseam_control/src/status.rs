//! The `status` method: what a process holds, for operators and tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::id::Incarnation;
use lavenderseam_core::record::Kind;
use lavenderseam_core::value;
use lavenderseam_platform::Store;

use crate::Role;
use crate::remote::Error;
use crate::shared::Shared;

value! {
    /// What a process holds.
    pub struct Status {
        /// Name of the balancer or target.
        pub name: String,
        /// `balancer` or `agent`.
        pub role: String,
        /// The process' present run.
        pub incarnation: Incarnation,
        /// Digest of all records held, folded into one word.
        pub digest: u64,
        /// Highest revision held.
        pub head: Revision,
        /// Highest revision in the published view.
        pub view: Revision,
        /// Whether the process acts on its view.
        pub gate: bool,
        /// Whether the process watches the store.
        pub watching: bool,
        /// Time since the store was last known to hold nothing newer, in milliseconds; none if that
        /// was never known.
        pub age_ms: Option<u64>,
        /// Revision in force of each record, by kind and name; deleted records are left out.
        pub records: BTreeMap<String, BTreeMap<String, Revision>>,
    }
}

/// Registers the method. It takes an optional list of the kinds to report.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the method is registered already.
pub(crate) fn register<S: Store>(module: &mut RpcModule<Arc<Shared<S>>>) -> Result<(), Error> {
    let registered = module.register_method("status", |parameters, shared, _| {
        let kinds: Option<Vec<Kind>> = parameters.sequence().optional_next()?;
        Ok::<_, ErrorObjectOwned>(status(shared, &kinds.unwrap_or(Kind::ALL.to_vec())))
    });
    registered.map(|_| ()).map_err(|_| Error::Malformed)
}

fn status<S: Store>(shared: &Shared<S>, kinds: &[Kind]) -> Status {
    let (name, role) = match &shared.identity.role {
        Role::Balancer(name) => (name.to_string(), "balancer"),
        Role::Agent { target, .. } => (target.to_string(), "agent"),
    };
    let relay = shared.relay.lock();
    let catalog = relay.node.catalog();
    let mut records: BTreeMap<String, BTreeMap<String, Revision>> = BTreeMap::new();
    let present = catalog.entries().filter(|entry| entry.document.is_some());
    for entry in present.filter(|entry| kinds.contains(&entry.id.kind)) {
        let of_kind = records.entry(entry.id.kind.to_string()).or_default();
        of_kind.insert(entry.id.name.clone(), entry.revision);
    }
    let age = relay.node.age(shared.clock.now());
    Status {
        name,
        role: role.to_owned(),
        incarnation: shared.identity.incarnation,
        digest: catalog.digest().root(),
        head: catalog.head(),
        view: shared.views.present().revision(),
        gate: shared.gate.is_open(),
        watching: relay.node.is_watching(),
        age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
        records,
    }
}
