//! Draws the page of a run.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::report::{Outcome, page};

/// Draw a run's result as one self-contained page.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct Report {
    /// result as JSON
    #[argh(positional)]
    json: PathBuf,
    /// file that takes the page
    #[argh(option)]
    html: PathBuf,
}

impl Report {
    pub(crate) fn execute(&self) -> Result<ExitCode, Error> {
        let text = std::fs::read_to_string(&self.json);
        let text = text.map_err(|cause| Error::file(&self.json, cause))?;
        let outcome: Outcome = serde_json::from_str(&text)
            .map_err(|cause| Error::setting(self.json.display(), cause, "a result of `run`"))?;
        let written = std::fs::write(&self.html, page(&outcome));
        written.map_err(|cause| Error::file(&self.html, cause))?;
        Ok(ExitCode::SUCCESS)
    }
}
