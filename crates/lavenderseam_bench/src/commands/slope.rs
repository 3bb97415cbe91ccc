//! Subcommand that measures how costs grow with the size of the deployment.

use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::slope;

/// Measure how the cost of the control plane grows with the size of the deployment.
#[derive(FromArgs)]
#[argh(subcommand, name = "slope")]
pub(crate) struct Slope {
    /// name of the measurement, or `all`
    #[argh(positional)]
    name: String,

    /// seed for the generated deployment
    #[argh(option, default = "1")]
    seed: u64,
}

impl Slope {
    pub(crate) fn execute(&self) -> Result<ExitCode, Error> {
        let names = match self.name.as_str() {
            "all" => slope::SLOPE_NAMES.to_vec(),
            name => vec![name],
        };
        for name in names {
            match slope::run(name, self.seed) {
                Ok(report) => println!("{report}"),
                Err(error) => {
                    eprintln!("lavenderseam_bench: {error}");
                    return Ok(ExitCode::from(2));
                }
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
