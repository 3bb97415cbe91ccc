//! Routes indexed by virtual address.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::desired::{DesiredState, Repeatability, Route};
use crate::flow::Flow;
use crate::message::ServiceId;

/// Routes of one desired state.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    by_address: HashMap<SocketAddrV4, Route>,
}

impl Routes {
    /// Indexes the routes of a desired state.
    pub(crate) fn new(desired_state: &DesiredState) -> Self {
        let routes = desired_state.routes.iter();
        Self {
            by_address: routes.map(|route| (route.address, route.clone())).collect(),
        }
    }

    /// Returns the service that a new flow is assigned to.
    pub(crate) fn service_for(&self, flow: Flow) -> Option<ServiceId> {
        let route = self.by_address.get(&flow.service)?;
        route.select_service(flow).map(ServiceId::new)
    }

    /// Returns `true` if a route leads to the virtual address of a flow.
    pub(crate) fn contains(&self, flow: Flow) -> bool {
        self.by_address.contains_key(&flow.service)
    }

    /// Returns `true` if a route has requests that run at most once.
    pub(crate) fn run_at_most_once(&self) -> bool {
        let mut routes = self.by_address.values();
        routes.any(|route| route.repeatability == Repeatability::AtMostOnce)
    }

    /// Returns `true` if the requests on a flow run at most once.
    pub(crate) fn runs_at_most_once(&self, flow: Flow) -> bool {
        let route = self.by_address.get(&flow.service);
        route.is_some_and(|route| route.repeatability == Repeatability::AtMostOnce)
    }

    /// Returns the services that most likely hold a flow, beginning with the one that a new flow
    /// would be assigned to.
    ///
    /// A flow that was opened under an earlier desired state may belong to another service.
    pub(crate) fn candidate_services(&self, flow: Flow) -> Vec<ServiceId> {
        let Some(route) = self.by_address.get(&flow.service) else {
            return Vec::new();
        };
        let mut services: Vec<_> = route
            .select_service(flow)
            .map(ServiceId::new)
            .into_iter()
            .collect();
        for share in &route.services {
            let service = ServiceId::new(&share.service);
            if !services.contains(&service) {
                services.push(service);
            }
        }
        services
    }
}
