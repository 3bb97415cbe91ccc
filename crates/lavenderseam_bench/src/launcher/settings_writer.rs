//! Writes the settings files of the processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Serialize;

use super::credentials::{Credentials, write_new_file};
use super::{Deployment, Network, Placement};
use crate::Error;

/// Name of the region that all processes run in.
const REGION: &str = "home";

/// Table `control` of the settings of a balancer or an agent.
#[derive(Serialize)]
struct ControlSettings {
    domain: String,
    region: &'static str,
    peer: SocketAddr,
    rpc: SocketAddr,
    store: SocketAddr,
    key_file: PathBuf,
    seeds: Vec<SocketAddr>,
}

/// Table `log` of the settings of a balancer or an agent.
#[derive(Serialize)]
struct LogSettings {
    level: &'static str,
}

/// Settings of a balancer.
#[derive(Serialize)]
struct BalancerSettings {
    name: String,
    fabric: SocketAddr,
    fabric_sources: Vec<SocketAddr>,
    control: ControlSettings,
    log: LogSettings,
}

/// Settings of an agent.
#[derive(Serialize)]
struct AgentSettings {
    name: String,
    group: &'static str,
    egress: SocketAddr,
    backend: SocketAddr,
    certificate_file: PathBuf,
    private_key_file: PathBuf,
    control: ControlSettings,
    log: LogSettings,
}

/// Writes the settings of a deployment's processes.
pub(crate) struct SettingsWriter<'a> {
    pub(crate) directory: &'a Path,
    pub(crate) deployment: &'a Deployment,
    pub(crate) network: Network,
    pub(crate) credentials: &'a Credentials,
    pub(crate) log_level: &'static str,
}

impl SettingsWriter<'_> {
    /// Writes the settings of a balancer and returns the path of the file.
    pub(crate) fn balancer(&self, index: usize) -> Result<PathBuf, Error> {
        let name = Deployment::balancer_name(index);
        let settings = BalancerSettings {
            name: name.clone(),
            fabric: self.network.balancer_fabric(index),
            fabric_sources: vec![self.network.ingress()],
            control: self.control_settings(
                self.deployment.balancer_domain(index),
                self.network.balancer_peer(index),
                self.network.balancer_rpc(index),
            ),
            log: self.log_settings(),
        };
        self.write(&name, &settings)
    }

    /// Writes the settings of an agent and returns the path of the file.
    pub(crate) fn agent(&self, placement: &Placement) -> Result<PathBuf, Error> {
        let index = placement.index;
        let settings = AgentSettings {
            name: placement.target.clone(),
            group: placement.group.name,
            egress: self.network.egress(),
            backend: self.network.backend(index),
            certificate_file: self.credentials.certificate_file.clone(),
            private_key_file: self.credentials.private_key_file.clone(),
            control: self.control_settings(
                placement.domain,
                self.network.agent_peer(index),
                self.network.agent_rpc(index),
            ),
            log: self.log_settings(),
        };
        self.write(&format!("agent-{}", placement.target), &settings)
    }

    /// Writes settings as TOML and returns the path of the file.
    pub(crate) fn write(&self, name: &str, settings: &impl Serialize) -> Result<PathBuf, Error> {
        let path = self.directory.join(format!("{name}.toml"));
        let text = toml::to_string(settings)
            .map_err(|source| Error::setting(name, source, "values that TOML can hold"))?;
        write_new_file(&path, &text)?;
        Ok(path)
    }

    fn control_settings(&self, domain: &str, peer: SocketAddr, rpc: SocketAddr) -> ControlSettings {
        let balancers = 0..self.deployment.balancers;
        ControlSettings {
            domain: domain.to_owned(),
            region: REGION,
            peer,
            rpc,
            store: self.network.object_api(),
            key_file: self.credentials.key_file.clone(),
            seeds: balancers
                .map(|index| self.network.balancer_rpc(index))
                .filter(|seed| *seed != rpc)
                .collect(),
        }
    }

    const fn log_settings(&self) -> LogSettings {
        LogSettings {
            level: self.log_level,
        }
    }
}
