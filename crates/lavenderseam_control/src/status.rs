//! RPC method `status`, which reports the state of a process to operators and tests.

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
use crate::control_state::ControlState;
use crate::rpc::Error;

value! {
    /// State of a process, as the `status` method reports it.
    pub struct Status {
        /// Name of the balancer or target.
        pub name: String,
        /// `balancer` or `agent`.
        pub role: String,
        /// Random number that identifies the current run of the process.
        pub incarnation: Incarnation,
        /// Digest of all records that the process holds, folded into 64 bits.
        pub digest: u64,
        /// Highest revision among the records that the process holds.
        pub head: Revision,
        /// Highest revision included in the published routing view.
        pub view: Revision,
        /// `true` if the gate is open: the process uses its routing view.
        pub gate: bool,
        /// `true` if the process watches the store.
        pub watching: bool,
        /// Age of the records in milliseconds: the time since the store was last known to hold
        /// nothing newer. `None` if that was never known.
        pub age_ms: Option<u64>,
        /// Revision of each record that exists, by kind and name.
        pub records: BTreeMap<String, BTreeMap<String, Revision>>,
    }
}

/// Registers the `status` method. Its optional parameter lists the kinds of records to report.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the method is registered already.
pub(crate) fn register_status<S: Store>(
    module: &mut RpcModule<Arc<ControlState<S>>>,
) -> Result<(), Error> {
    let registered = module.register_method("status", |parameters, control, _| {
        let kinds: Option<Vec<Kind>> = parameters.sequence().optional_next()?;
        Ok::<_, ErrorObjectOwned>(collect_status(
            control,
            &kinds.unwrap_or(Kind::ALL.to_vec()),
        ))
    });
    registered.map(|_| ()).map_err(|_| Error::Malformed)
}

/// Returns the state of the process, with the revisions of the records of some kinds.
fn collect_status<S: Store>(control: &ControlState<S>, kinds: &[Kind]) -> Status {
    let (name, role) = match &control.identity.role {
        Role::Balancer(name) => (name.to_string(), "balancer"),
        Role::Agent { target, .. } => (target.to_string(), "agent"),
    };
    let relay = control.relay.lock();
    let catalog = relay.node.catalog();
    let mut records: BTreeMap<String, BTreeMap<String, Revision>> = BTreeMap::new();
    let existing = catalog.entries().filter(|entry| entry.document.is_some());
    for entry in existing.filter(|entry| kinds.contains(&entry.id.kind)) {
        let revisions = records.entry(entry.id.kind.to_string()).or_default();
        revisions.insert(entry.id.name.clone(), entry.revision);
    }
    let age = relay.node.record_age(control.clock.now());
    Status {
        name,
        role: role.to_owned(),
        incarnation: control.identity.incarnation,
        digest: catalog.digest().root().records,
        head: catalog.highest_revision(),
        view: control.current_view.get().revision(),
        gate: control.forwarding_gate.is_open(),
        watching: relay.node.is_watching(),
        age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
        records,
    }
}
