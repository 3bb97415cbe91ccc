//! What operators order: routes to services, and failure domains that are out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::rank::score;
use serde::{Deserialize, Serialize};

use crate::flow::Flow;

/// What a service's backend servers bear.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Openers a second that a cold backend server bears; none if it bears any number.
    pub cold_rate: Option<f64>,
    /// Flows that a backend server holds; none if it holds any number.
    pub connections: Option<u32>,
}

/// A service's share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight among the route's shares; 0 for a service that keeps its flows but gets no more.
    pub weight: u32,
}

/// An address that callers ask for, and where its flows go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The address.
    pub address: SocketAddrV4,
    /// Services that share its new flows.
    pub shares: Vec<Share>,
}

/// All routes and services at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Desired {
    /// Revision of the store.
    pub revision: Revision,
    /// The operators' own version number, for logs.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Routes.
    pub routes: Vec<Route>,
    /// How long a flow may be silent before it may be forgotten.
    pub idle: Duration,
}

/// Failure domains that operators have taken out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outs {
    /// Revision of the store.
    pub revision: Revision,
    /// Names of the failure domains.
    pub domains: BTreeSet<String>,
}

/// The balancers that have registered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Revision of the store.
    pub revision: Revision,
    /// Their addresses for messages between processes.
    pub balancers: BTreeSet<SocketAddrV4>,
}

impl Route {
    /// The service that a new flow belongs to: the same in every process for the same shares.
    #[must_use]
    pub fn service(&self, flow: Flow) -> Option<&str> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut point = score(flow.word(), SHARE_SEED) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

/// Keeps the draw of a share apart from the ranking of targets, which uses the same word.
const SHARE_SEED: u64 = 0x5348_4152_4553;
