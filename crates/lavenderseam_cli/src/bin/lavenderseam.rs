//! `lavenderseam`, the command line for operators.

use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lavenderseam_cli::command::{
    apply, delete, drain, explain, failure_domain, read, status, trace, watch,
};
use lavenderseam_cli::deadline_store::DeadlineStore;
use lavenderseam_cli::{
    Arguments, Command, Error, ExitStatus, Output, Report, Settings, SettingsError,
    move_global_options_first,
};
use lavenderseam_core::record::Id;
use lavenderseam_platform::Client;
use lavenderseam_wire::SymmetricKey;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(arguments) => arguments,
        Err(exit_status) => return ExitCode::from(exit_status as u8),
    };
    match run(&arguments).await {
        Ok(report) => {
            print(&report, arguments.output);
            ExitCode::from(ExitStatus::Success as u8)
        }
        Err(error) => {
            match arguments.output {
                Output::Text => eprintln!("lavenderseam: {error}"),
                Output::Json => eprintln!("{:#}", error.to_json()),
            }
            ExitCode::from(error.exit_status() as u8)
        }
    }
}

/// Parses the command line. Prints the help or a usage error and returns the exit code if there is
/// no command to run.
fn parse_arguments() -> Result<Arguments, ExitStatus> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments = move_global_options_first(&arguments);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    Arguments::from_args(&["lavenderseam"], &arguments).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            ExitStatus::Success
        }
        Err(()) => {
            eprintln!("{}", early.output);
            ExitStatus::Usage
        }
    })
}

async fn run(arguments: &Arguments) -> Result<Report, Error> {
    if let Command::Trace(command) = &arguments.command {
        return Ok(trace::trace(command, std::io::stdin().lock())?);
    }
    let settings = match &arguments.settings {
        Some(path) => Settings::load(path)?,
        None => Settings::default(),
    };
    let address: SocketAddr = arguments
        .store
        .or(settings.store)
        .ok_or(Error::MissingSetting("store"))?;
    let client = Client::new(address);
    let store = DeadlineStore::new(&client, Duration::from_secs(arguments.timeout));
    let dry_run = arguments.dry_run;
    match &arguments.command {
        Command::Apply(command) => apply::apply(&store, command, dry_run).await,
        Command::Get(command) => read::get(&store, command).await,
        Command::Describe(command) => read::describe(&store, command).await,
        Command::Delete(command) => {
            let id = Id::new(command.kind, &command.name);
            delete::delete(&store, &id, dry_run).await
        }
        Command::Drain(command) => drain::drain(&store, &command.target, dry_run).await,
        Command::Undrain(command) => drain::undrain(&store, &command.target, dry_run).await,
        Command::Domain(command) => failure_domain::set_state(&store, command, dry_run).await,
        Command::Status(command) => status::status(&store, command, &settings.processes).await,
        Command::Explain(command) => explain::explain(&store, command, flow_seed(&settings)?).await,
        // Handled at the top of this function, because it needs no store.
        Command::Trace(_) => Ok(Report::new("", serde_json::Value::Null)),
        Command::Watch(command) => {
            let print_change = |report: Report| print(&report, arguments.output);
            watch::watch(&store, command, print_change).await?;
            Ok(Report::new("", serde_json::Value::Null))
        }
    }
}

/// Reads the shared key and derives the seed of flow keys from it.
fn flow_seed(settings: &Settings) -> Result<u64, Error> {
    let path = settings
        .key_file
        .as_ref()
        .ok_or(Error::MissingSetting("settings"))?;
    let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Read {
        path: path.clone(),
        cause,
    })?;
    let key: SymmetricKey = text
        .parse()
        .map_err(|_| SettingsError::InvalidKey(path.clone()))?;
    Ok(key.flow_hash_seed())
}

/// Prints a report to standard output, unless it is empty.
fn print(report: &Report, output: Output) {
    let text = report.render(output);
    if text.is_empty() || report.json.is_null() {
        return;
    }
    // A closed pipe on standard output is not an error of the command.
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}
