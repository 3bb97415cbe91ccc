//! Experiment files.

use std::collections::BTreeMap;
use std::path::Path;
use std::str::FromStr;

use super::reader::Reader;
use super::{Expectation, Fault};
use crate::Error;
use crate::launcher::Deployment;

/// Load before a run that says nothing of it, in seconds.
pub(super) const WARM_UP_SECONDS: u64 = 7;

/// An experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// What it shows.
    pub about: String,
    /// Whether it belongs to the set that continuous integration runs.
    pub ci: bool,
    /// The deployment with the number of balancers asked for.
    pub deployment: Deployment,
    /// Load before the run that isn't counted, so that agents find out what their backend
    /// servers bear, in seconds.
    pub warm_up_seconds: u64,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Load by service.
    pub load: BTreeMap<String, Load>,
    /// Faults in the order of their times.
    pub faults: Vec<Fault>,
    /// What is expected.
    pub expectations: Vec<Expectation>,
}

/// Load on one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Callers that share the short requests.
    pub callers: u64,
    /// Live feeds, each of a caller of its own.
    pub feeds: u64,
    /// Edits a second.
    pub edits_per_second: f64,
    /// Downloads a second.
    pub downloads_per_second: f64,
    /// Size of a download, in bytes.
    pub download_bytes: u64,
    /// Look-ups a second.
    pub lookups_per_second: f64,
}

impl Experiment {
    /// Reads an experiment file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if it can't be read, and [`Error::Setting`] naming what can't be
    /// used.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|cause| Error::file(path, cause))?;
        text.parse()
    }
}

impl FromStr for Experiment {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut reader = Reader::parse(text)?;
        let about = reader.optional_text("about", "a text")?;
        let ci = reader.flag("ci")?;
        let name = reader.text("deployment", "\"khangai\" or \"fiji\"")?;
        let mut deployment = Deployment::named(&name)?;
        deployment.balancers = balancers(&mut reader, deployment.balancers)?;
        let seconds = reader.count("seconds", 20)?;
        if seconds == 0 {
            return Err(Error::setting("seconds", seconds, "1 or more"));
        }
        let warm_up_seconds = reader.count("warm_up_seconds", WARM_UP_SECONDS)?;
        let load = read_load(reader.table("load")?, &deployment)?;
        let mut faults = Vec::new();
        for entry in reader.tables("fault")? {
            faults.push(Fault::read(entry, &deployment)?);
        }
        faults.sort_by_key(|fault| fault.at_ms);
        let expectations = Expectation::read(reader.table("expect")?)?;
        reader.finish(
            "about, ci, deployment, balancers, warm_up_seconds, seconds, load, fault, expect",
        )?;
        Ok(Self {
            about,
            ci,
            deployment,
            warm_up_seconds,
            seconds,
            load,
            faults,
            expectations,
        })
    }
}

fn balancers(reader: &mut Reader, default: usize) -> Result<usize, Error> {
    let count = reader.count("balancers", default as u64)?;
    match usize::try_from(count) {
        Ok(count) if (1..=16).contains(&count) => Ok(count),
        _ => Err(Error::setting("balancers", count, "1 to 16")),
    }
}

fn read_load(mut reader: Reader, deployment: &Deployment) -> Result<BTreeMap<String, Load>, Error> {
    let mut load = BTreeMap::new();
    for group in deployment.groups {
        let service = reader.table(group.name)?;
        load.insert(group.name.to_owned(), Load::read(service)?);
    }
    let services: Vec<&str> = deployment.groups.iter().map(|group| group.name).collect();
    reader.finish(&format!("a service: {}", services.join(" or ")))?;
    Ok(load)
}

impl Load {
    fn read(mut reader: Reader) -> Result<Self, Error> {
        let standard = Self::default();
        let rate = "requests a second, 0 or more";
        let load = Self {
            callers: reader.count("callers", standard.callers)?,
            feeds: reader.count("feeds", standard.feeds)?,
            edits_per_second: reader.number("edits_per_second", standard.edits_per_second, rate)?,
            downloads_per_second: reader.number(
                "downloads_per_second",
                standard.downloads_per_second,
                rate,
            )?,
            download_bytes: reader.count("download_bytes", standard.download_bytes)?,
            lookups_per_second: reader.number(
                "lookups_per_second",
                standard.lookups_per_second,
                rate,
            )?,
        };
        if load.callers == 0 {
            return Err(Error::setting(reader.key("callers"), 0, "1 or more"));
        }
        reader.finish(
            "callers, feeds, edits_per_second, downloads_per_second, download_bytes, \
             lookups_per_second",
        )?;
        Ok(load)
    }
}

impl Default for Load {
    fn default() -> Self {
        Self {
            callers: 28,
            feeds: 12,
            edits_per_second: 20.0,
            downloads_per_second: 2.0,
            download_bytes: 1 << 20,
            lookups_per_second: 40.0,
        }
    }
}
