//! Subcommand that compares lavenderseam with the baseline on all experiments.

use std::process::ExitCode;

use argh::FromArgs;
use futures::StreamExt;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::{Options, System};
use lavenderseam_bench::report::{HEAD, markdown_row};
use lavenderseam_bench::schedule::Experiment;

use super::catalogue::load_experiments;
use super::run::{experiment_name, run_experiment};

/// Run all experiments of the repository, each with lavenderseam and with the baseline, and print
/// a table of their measures.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Measure {
    /// seed for the load and the stand-ins
    #[argh(option, default = "1")]
    seed: u64,
    /// number of deployments that run at the same time
    #[argh(option, default = "1")]
    jobs: usize,
    /// run only experiments whose name contains this text
    #[argh(option, default = "String::new()")]
    only: String,
}

impl Measure {
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        let runs = load_experiments()?
            .into_iter()
            .map(|(file, experiment)| (experiment_name(&file), experiment))
            .filter(|(name, _)| name.contains(&self.only))
            .flat_map(|(name, experiment)| {
                [System::Lavenderseam, System::Hashing]
                    .map(|system| (name.clone(), experiment.clone(), system))
            });
        println!("{HEAD}");
        let mut rows = futures::stream::iter(runs)
            .map(|(name, experiment, system)| self.measure_row(name, experiment, system))
            .buffered(self.jobs.max(1));
        while let Some(row) = rows.next().await {
            println!("{row}");
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Runs an experiment with a system and returns its row of the table.
    async fn measure_row(&self, name: String, experiment: Experiment, system: System) -> String {
        let options = Options {
            seed: self.seed,
            system,
            ..Options::default()
        };
        match run_experiment(name.clone(), experiment, options).await {
            Ok(report) => markdown_row(&report),
            Err(error) => format!("| {name} | {system:?} | not run: {error} |"),
        }
    }
}
