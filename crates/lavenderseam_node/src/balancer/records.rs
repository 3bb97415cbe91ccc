//! Records of a balancer: applied from the store or another balancer, and served to others.

use std::fmt::Display;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ::http::StatusCode;
use lavenderseam_core::catalog::Revision;
use lavenderseam_passthrough::desired::{DesiredState, OutOfServiceDomains, RegisteredBalancers};
use lavenderseam_passthrough::message::TargetSnapshot;
use serde::{Deserialize, Serialize};

use super::Handle;
use super::driver::Driver;
use crate::codec::PacketCodec;
use crate::http::{self, Request, Service, ServiceResponse};
use crate::log::{DependencyChange, Event};
use crate::metrics::RecordLabel;

/// HTTP path at which a balancer serves its records to others.
const RECORDS_PATH: &str = "/records";
/// Timeout of a request for another balancer's records.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Response body of a request for records, as JSON.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    /// Desired state; `None` if the balancer has not received one yet.
    #[serde(rename = "desired")]
    pub desired_state: Option<DesiredState>,
    /// Failure domains that operators have disabled.
    #[serde(rename = "outs")]
    pub disabled_domains: OutOfServiceDomains,
    /// Targets that the balancer knows.
    #[serde(default)]
    pub targets: Vec<TargetSnapshot>,
}

/// Kind of records that a balancer watches in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// Desired state.
    Desired,
    /// Disabled failure domains.
    DisabledDomains,
    /// Registrations of balancers.
    Balancers,
}

/// Where a record came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// Record read from the store.
    Store,
    /// Record fetched from another balancer.
    Peer,
}

/// HTTP service that serves the records of this balancer to others.
pub(crate) struct RecordsService<C>(pub(crate) Rc<Driver<C>>);

