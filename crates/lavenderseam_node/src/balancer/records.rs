//! Records of a balancer: applied from the store or another balancer, and served to others.

use std::fmt::Display;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ::http::StatusCode;
use lavenderseam_passthrough::desired::{DesiredState, OutOfServiceDomains, RegisteredBalancers};
use lavenderseam_passthrough::message::TargetSnapshot;
use serde::{Deserialize, Serialize};

use super::Handle;
use super::driver::Driver;
use crate::codec::PacketCodec;
use crate::http::{self, Request, Service, ServiceResponse};
use crate::log::{DependencyChange, Event};

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
    /// Applies a desired state; logs it if it is newer than the current one.
    fn apply_desired_state(&self, desired_state: DesiredState, source: RecordSource) {
        let (revision, version) = (desired_state.revision, desired_state.version);
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
        }
    }

    /// Applies a set of disabled failure domains; logs it if the set has changed.
    fn apply_disabled_domains(&self, disabled_domains: OutOfServiceDomains, source: RecordSource) {
        let revision = disabled_domains.revision;
        let domains = disabled_domains.domains.iter().cloned().collect();
        // A newer revision may list the same failure domains, which is not worth a log line.
        let changes =
            self.balancer.borrow().out_of_service_domains().domains != disabled_domains.domains;
        if self
            .balancer
            .borrow_mut()
            .set_out_of_service_domains(disabled_domains)
            && changes
        {
            self.process.log(&Event::DisabledDomains {
                revision,
                domains,
                source: source.name(),
            });
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

impl RecordSource {
    /// Returns the name of the source in log lines.
    const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "balancer",
        }
    }
}
