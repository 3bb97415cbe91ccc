//! State configured by operators: routes, service limits, and failure domains out of service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::rank::score;
use serde::{Deserialize, Serialize};

use crate::flow::Flow;

/// Limits of the backend servers of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// New flows per second that a cold backend server accepts; `None` means no limit.
    pub cold_rate: Option<f64>,
    /// Flows that a backend server holds at once; `None` means no limit.
    #[serde(rename = "connections")]
    pub max_flows: Option<u32>,
}

/// A service and the weight of its part of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other services; a service with weight 0 keeps its open flows
    /// but gets no new ones.
    pub weight: u32,
}

/// Whether the requests of a route may be run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// A caller may repeat a request whose outcome it doesn't know.
    Repeatable,
    /// A caller must take a request whose outcome it doesn't know as failed.
    #[default]
    AtMostOnce,
}

/// A virtual address and the services that its flows are distributed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Virtual address that callers connect to.
    pub address: SocketAddrV4,
    /// Services that share the new flows of the address.
    #[serde(rename = "shares")]
    pub services: Vec<WeightedService>,
    /// Whether the requests on the flows may be run more than once.
    #[serde(default)]
    pub repeatability: Repeatability,
}

/// All routes and services at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Revision of the store that this state was read at.
    pub revision: Revision,
    /// Version number assigned by the operators, which only rises.
    pub version: u64,
    /// Limits of each service, by service name.
    pub services: BTreeMap<String, ServiceLimits>,
    /// Routes, each with its own virtual address.
    pub routes: Vec<Route>,
    /// Idle time after which a flow may be removed.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

/// Failure domains that operators have taken out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutOfServiceDomains {
    /// Revision of the store that this set was read at.
    pub revision: Revision,
    /// Names of the failure domains that are out of service.
    pub domains: BTreeSet<String>,
}

/// Failure domains that were out of service before the store was restored from a copy, and whose
/// orders the restored store lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarriedOverDomains {
    /// Names of the failure domains, which stay out of service for now.
    pub domains: BTreeSet<String>,
    /// Time until the store's orders count.
    pub rest: Duration,
}

/// Balancers that have registered with the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredBalancers {
    /// Revision of the store that this set was read at.
    pub revision: Revision,
    /// Addresses at which the registered balancers receive messages from other processes.
    pub balancers: BTreeSet<SocketAddrV4>,
}

/// Agent that is registered in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredAgent {
    /// Address at which the agent receives messages from other processes.
    pub address: SocketAddrV4,
    /// `true` if a balancer has reported that the agent no longer sends messages.
    #[serde(default)]
    pub is_silent: bool,
}

impl DesiredState {
    /// Returns `true` if this state replaces another one.
    ///
    /// The version decides first, because a store that is restored from a copy shows an older
    /// version at a newer revision.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.version, self.revision) > (other.version, other.revision)
    }
}

impl Route {
    /// Returns the service that a new flow is assigned to, or `None` if all weights are 0.
    ///
    /// The result depends only on the flow and the weights, so every process picks the same
    /// service.
    #[must_use]
    pub fn select_service(&self, flow: Flow) -> Option<&str> {
        let total_weight: u64 = self
            .services
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total_weight == 0 {
            return None;
        }
        let mut remainder = score(flow.rendezvous_key(), SERVICE_CHOICE_SEED) % total_weight;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if remainder < weight {
                return Some(&share.service);
            }
            remainder -= weight;
        }
        None
    }
}

/// Seed that makes the choice of a service independent of the ranking of targets, which hashes the
/// same key.
const SERVICE_CHOICE_SEED: u64 = 0x5348_4152_4553;
