//! Command-line arguments.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;

use crate::command;

/// Global options that take a value.
const GLOBAL_OPTIONS: [&str; 4] = ["--output", "--store", "--settings", "--timeout"];
/// Global switches, which take no value.
const GLOBAL_SWITCHES: [&str; 1] = ["--dry-run"];

/// Reads, writes and watches the records of lavenderseam, and explains routing decisions.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// output format, text or json
    #[argh(option, default = "Output::Text")]
    pub output: Output,
    /// print the changes without writing them
    #[argh(switch)]
    pub dry_run: bool,
    /// address of the object API of the platform
    #[argh(option)]
    pub store: Option<SocketAddr>,
    /// settings file (TOML) with the keys store, key_file and processes
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// seconds for which calls are retried while the store is unavailable (default 10)
    #[argh(option, default = "10")]
    pub timeout: u64,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Command selected on the command line.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Writes the records in a file to the store.
    Apply(command::apply::Apply),
    /// Prints records.
    Get(command::read::Get),
    /// Prints a record and the targets that it applies to.
    Describe(command::read::Describe),
    /// Deletes a record.
    Delete(command::delete::Delete),
    /// Drains a target.
    Drain(command::drain::Drain),
    /// Ends the drain of a target.
    Undrain(command::drain::Undrain),
    /// Takes a failure domain out of service or puts it back.
    Domain(command::failure_domain::FailureDomain),
    /// Prints record changes as they occur.
    Watch(command::watch::Watch),
    /// Reports on how many processes each record is in force.
    Status(command::status::Status),
    /// Explains to which target a new flow is routed.
    Explain(command::explain::Explain),
    /// Merges the log lines of one flow from several processes.
    Trace(command::trace::Trace),
}

/// Format in which reports and errors are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Human-readable text.
    Text,
    /// A JSON value.
    Json,
}

/// Error for an unknown output format; holds the text that was given.
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
            "unknown output format {:?}; allowed: text, json",
            self.0
        )
    }
}

impl std::error::Error for UnknownOutput {}

/// Moves global options in front of the subcommand.
///
/// `argh` accepts them only there, but operators may write them anywhere on the command line.
#[must_use]
pub fn move_global_options_first(arguments: &[String]) -> Vec<String> {
    let mut global = Vec::new();
    let mut others = Vec::new();
    let mut remaining = arguments.iter();
    while let Some(argument) = remaining.next() {
        if GLOBAL_SWITCHES.contains(&argument.as_str()) {
            global.push(argument.clone());
        } else if GLOBAL_OPTIONS.contains(&argument.as_str()) {
            global.push(argument.clone());
            global.extend(remaining.next().cloned());
        } else {
            others.push(argument.clone());
        }
    }
    global.append(&mut others);
    global
}
