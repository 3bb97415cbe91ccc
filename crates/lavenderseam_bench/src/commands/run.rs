//! Subcommand that runs one experiment.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::{Options, Programs, SERVER_NAME, System};
use lavenderseam_bench::load::LibraryClient;
use lavenderseam_bench::report::{RunReport, render_table};
use lavenderseam_bench::run::ExperimentRunner;
use lavenderseam_bench::schedule::Experiment;

/// Run one experiment, print its results and check its expectations.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct Run {
    /// experiment file to run
    #[argh(positional)]
    file: PathBuf,
    /// seed for the load and the stand-ins
    #[argh(option, default = "1")]
    seed: u64,
    /// file to write the result to, as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// baseline to run in place of the balancers; the only one is hashing
    #[argh(option)]
    baseline: Option<String>,
    /// keep the settings and log files of the processes
    #[argh(switch)]
    keep_files: bool,
}

impl Run {
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        let system = match self.baseline.as_deref() {
            None => System::Lavenderseam,
            Some("hashing") => System::Hashing,
            Some(other) => return Err(Error::setting("baseline", other, "hashing")),
        };
        let options = Options {
            seed: self.seed,
            keep_files: self.keep_files,
            system,
            ..Options::default()
        };
        let experiment = Experiment::load(&self.file)?;
        let report = run_experiment(experiment_name(&self.file), experiment, options).await?;
        print!("{}", render_table(&report));
        if let Some(path) = &self.json {
            write_json(path, &report)?;
        }
        Ok(exit_code(report.expectations_hold()))
    }
}

/// Runs an experiment with the caller library.
///
/// # Errors
///
/// Returns [`Error::Interrupted`] if the bench receives a signal to terminate.
pub(crate) async fn run_experiment(
    name: String,
    experiment: Experiment,
    options: Options,
) -> Result<RunReport, Error> {
    let programs = Programs::new()?;
    let runner = ExperimentRunner {
        name,
        experiment,
        options,
    };
    let run = runner.run(&programs, |cluster| {
        LibraryClient::new(SERVER_NAME, cluster.certificate_file())
    });
    tokio::select! {
        result = run => result,
        () = super::wait_for_interrupt() => Err(Error::Interrupted),
    }
}

/// Returns exit code 0 if all expectations hold, else 1.
pub(crate) fn exit_code(holds: bool) -> ExitCode {
    if holds {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

/// Returns the name of an experiment: its file name without the extension.
pub(crate) fn experiment_name(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or(file.as_os_str());
    stem.to_string_lossy().into_owned()
}

/// Writes a report to a file as JSON; creates the directory if needed.
fn write_json(path: &Path, report: &RunReport) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(report);
    let text =
        text.map_err(|error| Error::setting("json", error, "values that can be written as JSON"))?;
    if let Some(directory) = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
    {
        let created = std::fs::create_dir_all(directory);
        created.map_err(|error| Error::file(directory, error))?;
    }
    std::fs::write(path, text).map_err(|error| Error::file(path, error))
}
