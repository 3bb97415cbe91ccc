//! Errors of commands and the exit codes of the process.

use std::fmt;

use lavenderseam_core::catalog::Entry;
use lavenderseam_core::record::Id;
use lavenderseam_platform as platform;
use serde_json::{Value, json};

use crate::command::trace;
use crate::{SettingsError, record};

/// Exit codes of the `lavenderseam` process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed.
    Failure = 1,
    /// The arguments, the settings or a record are invalid; nothing was written.
    Usage = 2,
    /// Another writer changed the record first; this change was not written.
    Conflict = 3,
    /// The response to a write was lost and its outcome can't be determined.
    UnknownOutcome = 4,
    /// The store is unavailable; this change was not written.
    Unavailable = 5,
}

/// Conflicting versions of a record: this change, and what another writer stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// Identity of the record.
    pub id: Id,
    /// Version that the change was based on; `None` if the record didn't exist. It has no document
    /// if only the revision is known.
    pub base: Option<Entry>,
    /// Document that the change would have written; `None` for a deletion.
    pub desired: Option<lavenderseam_core::record::Document>,
    /// Version in the store; `None` if the record doesn't exist or can't be read.
    pub current: Option<Entry>,
}

/// Error returned by a command.
#[derive(Debug)]
pub enum Error {
    /// The settings can't be used.
    Settings(SettingsError),
    /// A record in a file or an argument is invalid.
    Record(record::Error),
    /// The `trace` command failed.
    Trace(trace::Error),
    /// A required setting is missing; holds the option that supplies it.
    MissingSetting(&'static str),
    /// The record doesn't exist.
    NotFound(Id),
    /// No service has the address.
    NoService(std::net::SocketAddr),
    /// Another writer changed the record first; nothing was written.
    Conflict(Box<Conflict>),
    /// The response to a write was lost and its outcome can't be determined.
    UnknownOutcome(Id),
    /// The store is unavailable; nothing was written.
    Unavailable(platform::Error),
    /// The store rejected the call.
    Rejected(platform::Error),
    /// Writing several records stopped at one that failed.
    Partial {
        /// Records that were written or needed no change before the failure.
        applied: Vec<Id>,
        /// Records after the failed one, which were not written.
        not_tried: Vec<Id>,
        /// Error of the record that failed.
        cause: Box<Error>,
    },
}

impl Error {
    /// Returns the exit code for the error.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Settings(_) | Self::Record(_) | Self::MissingSetting(_) => ExitStatus::Usage,
            Self::Trace(trace::Error::InvalidFlow(_)) => ExitStatus::Usage,
            Self::Trace(trace::Error::Read(_)) => ExitStatus::Failure,
            Self::NotFound(_) | Self::NoService(_) | Self::Rejected(_) => ExitStatus::Failure,
            Self::Conflict(_) => ExitStatus::Conflict,
            Self::UnknownOutcome(_) => ExitStatus::UnknownOutcome,
            Self::Unavailable(_) => ExitStatus::Unavailable,
            Self::Partial { cause, .. } => cause.exit_status(),
        }
    }

    /// Returns the error as JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let mut value = json!({ "error": self.to_string(), "exit": self.exit_status() as u8 });
        if let Self::Conflict(conflict) = self {
            value["conflict"] = json!({
                "id": conflict.id,
                "base": conflict.base,
                "wanted": conflict.desired,
                "present": conflict.current,
            });
        }
        if let Self::Partial {
            applied,
            not_tried,
            cause,
        } = self
        {
            value["applied"] = json!(applied);
            value["not_tried"] = json!(not_tried);
            value["cause"] = cause.to_json();
        }
        value
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(error) => error.fmt(formatter),
            Self::Record(error) => error.fmt(formatter),
            Self::Trace(error) => error.fmt(formatter),
            Self::MissingSetting(key) => write!(
                formatter,
                "{key} is missing; pass --{key} or set it in the file of --settings"
            ),
            Self::NotFound(id) => write!(formatter, "{id} doesn't exist"),
            Self::NoService(address) => write!(formatter, "no service has this address: {address}"),
            Self::Conflict(conflict) => conflict.fmt(formatter),
            Self::UnknownOutcome(id) => write!(
                formatter,
                "outcome unknown: the store didn't answer the write of {id}; check the record with \
                 `get` before retrying"
            ),
            Self::Unavailable(e) => write!(formatter, "store unavailable: {e}; nothing written"),
            Self::Rejected(cause) => cause.fmt(formatter),
            Self::Partial {
                applied,
                not_tried,
                cause,
            } => {
                write!(
                    formatter,
                    "{cause}\napplied before: {}",
                    format_ids(applied)
                )?;
                write!(formatter, "\nnot tried: {}", format_ids(not_tried))
            }
        }
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "conflict: {} was changed by another writer; nothing written\n  based on: {}\n  \
             wanted:   {}\n  present:  {}",
            self.id,
            format_version(self.base.as_ref()),
            self.desired
                .as_ref()
                .map_or("deleted".to_owned(), format_spec),
            format_version(self.current.as_ref()),
        )
    }
}

impl std::error::Error for Error {}

impl From<record::Error> for Error {
    fn from(error: record::Error) -> Self {
        Self::Record(error)
    }
}

impl From<trace::Error> for Error {
    fn from(error: trace::Error) -> Self {
        Self::Trace(error)
    }
}

impl From<SettingsError> for Error {
    fn from(error: SettingsError) -> Self {
        Self::Settings(error)
    }
}

/// Formats the names of records as a list.
fn format_ids(ids: &[Id]) -> String {
    if ids.is_empty() {
        return "none".to_owned();
    }
    let names: Vec<String> = ids.iter().map(Id::to_string).collect();
    names.join(", ")
}

/// Describes a version of a record, or its absence.
fn format_version(entry: Option<&Entry>) -> String {
    let Some(entry) = entry else {
        return "doesn't exist".to_owned();
    };
    let content = entry.document.as_ref();
    let content = content.map_or("content no longer known".to_owned(), format_spec);
    format!("revision {}, {content}", entry.revision)
}

/// Formats the schema version and the spec of a document.
fn format_spec(document: &lavenderseam_core::record::Document) -> String {
    let spec = Value::Object(document.spec.clone());
    format!("schema {} {spec}", document.schema)
}
