//! The `failure-domain` command, which takes failure domains out of service and puts them back.

use argh::FromArgs;
use lavenderseam_core::id;
use lavenderseam_core::record::{Document, Domain, DomainState, Id, Kind, Record, Schema};
use lavenderseam_platform::Store;

use super::write_document;
use crate::deadline_store::DeadlineStore;
use crate::{Error, Report, record};

/// Takes a failure domain out of service or puts it back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "failure-domain")]
pub struct FailureDomain {
    /// new state, out or in
    #[argh(subcommand)]
    pub state: State,
}

/// New state of the failure domain.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum State {
    /// Takes the failure domain out of service.
    Out(Out),
    /// Puts the failure domain back into service.
    In(In),
}

/// Takes a failure domain out of service: it gets no packets, and its flows are abandoned.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "out")]
pub struct Out {
    /// name of the failure domain
    #[argh(positional)]
    pub name: id::Domain,
    /// reason, recorded for other operators
    #[argh(option)]
    pub reason: Option<String>,
}

/// Puts a failure domain back into service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "in")]
pub struct In {
    /// name of the failure domain
    #[argh(positional)]
    pub name: id::Domain,
    /// reason, recorded for other operators
    #[argh(option)]
    pub reason: Option<String>,
}

impl FailureDomain {
    /// Returns the name of the failure domain, its new state and the reason.
    #[must_use]
    pub fn requested_state(&self) -> (&id::Domain, DomainState, Option<&str>) {
        match &self.state {
            State::Out(out) => (&out.name, DomainState::Out, out.reason.as_deref()),
            State::In(put_back) => (&put_back.name, DomainState::In, put_back.reason.as_deref()),
        }
    }
}

/// Sets the state of a failure domain.
///
/// A stored record of schema 1 keeps its version. The reason is then stored as an additional field,
/// which programs that don't know it preserve.
///
/// # Errors
///
/// Returns [`Error::NotFound`] if the failure domain has neither a record nor a target, or another
/// [`Error`].
pub async fn set_state<S: Store>(
    store: &DeadlineStore<'_, S>,
    arguments: &FailureDomain,
    dry_run: bool,
) -> Result<Report, Error> {
    let (name, state, reason) = arguments.requested_state();
    let id = Id::new(Kind::FailureDomain, name);
    let current = store.get(&id).await?;
    if current.is_none() && !has_targets(store, name).await? {
        return Err(Error::NotFound(id));
    }
    let stored_document = current.as_ref().and_then(|entry| entry.document.clone());
    let new_document = || Document::new(Kind::FailureDomain, name, Schema(2));
    let mut document = stored_document.unwrap_or_else(new_document);
    let reason = reason.map(str::to_owned);
    Domain {
        state,
        reason: reason.clone(),
    }
    .write(&mut document);
    if document.schema == Schema(1) {
        document.spec.remove("reason");
        document
            .spec
            .extend(reason.map(|reason| ("reason".to_owned(), reason.into())));
    }
    record::validate(&document)?;
    write_document(store, current.as_ref(), document, dry_run).await
}

/// Returns `true` if any target is in the failure domain.
async fn has_targets<S: Store>(
    store: &DeadlineStore<'_, S>,
    name: &id::Domain,
) -> Result<bool, Error> {
    let list = store.list().await?;
    let domain = |document: &Document| document.spec.get("domain").cloned();
    Ok(list
        .entries
        .iter()
        .filter_map(|entry| domain(entry.document.as_ref()?))
        .any(|target_domain| target_domain == name.as_str()))
}
