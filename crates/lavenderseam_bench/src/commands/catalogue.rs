//! Subcommands that list or run the experiment files of the repository.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::Options;
use lavenderseam_bench::report::render_table;
use lavenderseam_bench::schedule::Experiment;

use super::run::{exit_code, experiment_name, run_experiment};

/// Directory that holds the experiment files of the repository.
const EXPERIMENT_DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");

/// List the experiment files of the repository.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

/// Run the experiments marked for continuous integration, each with seed 1.
#[derive(FromArgs)]
#[argh(subcommand, name = "ci")]
pub(crate) struct Ci {
    /// experiment with a known failure; it is run, but does not affect the exit code
    #[argh(option)]
    known_red: Vec<String>,
}

impl List {
    pub(crate) fn execute(&self) -> Result<ExitCode, Error> {
        for (file, experiment) in load_experiments()? {
            let ci_mark = if experiment.ci { "ci" } else { "  " };
            println!(
                "{:44} {ci_mark} {}",
                experiment_name(&file),
                experiment.about
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}

impl Ci {
    pub(crate) async fn execute(&self) -> Result<ExitCode, Error> {
        let mut passed = 0;
        let mut failed = Vec::new();
        for (file, experiment) in load_experiments()? {
            if !experiment.ci {
                continue;
            }
            let name = experiment_name(&file);
            let report = run_experiment(name.clone(), experiment, Options::default()).await?;
            print!("{}", render_table(&report));
            if report.expectations_hold() {
                passed += 1;
            } else {
                failed.push(name);
            }
        }
        let (known_failures, failed): (Vec<_>, Vec<_>) = failed
            .into_iter()
            .partition(|name| self.known_red.contains(name));
        for name in &known_failures {
            println!("fails, as known: {name}");
        }
        for name in &failed {
            println!("fails: {name}");
        }
        println!("experiments: {passed} passed, {} failed", failed.len());
        Ok(exit_code(failed.is_empty()))
    }
}

/// Reads all experiment files of the repository, sorted by file name.
pub(super) fn load_experiments() -> Result<Vec<(PathBuf, Experiment)>, Error> {
    let directory = Path::new(EXPERIMENT_DIRECTORY);
    let entries = std::fs::read_dir(directory).map_err(|error| Error::file(directory, error))?;
    let mut files: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "toml")
        })
        .collect();
    files.sort();
    files
        .into_iter()
        .map(|file| {
            let experiment = Experiment::load(&file)?;
            Ok((file, experiment))
        })
        .collect()
}
