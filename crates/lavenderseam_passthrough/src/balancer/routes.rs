//! Routes, looked up by address.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::desired::{Desired, Route};
use crate::flow::Flow;
use crate::message::ServiceTag;

/// The routes of one desired state.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    by_address: HashMap<SocketAddrV4, Route>,
}

impl Routes {
    /// The routes of a desired state.
    pub(crate) fn new(desired: &Desired) -> Self {
        let routes = desired.routes.iter();
        Self {
            by_address: routes.map(|route| (route.address, route.clone())).collect(),
        }
    }

    /// The service of a new flow.
    pub(crate) fn service(&self, flow: Flow) -> Option<ServiceTag> {
        let route = self.by_address.get(&flow.service)?;
        route.service(flow).map(ServiceTag::new)
    }

    /// The services that may hold a flow: first the one that a new flow would go to.
    pub(crate) fn holders(&self, flow: Flow) -> Vec<ServiceTag> {
        let Some(route) = self.by_address.get(&flow.service) else {
            return Vec::new();
        };
        let mut tags: Vec<_> = route
            .service(flow)
            .map(ServiceTag::new)
            .into_iter()
            .collect();
        for share in &route.shares {
            let tag = ServiceTag::new(&share.service);
            if !tags.contains(&tag) {
                tags.push(tag);
            }
        }
        tags
    }
}
