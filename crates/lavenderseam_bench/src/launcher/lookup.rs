//! Looks up targets, services and processes of a cluster by name.

use std::net::{IpAddr, SocketAddr};

use super::{Cluster, Deployment, Placement};
use crate::Error;

impl Cluster {
    /// Returns the target with a name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownProcess`] if the name isn't known.
    pub fn placement(&self, target: &str) -> Result<&Placement, Error> {
        let mut placements = self.placements.iter();
        placements
            .find(|placement| placement.target == target)
            .ok_or_else(|| Error::UnknownProcess(target.to_owned()))
    }

    /// Returns the address of the service with a name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownProcess`] if the name isn't known.
    pub fn service_address(&self, name: &str) -> Result<SocketAddr, Error> {
        let mut services = self.deployment.groups.iter();
        let index = services.position(|group| group.name == name);
        index
            .map(|index| self.network.service(index))
            .ok_or_else(|| Error::UnknownProcess(name.to_owned()))
    }

    /// Returns the IP address of a balancer, an agent, a backend server or a target by its name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownProcess`] if the name isn't known.
    pub fn ip_address(&self, process: &str) -> Result<IpAddr, Error> {
        let mut balancers = 0..self.deployment.balancers;
        if let Some(index) = balancers.find(|index| Deployment::balancer_name(*index) == process) {
            return Ok(self.network.balancer_fabric(index).ip());
        }
        let target = process.strip_prefix("agent-");
        let target = target.or(process.strip_prefix("backend-"));
        let placement = self.placement(target.unwrap_or(process))?;
        Ok(self.network.agent_peer(placement.index).ip())
    }

    /// Returns `true` if a process is a balancer or an agent.
    pub(crate) fn is_daemon(&self, process: &str) -> bool {
        let mut balancers = 0..self.deployment.balancers;
        let is_balancer = balancers.any(|index| Deployment::balancer_name(index) == process);
        is_balancer || process.starts_with("agent-")
    }

    /// Returns the name and the remote call address of each balancer and agent.
    #[must_use]
    pub fn daemon_rpc_addresses(&self) -> Vec<(String, SocketAddr)> {
        let balancers = 0..self.deployment.balancers;
        let mut daemons: Vec<(String, SocketAddr)> = balancers
            .map(|index| {
                let address = self.network.balancer_rpc(index);
                (Deployment::balancer_name(index), address)
            })
            .collect();
        daemons.extend(self.placements.iter().map(|placement| {
            let address = self.network.agent_rpc(placement.index);
            (format!("agent-{}", placement.target), address)
        }));
        daemons
    }
}
