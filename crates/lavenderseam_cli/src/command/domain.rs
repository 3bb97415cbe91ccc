//! Taking failure domains out and back in.

use argh::FromArgs;
use lavenderseam_core::id;
use lavenderseam_core::record::{Document, Domain, DomainState, Id, Kind, Record, Schema};
use lavenderseam_platform::Store;

use super::store_one;
use crate::edit::Editor;
use crate::{Error, Report, record};

/// Takes a failure domain out or back in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "failure-domain")]
pub struct FailureDomain {
    /// out or in
    #[argh(subcommand)]
    pub state: State,
}

/// Direction.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum State {
    /// Takes it out.
    Out(Out),
    /// Takes it back in.
    In(In),
}

/// Takes a failure domain out: it gets no packets, and flows that end there are given up.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "out")]
pub struct Out {
    /// name of the failure domain
    #[argh(positional)]
    pub name: id::Domain,
    /// why, for other operators to read
    #[argh(option)]
    pub reason: Option<String>,
}

/// Takes a failure domain back in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "in")]
pub struct In {
    /// name of the failure domain
    #[argh(positional)]
    pub name: id::Domain,
    /// why, for other operators to read
    #[argh(option)]
    pub reason: Option<String>,
}

impl FailureDomain {
    /// The failure domain, its new state and why.
    #[must_use]
    pub fn order(&self) -> (&id::Domain, DomainState, Option<&str>) {
        match &self.state {
            State::Out(out) => (&out.name, DomainState::Out, out.reason.as_deref()),
            State::In(back) => (&back.name, DomainState::In, back.reason.as_deref()),
        }
    }
}

/// Sets the state of a failure domain.
///
/// A stored record of schema 1 keeps its version; the reason is then kept beside its fields, where
/// programs that don't know it leave it alone.
///
/// # Errors
///
/// Returns [`Error::Missing`] if there is neither a record nor a target of the failure domain, or
/// another [`Error`].
pub async fn set<S: Store>(
    editor: &Editor<'_, S>,
    arguments: &FailureDomain,
    dry_run: bool,
) -> Result<Report, Error> {
    let (name, state, reason) = arguments.order();
    let id = Id::new(Kind::FailureDomain, name);
    let held = editor.get(&id).await?;
    if held.is_none() && !is_lived_in(editor, name).await? {
        return Err(Error::Missing(id));
    }
    let stored = held.as_ref().and_then(|entry| entry.document.clone());
    let new = || Document::new(Kind::FailureDomain, name, Schema(2));
    let mut document = stored.unwrap_or_else(new);
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
    record::check(&document)?;
    store_one(editor, held.as_ref(), document, dry_run).await
}

async fn is_lived_in<S: Store>(editor: &Editor<'_, S>, name: &id::Domain) -> Result<bool, Error> {
    let list = editor.list().await?;
    let domain = |document: &Document| document.spec.get("domain").cloned();
    Ok(list
        .entries
        .iter()
        .filter_map(|entry| domain(entry.document.as_ref()?))
        .any(|lived_in| lived_in == name.as_str()))
}
