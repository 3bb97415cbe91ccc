//! The bench's command line.

use std::process::ExitCode;

use argh::FromArgs;

mod commands;

use commands::Command;

/// Starts deployments of lavenderseam, loads them, injects faults and reports what callers saw.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command.execute().await {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("lavenderseam_bench: {failure}");
            ExitCode::from(2)
        }
    }
}
