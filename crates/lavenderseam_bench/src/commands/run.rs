//! Runs one experiment.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::{Options, Programs, SERVER_NAME, System};
use lavenderseam_bench::load::Library;
use lavenderseam_bench::report::{Outcome, table};
use lavenderseam_bench::run::Runner;
use lavenderseam_bench::schedule::Experiment;

/// Run an experiment, print its table and check its expectations.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct Run {
    /// experiment file
    #[argh(positional)]
    file: PathBuf,
    /// seed of the load and the stand-ins
    #[argh(option, default = "1")]
    seed: u64,
    /// file that takes the result as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// run a baseline in place of the balancers: hashing
    #[argh(option)]
    baseline: Option<String>,
    /// keep the settings and logs of the processes
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
        let outcome = run(name(&self.file), experiment, options).await?;
        print!("{}", table(&outcome));
        if let Some(path) = &self.json {
            write_json(path, &outcome)?;
        }
        Ok(verdict(outcome.holds()))
    }
}

/// Runs an experiment with the caller library, unless the bench is interrupted.
pub(crate) async fn run(
    name: String,
    experiment: Experiment,
    options: Options,
) -> Result<Outcome, Error> {
    let programs = Programs::new()?;
    let runner = Runner {
        name,
        experiment,
        options,
    };
    let run = runner.run(&programs, |cluster| {
        Library::new(SERVER_NAME, cluster.certificate_file())
    });
    tokio::select! {
        outcome = run => outcome,
        () = super::interrupted() => Err(Error::Interrupted),
    }
}

/// Exit code of a run: 0 if all expectations hold, else 1.
pub(crate) fn verdict(holds: bool) -> ExitCode {
    if holds {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

/// Name of an experiment file.
pub(crate) fn name(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or(file.as_os_str());
    stem.to_string_lossy().into_owned()
}

fn write_json(path: &Path, outcome: &Outcome) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(outcome);
    let text = text.map_err(|cause| Error::setting("json", cause, "values that JSON can hold"))?;
    if let Some(directory) = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
    {
        let made = std::fs::create_dir_all(directory);
        made.map_err(|cause| Error::file(directory, cause))?;
    }
    std::fs::write(path, text).map_err(|cause| Error::file(path, cause))
}
