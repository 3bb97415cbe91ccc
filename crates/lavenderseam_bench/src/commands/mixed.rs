//! Runs experiments with two faults drawn by seed.

use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::{Deployment, Options};
use lavenderseam_bench::report::table;
use lavenderseam_bench::schedule::mixed;

use super::run::{run, verdict};

/// Run experiments with two faults drawn by seed.
#[derive(FromArgs)]
#[argh(subcommand, name = "mixed")]
pub(crate) struct Mixed {
    /// khangai or fiji
    #[argh(option, default = "String::from(\"khangai\")")]
    deployment: String,
    /// seeds A..B, B left out
    #[argh(option)]
    seeds: String,
}

impl Mixed {
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        let deployment = Deployment::named(&self.deployment)?;
        let mut failed = Vec::new();
        for seed in seeds(&self.seeds)? {
            let options = Options {
                seed,
                ..Options::default()
            };
            let experiment = mixed(deployment.clone(), seed);
            for fault in &experiment.faults {
                println!("{fault} at {} ms for {} ms", fault.at_ms, fault.for_ms);
            }
            let outcome = run(format!("mixed_{seed}"), experiment, options).await?;
            print!("{}", table(&outcome));
            if !outcome.holds() {
                failed.push(seed);
            }
        }
        println!("seeds that fail: {failed:?}");
        Ok(verdict(failed.is_empty()))
    }
}

fn seeds(text: &str) -> Result<std::ops::Range<u64>, Error> {
    let range = text.split_once("..").and_then(|(from, to)| {
        let from = from.parse::<u64>().ok()?;
        Some(from..to.parse::<u64>().ok()?)
    });
    range.ok_or_else(|| Error::setting("seeds", text, "a range such as 1..5"))
}
