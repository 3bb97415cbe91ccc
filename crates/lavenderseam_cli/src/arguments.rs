//! The command line's arguments.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;

use crate::command;

/// Options that hold for all commands and take a value.
const VALUED: [&str; 4] = ["--output", "--store", "--settings", "--timeout"];
/// Options that hold for all commands and take none.
const PLAIN: [&str; 1] = ["--dry-run"];

/// Writes, reads, explains and watches lavenderseam's records.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// text or json
    #[argh(option, default = "Output::Text")]
    pub output: Output,
    /// show what would be written and write nothing
    #[argh(switch)]
    pub dry_run: bool,
    /// address of the platform's object API
    #[argh(option)]
    pub store: Option<SocketAddr>,
    /// settings file (TOML) with store, key_file and processes
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// seconds to keep trying while the store is away, 10 unless given
    #[argh(option, default = "10")]
    pub timeout: u64,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Writes the records of a file.
    Apply(command::apply::Apply),
    /// Prints records.
    Get(command::read::Get),
    /// Prints a record and what depends on it.
    Describe(command::read::Describe),
    /// Deletes a record.
    Delete(command::delete::Delete),
    /// Drains a target.
    Drain(command::drain::Drain),
    /// Lets a drained target serve again.
    Undrain(command::drain::Undrain),
    /// Takes a failure domain out or back in.
    Domain(command::domain::FailureDomain),
    /// Prints changes as they come.
    Watch(command::watch::Watch),
    /// Tells on how many processes the records are in force.
    Status(command::status::Status),
    /// Tells where a new flow goes, and why.
    Explain(command::explain::Explain),
    /// Joins the logs of several processes into a flow's story.
    Trace(command::trace::Trace),
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// For people.
    Text,
    /// One JSON value.
    Json,
}

/// A text that names no form of output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownOutput(pub String);

impl FromStr for Output {
    type Err = UnknownOutput;

    fn from_str(text: &str) -> Result<Self, UnknownOutput> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownOutput(text.to_owned())),
        }
    }
}

impl fmt::Display for UnknownOutput {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?} is no form of output; allowed: text, json",
            self.0
        )
    }
}

impl std::error::Error for UnknownOutput {}

/// Moves the options that hold for all commands before the command, so that they may be given
/// anywhere.
#[must_use]
pub fn hoist(arguments: &[String]) -> Vec<String> {
    let mut first = Vec::new();
    let mut rest = Vec::new();
    let mut remaining = arguments.iter();
    while let Some(argument) = remaining.next() {
        if PLAIN.contains(&argument.as_str()) {
            first.push(argument.clone());
        } else if VALUED.contains(&argument.as_str()) {
            first.push(argument.clone());
            first.extend(remaining.next().cloned());
        } else {
            rest.push(argument.clone());
        }
    }
    first.append(&mut rest);
    first
}
