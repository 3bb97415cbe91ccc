//! Subcommand that renders the result of a run as an HTML page.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::report::{RunReport, render_html};

/// Render the result of a run as one self-contained HTML page.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct Report {
    /// JSON file written by `run`
    #[argh(positional)]
    json: PathBuf,
    /// HTML file to write
    #[argh(option)]
    html: PathBuf,
}

impl Report {
    pub(crate) fn execute(&self) -> Result<ExitCode, Error> {
        let text = std::fs::read_to_string(&self.json);
        let text = text.map_err(|error| Error::file(&self.json, error))?;
        let report: RunReport = serde_json::from_str(&text)
            .map_err(|error| Error::setting(self.json.display(), error, "JSON from `run`"))?;
        let written = std::fs::write(&self.html, render_html(&report));
        written.map_err(|error| Error::file(&self.html, error))?;
        Ok(ExitCode::SUCCESS)
    }
}
