//! Measures slopes.

use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::slope;

/// Measure how the control plane's cost grows with the size of the deployment.
#[derive(FromArgs)]
#[argh(subcommand, name = "slope")]
pub(crate) struct Slope {
    /// name of the slope, or `all`
    #[argh(positional)]
    name: String,

    /// seed of the fixture
    #[argh(option, default = "1")]
    seed: u64,
}

impl Slope {
    pub(crate) fn execute(&self) -> Result<ExitCode, Error> {
        let names = match self.name.as_str() {
            "all" => slope::NAMES.to_vec(),
            name => vec![name],
        };
        for name in names {
            match slope::run(name, self.seed) {
                Ok(report) => println!("{report}"),
                Err(unknown) => {
                    eprintln!("lavenderseam_bench: {unknown}");
                    return Ok(ExitCode::from(2));
                }
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
