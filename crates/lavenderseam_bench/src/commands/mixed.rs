//! Subcommand that runs random experiments with two faults each.

use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::{Deployment, Options};
use lavenderseam_bench::report::render_table;
use lavenderseam_bench::schedule::random_experiment;

use super::run::{exit_code, run_experiment};

/// Run random experiments with two faults each, one experiment per seed.
#[derive(FromArgs)]
#[argh(subcommand, name = "mixed")]
pub(crate) struct Mixed {
    /// deployment to run: khangai or fiji
    #[argh(option, default = "String::from(\"khangai\")")]
    deployment: String,
    /// range of seeds A..B, not including B
    #[argh(option)]
    seeds: String,
}

impl Mixed {
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        let deployment = Deployment::by_name(&self.deployment)?;
        let mut failed = Vec::new();
        for seed in parse_seeds(&self.seeds)? {
            let options = Options {
                seed,
                ..Options::default()
            };
            let experiment = random_experiment(deployment.clone(), seed);
            for fault in &experiment.faults {
                println!("{fault} at {} ms for {} ms", fault.at_ms, fault.for_ms);
            }
            let report = run_experiment(format!("mixed_{seed}"), experiment, options).await?;
            print!("{}", render_table(&report));
            if !report.expectations_hold() {
                failed.push(seed);
            }
        }
        println!("seeds that fail: {failed:?}");
        Ok(exit_code(failed.is_empty()))
    }
}

/// Parses a range of seeds `A..B`.
fn parse_seeds(text: &str) -> Result<std::ops::Range<u64>, Error> {
    let range = text.split_once("..").and_then(|(from, to)| {
        let from = from.parse::<u64>().ok()?;
        Some(from..to.parse::<u64>().ok()?)
    });
    range.ok_or_else(|| Error::setting("seeds", text, "a range of seeds such as 1..5"))
}