impl<C: PacketCodec> Service for RecordsService<C> {
    fn handle(&self, request: &Request) -> ServiceResponse {
        if request.path != RECORDS_PATH {
            return ServiceResponse::empty(StatusCode::NOT_FOUND);
        }
        let balancer = self.0.balancer.borrow();
        let records = Records {
            desired_state: balancer.desired_state().cloned(),
            disabled_domains: balancer.out_of_service_domains().clone(),
            targets: balancer.target_snapshots(self.0.process.clock.now()),
        };
        match serde_json::to_vec(&records) {
            Ok(body) => ServiceResponse::json(StatusCode::OK, body),
            Err(_) => ServiceResponse::empty(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

/// Fetches another balancer's records and applies them; logs a failure.
pub(crate) async fn fetch_records<C: PacketCodec>(driver: &Driver<C>, address: SocketAddrV4) {
    let result = http::send_request(address, Request::get(RECORDS_PATH), FETCH_TIMEOUT).await;
    let error = match result {
        Ok((StatusCode::OK, body)) => match serde_json::from_slice::<Records>(&body) {
            Ok(records) => {
                if let Some(desired_state) = records.desired_state {
                    driver.apply_desired_state(desired_state, RecordSource::Peer);
                }
                driver.apply_disabled_domains(records.disabled_domains, RecordSource::Peer);
                let now = driver.process.clock.now();
                driver
                    .balancer
                    .borrow_mut()
                    .merge_targets(&records.targets, now);
                return;
            }
            Err(error) => error.to_string(),
        },
        Ok((status, _)) => status.to_string(),
        Err(error) => error.to_string(),
    };
    driver.process.log(&Event::MalformedInput {
        source: "balancer",
        error: format!("request for records of {address} failed: {error}"),
    });
}

impl<C: PacketCodec> Driver<C> {
    /// Applies a desired state; logs whether it is newer or older than the current one.
    fn apply_desired_state(&self, desired_state: DesiredState, source: RecordSource) {
        let (revision, version) = (desired_state.revision, desired_state.version);
        let held = {
            let balancer = self.balancer.borrow();
            let held = balancer.desired_state();
            held.map(|held| (held.revision, held.version))
        };
        let routes = desired_state.routes.len();
        let services = desired_state.services.clone();
        if self.balancer.borrow_mut().set_desired_state(desired_state) {
            self.process.log(&Event::Desired {
                revision,
                version,
                routes,
                services,
                source: source.name(),
            });
            self.update_status();
        } else if let Some((held_revision, held_version)) = held
            && held_revision != revision
        {
            self.record_ignored(&Event::RecordIgnored {
                record: RecordKind::Desired.name(),
                revision,
                version: Some(version),
                held_revision,
                held_version: Some(held_version),
                source: source.name(),
            });
        }
    }

    /// Applies a set of disabled failure domains; logs it if the set has changed.
    fn apply_disabled_domains(&self, disabled_domains: OutOfServiceDomains, source: RecordSource) {
        let revision = disabled_domains.revision;
        let domains = disabled_domains.domains.iter().cloned().collect();
        let held_revision = self.balancer.borrow().out_of_service_domains().revision;
        // A newer revision may list the same failure domains, which is not worth a log line.
        let changes =
            self.balancer.borrow().out_of_service_domains().domains != disabled_domains.domains;
        let applied = self
            .balancer
            .borrow_mut()
            .set_out_of_service_domains(disabled_domains);
        if applied && changes {
            self.process.log(&Event::DisabledDomains {
                revision,
                domains,
                source: source.name(),
            });
        } else if !applied && changes {
            self.record_ignored(&Event::RecordIgnored {
                record: RecordKind::DisabledDomains.name(),
                revision,
                version: None,
                held_revision,
                held_version: None,
                source: source.name(),
            });
        }
    }

    /// Counts and logs a record that is older than the one held.
    fn record_ignored(&self, event: &Event) {
        if let Event::RecordIgnored { record, .. } = event {
            let label = RecordLabel { record };
            let counter = &self.process.metrics.records_ignored;
            counter.get_or_create(&label).inc();
        }
        self.process.log(event);
    }

    /// Updates the metrics of the desired state in force and of the age of the store's answers.
    pub(super) fn update_record_metrics(&self) {
        let metrics = &self.process.metrics;
        if let Some(desired_state) = self.balancer.borrow().desired_state() {
            let version = i64::try_from(desired_state.version).unwrap_or(i64::MAX);
            let revision = i64::try_from(desired_state.revision.0).unwrap_or(i64::MAX);
            metrics.desired_version.set(version);
            metrics.desired_revision.set(revision);
        }
        let now = self.process.clock.now();
        for (kind, answered_at) in self.store_answered_at.borrow().iter() {
            let label = RecordLabel {
                record: kind.name(),
            };
            let age = now.since(*answered_at).as_secs_f64();
            metrics.store_age_seconds.get_or_create(&label).set(age);
        }
    }
}

impl<C: PacketCodec> Handle<C> {
    /// Applies a desired state read from the store.
    pub fn apply_desired_state(&self, desired_state: DesiredState) {
        self.driver
            .apply_desired_state(desired_state, RecordSource::Store);
    }

    /// Applies the set of disabled failure domains read from the store.
    pub fn apply_disabled_domains(&self, disabled_domains: OutOfServiceDomains) {
        self.driver
            .apply_disabled_domains(disabled_domains, RecordSource::Store);
    }

    /// Applies the list of balancers that are registered in the store.
    pub fn apply_registered_balancers(&self, roster: &RegisteredBalancers) {
        let now = self.driver.process.clock.now();
        self.driver
            .balancer
            .borrow_mut()
            .set_registered_balancers(roster, now);
    }

    /// Logs that the store became unavailable or available again.
    pub fn log_store_change(&self, change: DependencyChange, reason: &impl ToString) {
        self.driver.process.log(&Event::Dependency {
            name: "store",
            change,
            reason: reason.to_string(),
        });
    }

    /// Counts and logs a record that can't be decoded.
    pub fn record_malformed_record(&self, error: &impl Display) {
        self.driver.process.record_malformed("store", error);
    }

    /// Logs that all records of a kind were read from the store.
    pub fn log_list(
        &self,
        kind: RecordKind,
        revision: Revision,
        records: usize,
        reason: &'static str,
    ) {
        self.driver.process.log(&Event::RecordsListed {
            record: kind.name(),
            revision,
            records,
            reason,
        });
    }

    /// Counts a list or watch of a kind of records.
    ///
    /// `duration` is `None` for a watch, whose duration depends on when records change.
    pub fn count_read(&self, kind: RecordKind, failed: bool, duration: Option<Duration>) {
        if !failed {
            let now = self.driver.process.clock.now();
            self.driver.store_answered_at.borrow_mut().insert(kind, now);
        }
        self.count_store_request(failed, duration);
    }

    /// Counts a request to the store.
    ///
    /// `duration` is `None` for a watch, whose duration depends on when records change.
    pub fn count_store_request(&self, failed: bool, duration: Option<Duration>) {
        let metrics = &self.driver.process.metrics;
        metrics.store_calls.inc();
        if failed {
            metrics.store_errors.inc();
        }
        if let Some(duration) = duration {
            metrics.store_seconds.0.observe(duration.as_secs_f64());
        }
    }
}

impl RecordKind {
    /// Returns the name of the kind in log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Desired => "desired",
            Self::DisabledDomains => "outs",
            Self::Balancers => "balancers",
        }
    }
}

impl RecordSource {
    /// Returns the name of the source in log lines.
    const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "balancer",
        }
    }
}
