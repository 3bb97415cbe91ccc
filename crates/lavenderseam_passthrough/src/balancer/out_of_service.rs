//! Failure domains that are out of service, and those that a restored store no longer lists.

use std::collections::BTreeMap;

use lavenderseam_core::catalog::Epoch;
use lavenderseam_core::time::Instant;

use crate::desired::{CarriedOverDomains, OutOfServiceDomains};

/// Failure domains that are out of service.
#[derive(Debug, Default)]
pub(crate) struct OutOfService {
    ordered: OutOfServiceDomains,
    /// Domains whose orders a restored store lacks, with the time until which they stay out.
    carried_over: BTreeMap<String, Instant>,
    /// Epoch of the last restore that this process observed in the store. It knows the orders from
    /// before that restore, so it needs none of other balancers.
    observed_epoch: Option<Epoch>,
}

impl OutOfService {
    /// Applies a set of orders; returns `true` if it is newer than the current one.
    pub(crate) fn apply(&mut self, ordered: OutOfServiceDomains) -> bool {
        if ordered.revision <= self.ordered.revision {
            return false;
        }
        self.ordered = ordered;
        true
    }

    /// Replaces the domains that a restored store lacks, as observed in the store.
    pub(crate) fn carry_over(&mut self, lost: CarriedOverDomains, now: Instant) {
        self.observed_epoch = Some(self.ordered.revision.epoch());
        self.carried_over.clear();
        self.add_carried_over(lost, now);
    }

    /// Adds the domains that a restored store lacks according to another balancer, unless this
    /// process has observed the restore itself.
    pub(crate) fn carry_over_from_peer(&mut self, lost: CarriedOverDomains, now: Instant) {
        if self.observed_epoch != Some(self.ordered.revision.epoch()) {
            self.add_carried_over(lost, now);
        }
    }

    fn add_carried_over(&mut self, lost: CarriedOverDomains, now: Instant) {
        let until = now + lost.rest;
        let domains = lost.domains.into_iter().map(|domain| (domain, until));
        self.carried_over.extend(domains);
    }

    /// Removes domains that have been carried over long enough.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.carried_over.retain(|_, until| now < *until);
    }

    /// Returns `true` if a domain is out of service.
    pub(crate) fn contains(&self, domain: &str) -> bool {
        self.ordered.domains.contains(domain) || self.carried_over.contains_key(domain)
    }

    /// Returns the orders as read from the store.
    pub(crate) const fn ordered(&self) -> &OutOfServiceDomains {
        &self.ordered
    }

    /// Returns the domains that a restored store lacks.
    pub(crate) fn carried_over(&self, now: Instant) -> CarriedOverDomains {
        let last = self.carried_over.values().max();
        CarriedOverDomains {
            domains: self.carried_over.keys().cloned().collect(),
            rest: last.map_or_else(Default::default, |until| until.since(now)),
        }
    }
}
