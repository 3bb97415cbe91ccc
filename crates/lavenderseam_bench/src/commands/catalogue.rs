//! The committed experiments.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::Options;
use lavenderseam_bench::report::table;
use lavenderseam_bench::schedule::Experiment;

use super::run::{name, run, verdict};

/// Directory of the committed experiments.
const DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");

/// List the committed experiment files.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

/// Run the experiments of the continuous integration, with seed 1 each.
#[derive(FromArgs)]
#[argh(subcommand, name = "ci")]
pub(crate) struct Ci {
    /// an experiment whose failure is known: it runs, but does not decide
    #[argh(option)]
    known_red: Vec<String>,
}

impl List {
    pub(crate) fn execute(&self) -> Result<ExitCode, Error> {
        for (file, experiment) in experiments()? {
            let mark = if experiment.ci { "ci" } else { "  " };
            println!("{:44} {mark} {}", name(&file), experiment.about);
        }
        Ok(ExitCode::SUCCESS)
    }
}

impl Ci {
    pub(crate) async fn execute(&self) -> Result<ExitCode, Error> {
        let mut passed = 0;
        let mut failed = Vec::new();
        for (file, experiment) in experiments()? {
            if !experiment.ci {
                continue;
            }
            let name = name(&file);
            let outcome = run(name.clone(), experiment, Options::default()).await?;
            print!("{}", table(&outcome));
            if outcome.holds() {
                passed += 1;
            } else {
                failed.push(name);
            }
        }
        let (known, failed): (Vec<_>, Vec<_>) = failed
            .into_iter()
            .partition(|name| self.known_red.contains(name));
        for name in &known {
            println!("fails, as known: {name}");
        }
        for name in &failed {
            println!("fails: {name}");
        }
        println!("experiments: {passed} passed, {} failed", failed.len());
        Ok(verdict(failed.is_empty()))
    }
}

pub(super) fn experiments() -> Result<Vec<(PathBuf, Experiment)>, Error> {
    let directory = Path::new(DIRECTORY);
    let entries = std::fs::read_dir(directory).map_err(|cause| Error::file(directory, cause))?;
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
