//! Measures all committed experiments beside the baseline.

use std::process::ExitCode;

use argh::FromArgs;
use futures::StreamExt;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::{Options, System};
use lavenderseam_bench::report::{HEAD, row};
use lavenderseam_bench::schedule::Experiment;

use super::catalogue::experiments;
use super::run::{name, run};

/// Run all committed experiments, each with lavenderseam and with the baseline, and print the
/// table of measures.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Measure {
    /// seed of the load and the stand-ins
    #[argh(option, default = "1")]
    seed: u64,
    /// deployments that run at a time
    #[argh(option, default = "1")]
    jobs: usize,
    /// only experiments whose name contains this
    #[argh(option, default = "String::new()")]
    only: String,
}

impl Measure {
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        let chosen = experiments()?
            .into_iter()
            .map(|(file, experiment)| (name(&file), experiment))
            .filter(|(name, _)| name.contains(&self.only))
            .flat_map(|(name, experiment)| {
                [System::Lavenderseam, System::Hashing]
                    .map(|system| (name.clone(), experiment.clone(), system))
            });
        println!("{HEAD}");
        let mut rows = futures::stream::iter(chosen)
            .map(|(name, experiment, system)| self.measure(name, experiment, system))
            .buffered(self.jobs.max(1));
        while let Some(row) = rows.next().await {
            println!("{row}");
        }
        Ok(ExitCode::SUCCESS)
    }

    async fn measure(&self, name: String, experiment: Experiment, system: System) -> String {
        let options = Options {
            seed: self.seed,
            system,
            ..Options::default()
        };
        match run(name.clone(), experiment, options).await {
            Ok(outcome) => row(&outcome),
            Err(error) => format!("| {name} | {system:?} | not run: {error} |"),
        }
    }
}
