//! Parses experiment files.

use std::collections::BTreeMap;
use std::path::Path;
use std::str::FromStr;

use super::table_reader::TableReader;
use super::{Expectation, Fault};
use crate::Error;
use crate::launcher::Deployment;

/// Length of the warm-up in experiments that don't set one, in seconds.
pub(super) const DEFAULT_WARM_UP_SECONDS: u64 = 7;

/// An experiment: a deployment under load, faults that are injected, and the expected results.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Description of what the experiment shows.
    pub about: String,
    /// `true` if continuous integration runs the experiment.
    pub ci: bool,
    /// Deployment, with the number of balancers that the experiment sets.
    pub deployment: Deployment,
    /// Length of the load before the run, in seconds. It isn't counted; it lets the agents adapt
    /// to the capacity of their backend servers.
    pub warm_up_seconds: u64,
    /// Length of the counted load, in seconds.
    pub seconds: u64,
    /// Load on each service, by the name of the service.
    pub load: BTreeMap<String, ServiceLoad>,
    /// Faults, ordered by start time.
    pub faults: Vec<Fault>,
    /// Expected results of the run.
    pub expectations: Vec<Expectation>,
}

/// Load that the callers put on one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Number of callers that share the lookups, edits and downloads.
    pub callers: u64,
    /// Number of live feeds, each with its own caller.
    pub feeds: u64,
    /// Edits per second.
    pub edits_per_second: f64,
    /// Downloads per second.
    pub downloads_per_second: f64,
    /// Size of each download, in bytes.
    pub download_bytes: u64,
    /// Lookups per second.
    pub lookups_per_second: f64,
}

impl Experiment {
    /// Reads and parses an experiment file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if the file can't be read, and [`Error::InvalidSetting`] with the
    /// key of the first invalid value.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|error| Error::file(path, error))?;
        text.parse()
    }
}

impl FromStr for Experiment {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut reader = TableReader::parse(text)?;
        let about = reader.take_optional_string("about", "a string")?;
        let ci = reader.take_bool("ci")?;
        let name = reader.take_string("deployment", "\"khangai\" or \"fiji\"")?;
        let mut deployment = Deployment::by_name(&name)?;
        deployment.balancers = parse_balancer_count(&mut reader, deployment.balancers)?;
        let seconds = reader.take_count("seconds", 20)?;
        if seconds == 0 {
            return Err(Error::setting("seconds", seconds, "1 or more"));
        }
        let warm_up_seconds = reader.take_count("warm_up_seconds", DEFAULT_WARM_UP_SECONDS)?;
        let load = parse_loads(reader.take_table("load")?, &deployment)?;
        let mut faults = Vec::new();
        for entry in reader.take_tables("fault")? {
            faults.push(Fault::parse(entry, &deployment)?);
        }
        faults.sort_by_key(|fault| fault.at_ms);
        let expectations = Expectation::parse(reader.take_table("expect")?)?;
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

/// Parses the number of balancers; returns the default if it is absent.
fn parse_balancer_count(reader: &mut TableReader, default: usize) -> Result<usize, Error> {
    let count = reader.take_count("balancers", default as u64)?;
    match usize::try_from(count) {
        Ok(count) if (1..=16).contains(&count) => Ok(count),
        _ => Err(Error::setting("balancers", count, "1 to 16")),
    }
}

/// Parses the load on each service of a deployment; absent services get the default load.
fn parse_loads(
    mut reader: TableReader,
    deployment: &Deployment,
) -> Result<BTreeMap<String, ServiceLoad>, Error> {
    let mut loads = BTreeMap::new();
    for group in deployment.groups {
        let service = reader.take_table(group.name)?;
        loads.insert(group.name.to_owned(), ServiceLoad::parse(service)?);
    }
    let services: Vec<&str> = deployment.groups.iter().map(|group| group.name).collect();
    reader.finish(&format!("a service: {}", services.join(" or ")))?;
    Ok(loads)
}

impl ServiceLoad {
    /// Parses the load on one service; absent keys get their default values.
    fn parse(mut reader: TableReader) -> Result<Self, Error> {
        let defaults = Self::default();
        let allowed_rates = "requests per second, 0 or more";
        let load = Self {
            callers: reader.take_count("callers", defaults.callers)?,
            feeds: reader.take_count("feeds", defaults.feeds)?,
            edits_per_second: reader.take_number(
                "edits_per_second",
                defaults.edits_per_second,
                allowed_rates,
            )?,
            downloads_per_second: reader.take_number(
                "downloads_per_second",
                defaults.downloads_per_second,
                allowed_rates,
            )?,
            download_bytes: reader.take_count("download_bytes", defaults.download_bytes)?,
            lookups_per_second: reader.take_number(
                "lookups_per_second",
                defaults.lookups_per_second,
                allowed_rates,
            )?,
        };
        if load.callers == 0 {
            return Err(Error::setting(reader.full_key("callers"), 0, "1 or more"));
        }
        reader.finish(
            "callers, feeds, edits_per_second, downloads_per_second, download_bytes, \
             lookups_per_second",
        )?;
        Ok(load)
    }
}

impl Default for ServiceLoad {
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
