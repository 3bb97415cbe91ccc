//! Why a command failed, and the exit code that says so.

use std::fmt;

use lavenderseam_core::catalog::Entry;
use lavenderseam_core::record::Id;
use lavenderseam_platform as platform;
use serde_json::{Value, json};

use crate::command::trace;
use crate::{SettingsError, record};

/// Exit codes of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Success = 0,
    /// The command failed.
    Failure = 1,
    /// The arguments, the settings or a record are wrong; nothing was written.
    Usage = 2,
    /// Another operator was faster; this change wasn't written.
    Conflict = 3,
    /// A write was sent and its outcome can't be told.
    Unknown = 4,
    /// The store can't be reached; this change wasn't written.
    Away = 5,
}

/// Two versions of a record that exclude each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// The record.
    pub id: Id,
    /// What the change was based on; none if the record didn't exist. It has no document if only
    /// the revision is known.
    pub base: Option<Entry>,
    /// What the change would have written; none if it would have deleted the record.
    pub wanted: Option<lavenderseam_core::record::Document>,
    /// What the store holds now, if it could be read and exists.
    pub present: Option<Entry>,
}

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
    /// The settings are wrong.
    Settings(SettingsError),
    /// A file or argument holds a record that can't be accepted.
    Record(record::Error),
    /// Logs can't be traced.
    Trace(trace::Error),
    /// A command needs a setting that isn't given; holds its key.
    Needs(&'static str),
    /// The record doesn't exist.
    Missing(Id),
    /// No service has the address.
    NoService(std::net::SocketAddr),
    /// Another writer was faster.
    Conflict(Box<Conflict>),
    /// A write was sent and its outcome can't be told.
    Unknown(Id),
    /// The store can't be reached; nothing was written.
    Away(platform::Error),
    /// The store rejected the call.
    Rejected(platform::Error),
    /// Several records were to be written and one failed.
    Partial {
        /// Records that were written or needed no change.
        applied: Vec<Id>,
        /// Records that were not tried.
        left: Vec<Id>,
        /// Why it stopped.
        cause: Box<Error>,
    },
}

impl Error {
    /// The exit code.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Settings(_) | Self::Record(_) | Self::Needs(_) => Exit::Usage,
            Self::Trace(trace::Error::Id(_)) => Exit::Usage,
            Self::Trace(trace::Error::Read(_)) => Exit::Failure,
            Self::Missing(_) | Self::NoService(_) | Self::Rejected(_) => Exit::Failure,
            Self::Conflict(_) => Exit::Conflict,
            Self::Unknown(_) => Exit::Unknown,
            Self::Away(_) => Exit::Away,
            Self::Partial { cause, .. } => cause.exit(),
        }
    }

    /// The failure for programs.
    #[must_use]
    pub fn json(&self) -> Value {
        let mut value = json!({ "error": self.to_string(), "exit": self.exit() as u8 });
        if let Self::Conflict(conflict) = self {
            value["conflict"] = json!({
                "id": conflict.id,
                "base": conflict.base,
                "wanted": conflict.wanted,
                "present": conflict.present,
            });
        }
        if let Self::Partial {
            applied,
            left,
            cause,
        } = self
        {
            value["applied"] = json!(applied);
            value["not_tried"] = json!(left);
            value["cause"] = cause.json();
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
            Self::Needs(key) => write!(
                formatter,
                "{key} isn't given; give --{key} or set it in the file of --settings"
            ),
            Self::Missing(id) => write!(formatter, "{id} doesn't exist"),
            Self::NoService(address) => write!(formatter, "no service has the address {address}"),
            Self::Conflict(conflict) => conflict.fmt(formatter),
            Self::Unknown(id) => write!(
                formatter,
                "outcome unknown: the write of {id} was sent and not answered; read it with `get` \
                 before trying again"
            ),
            Self::Away(cause) => write!(formatter, "store unavailable: {cause}; nothing written"),
            Self::Rejected(cause) => cause.fmt(formatter),
            Self::Partial {
                applied,
                left,
                cause,
            } => {
                write!(formatter, "{cause}\napplied before: {}", names(applied))?;
                write!(formatter, "\nnot tried: {}", names(left))
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
            version(self.base.as_ref()),
            self.wanted.as_ref().map_or("deleted".to_owned(), spec),
            version(self.present.as_ref()),
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

fn names(ids: &[Id]) -> String {
    if ids.is_empty() {
        return "none".to_owned();
    }
    let names: Vec<String> = ids.iter().map(Id::to_string).collect();
    names.join(", ")
}

fn version(entry: Option<&Entry>) -> String {
    let Some(entry) = entry else {
        return "doesn't exist".to_owned();
    };
    let content = entry.document.as_ref();
    let content = content.map_or("content no longer known".to_owned(), spec);
    format!("revision {}, {content}", entry.revision)
}

fn spec(document: &lavenderseam_core::record::Document) -> String {
    let spec = Value::Object(document.spec.clone());
    format!("schema {} {spec}", document.schema)
}
