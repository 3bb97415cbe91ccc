//! Command line of the test bench.

use std::process::ExitCode;

use argh::FromArgs;

mod commands;

use commands::Command;

/// Start deployments of lavenderseam, put load on them, inject faults and report what the callers
/// observed.
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
        Err(error) => {
            eprintln!("lavenderseam_bench: {error}");
            ExitCode::from(2)
        }
    }
}
