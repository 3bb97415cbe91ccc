//! The operators' command line.

use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lavenderseam_cli::command::{
    apply, delete, domain, drain, explain, read, status, trace, watch,
};
use lavenderseam_cli::edit::Editor;
use lavenderseam_cli::{
    Arguments, Command, Error, Exit, Output, Report, Settings, SettingsError, hoist,
};
use lavenderseam_core::record::Id;
use lavenderseam_platform::Client;
use lavenderseam_wire::Key;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = match parse() {
        Ok(arguments) => arguments,
        Err(exit) => return ExitCode::from(exit as u8),
    };
    match run(&arguments).await {
        Ok(report) => {
            print(&report, arguments.output);
            ExitCode::from(Exit::Success as u8)
        }
        Err(error) => {
            match arguments.output {
                Output::Text => eprintln!("lavenderseam: {error}"),
                Output::Json => eprintln!("{:#}", error.json()),
            }
            ExitCode::from(error.exit() as u8)
        }
    }
}

fn parse() -> Result<Arguments, Exit> {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let given = hoist(&given);
    let given: Vec<&str> = given.iter().map(String::as_str).collect();
    Arguments::from_args(&["lavenderseam"], &given).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            Exit::Success
        }
        Err(()) => {
            eprintln!("{}", early.output);
            Exit::Usage
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
        .ok_or(Error::Needs("store"))?;
    let store = Client::new(address);
    let editor = Editor::new(&store, Duration::from_secs(arguments.timeout));
    let dry_run = arguments.dry_run;
    match &arguments.command {
        Command::Apply(command) => apply::apply(&editor, command, dry_run).await,
        Command::Get(command) => read::get(&editor, command).await,
        Command::Describe(command) => read::describe(&editor, command).await,
        Command::Delete(command) => {
            let id = Id::new(command.kind, &command.name);
            delete::delete(&editor, &id, dry_run).await
        }
        Command::Drain(command) => drain::drain(&editor, &command.target, dry_run).await,
        Command::Undrain(command) => drain::undrain(&editor, &command.target, dry_run).await,
        Command::Domain(command) => domain::set(&editor, command, dry_run).await,
        Command::Status(command) => status::status(&editor, command, &settings.processes).await,
        Command::Explain(command) => explain::explain(&editor, command, seed(&settings)?).await,
        // It needs no store, so it was done before.
        Command::Trace(_) => Ok(Report::new("", serde_json::Value::Null)),
        Command::Watch(command) => {
            let show = |report: Report| print(&report, arguments.output);
            watch::watch(&editor, command, show).await?;
            Ok(Report::new("", serde_json::Value::Null))
        }
    }
}

/// The seed of flow keys, from the shared key.
fn seed(settings: &Settings) -> Result<u64, Error> {
    let path = settings.key_file.as_ref().ok_or(Error::Needs("settings"))?;
    let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::File {
        path: path.clone(),
        cause,
    })?;
    let key: Key = text.parse().map_err(|_| SettingsError::Key(path.clone()))?;
    Ok(key.seed())
}

fn print(report: &Report, output: Output) {
    let text = report.print(output);
    if text.is_empty() || report.json.is_null() {
        return;
    }
    // A reader that has gone away is no failure of the command.
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}
