//! Records of a balancer: applied from the store or another balancer, and served to others.

use std::fmt::Display;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ::http::StatusCode;
use lavenderseam_core::catalog::{Epoch, Revision};
use lavenderseam_core::json;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::balancer::Checkpoint;
use lavenderseam_passthrough::desired::{
    CarriedOverDomains, DesiredState, OutOfServiceDomains, RegisteredAgent, RegisteredBalancers,
};
use lavenderseam_passthrough::message::TargetSnapshot;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::Handle;
use super::driver::Driver;
use crate::codec::PacketCodec;
use crate::http::{self, Request, Response, Service, ServiceResponse};
use crate::log::{DependencyChange, Event, LogKey};
use crate::metrics::RecordLabel;

/// Member of the response with the list of targets.
const TARGETS: &str = "targets";
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
    /// Failure domains that stay disabled although the restored store lacks their orders.
    #[serde(default)]
    pub carried_over: CarriedOverDomains,
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

/// Result of listing a kind of records, for the log.
#[derive(Clone, Copy, Debug)]
pub struct RecordList {
    /// Revision of the store at which the records were read.
    pub revision: Revision,
    /// Number of records.
    pub records: usize,
    /// Number of records that are kept although the restored store lacks them.
    pub carried_over: usize,
    /// Why the records were listed.
    pub reason: &'static str,
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
        let now = self.0.process.clock.now();
        let records = Records {
            desired_state: balancer.desired_state().cloned(),
            disabled_domains: balancer.out_of_service_domains().clone(),
            carried_over: balancer.carried_over_domains(now),
            targets: balancer.target_snapshots(now),
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
        Ok(Response {
            status: StatusCode::OK,
            body,
            ..
        }) => match Records::decode(&body) {
            Ok((records, errors)) => {
                for error in errors {
                    driver.process.log(&Event::MalformedInput {
                        source: "balancer",
                        error: format!("records of {address}: {error}"),
                    });
                }
                driver.observe_epoch(records.epoch(), RecordSource::Peer);
                if let Some(desired_state) = records.desired_state {
                    driver.apply_desired_state(desired_state, RecordSource::Peer);
                }
                driver.apply_disabled_domains(
                    records.disabled_domains,
                    Some(records.carried_over),
                    RecordSource::Peer,
                );
                let now = driver.process.clock.now();
                driver
                    .balancer
                    .borrow_mut()
                    .merge_targets(&records.targets, now);
                return;
            }
            Err(error) => error.to_string(),
        },
        Ok(response) => response.status.to_string(),
        Err(error) => error.to_string(),
    };
    driver.process.log(&Event::MalformedInput {
        source: "balancer",
        error: format!("request for records of {address} failed: {error}"),
    });
}

impl Records {
    /// Decodes the records of another balancer.
    ///
    /// Returns them without what can't be read, and an error for each part that is left out.
    ///
    /// # Errors
    ///
    /// Fails if the text isn't an object with a list of targets.
    pub fn decode(text: &[u8]) -> Result<(Self, Vec<String>), serde_json::Error> {
        let json::Answer {
            entries,
            mut members,
        } = json::Answer::decode(text, TARGETS)?;
        let mut errors = Vec::new();
        let mut targets = Vec::with_capacity(entries.len());
        for entry in entries {
            match TargetSnapshot::deserialize(entry.value) {
                Ok(target) => targets.push(target),
                Err(error) => errors.push(format!("target: {error}")),
            }
        }
        let records = Self {
            desired_state: take_member(&mut members, "desired", &mut errors),
            disabled_domains: take_member(&mut members, "outs", &mut errors),
            carried_over: take_member(&mut members, "carried_over", &mut errors),
            targets,
        };
        Ok((records, errors))
    }

    /// Returns the newest epoch of the records.
    fn epoch(&self) -> Epoch {
        let desired_state = self.desired_state.as_ref();
        let desired = desired_state.map_or_else(Revision::default, |desired| desired.revision);
        desired.max(self.disabled_domains.revision).epoch()
    }
}

/// Removes and decodes a member; returns the default, and adds an error, if it can't be read.
fn take_member<T: DeserializeOwned + Default>(
    members: &mut Map<String, Value>,
    name: &str,
    errors: &mut Vec<String>,
) -> T {
    // A member that isn't valid JSON is missing here.
    let value = members.remove(name).ok_or("missing or invalid".to_owned());
    let decoded = value.and_then(|value| T::deserialize(value).map_err(|error| error.to_string()));
    decoded.unwrap_or_else(|error| {
        errors.push(format!("{name}: {error}"));
        T::default()
    })
}

impl<C: PacketCodec> Driver<C> {
    /// Records an epoch of the store, which wakes the tasks that wait for a newer one.
    pub(super) fn observe_epoch(&self, epoch: Epoch, source: RecordSource) {
        let previous = self.epoch.borrow().map(|(previous, _)| previous);
        if previous.is_some_and(|previous| previous >= epoch) {
            return;
        }
        let now = self.process.clock.now();
        self.epoch.send_replace(Some((epoch, now)));
        let gauge = i64::try_from(epoch.0).unwrap_or(i64::MAX);
        self.process.metrics.store_epoch.set(gauge);
        if let Some(previous) = previous {
            self.process.log(&Event::StoreRestored {
                epoch,
                previous,
                source: source.name(),
            });
        }
    }

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
        let idle_ms = desired_state.idle_timeout.as_millis() as u64;
        if self.balancer.borrow_mut().set_desired_state(desired_state) {
            let keeps_checkpoints = self.balancer.borrow().keeps_checkpoints();
            self.keeps_checkpoints.send_replace(keeps_checkpoints);
            self.process.log(&Event::Desired {
                revision: revision.into(),
                version,
                routes,
                services,
                idle_ms,
                source: source.name(),
            });
            self.update_status();
        } else if let Some((held_revision, held_version)) = held
            && held_revision != revision
        {
            self.record_ignored(&Event::RecordIgnored {
                record: RecordKind::Desired.name(),
                revision: revision.into(),
                version: Some(version),
                held_revision: held_revision.number(),
                held_epoch: held_revision.epoch(),
                held_version: Some(held_version),
                source: source.name(),
            });
        }
    }

    /// Applies a set of disabled failure domains, and those whose orders a restored store lacks; logs
    /// whether the set is newer or older than the current one.
    fn apply_disabled_domains(
        &self,
        disabled_domains: OutOfServiceDomains,
        carried_over: Option<CarriedOverDomains>,
        source: RecordSource,
    ) {
        let now = self.process.clock.now();
        let revision = disabled_domains.revision;
        let domains = disabled_domains.domains.iter().cloned().collect();
        let mut balancer = self.balancer.borrow_mut();
        let held_revision = balancer.out_of_service_domains().revision;
        // A newer revision may list the same failure domains, which is not worth a log line.
        let changes = balancer.out_of_service_domains().domains != disabled_domains.domains;
        let applied = balancer.set_out_of_service_domains(disabled_domains);
        match (carried_over, source) {
            (Some(lost), RecordSource::Store) => balancer.carry_over_domains(lost, now),
            (Some(lost), RecordSource::Peer) => balancer.carry_over_domains_of_peer(lost, now),
            (None, _) => {}
        }
        let carried_over = balancer.carried_over_domains(now);
        drop(balancer);
        if applied && changes {
            self.process.log(&Event::DisabledDomains {
                revision: revision.into(),
                domains,
                carried_over: carried_over.domains.into_iter().collect(),
                source: source.name(),
            });
        } else if !applied && changes {
            self.record_ignored(&Event::RecordIgnored {
                record: RecordKind::DisabledDomains.name(),
                revision: revision.into(),
                version: None,
                held_revision: held_revision.number(),
                held_epoch: held_revision.epoch(),
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
            let revision = i64::try_from(desired_state.revision.number()).unwrap_or(i64::MAX);
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
    ///
    /// `carried_over` holds those that stay disabled although the restored store lacks their
    /// orders; `None` outside the grace period after a restore.
    pub fn apply_disabled_domains(
        &self,
        disabled_domains: OutOfServiceDomains,
        carried_over: Option<CarriedOverDomains>,
    ) {
        self.driver
            .apply_disabled_domains(disabled_domains, carried_over, RecordSource::Store);
    }

    /// Applies the list of balancers that are registered in the store.
    pub fn apply_registered_balancers(&self, roster: &RegisteredBalancers) {
        let now = self.driver.process.clock.now();
        self.driver
            .balancer
            .borrow_mut()
            .set_registered_balancers(roster, now);
    }

    /// Sets the agents that are registered in the store at a revision.
    pub fn set_registered_agents(&self, agents: &[RegisteredAgent], revision: Revision) {
        let mut balancer = self.driver.balancer.borrow_mut();
        balancer.set_registered_agents(agents);
        drop(balancer);
        self.driver.process.log(&Event::RecordsListed {
            record: "agents",
            revision: revision.into(),
            records: agents.len(),
            carried_over: 0,
            reason: "start",
        });
    }

    /// Returns `true` if the balancer has a desired state.
    #[must_use]
    pub fn has_desired_state(&self) -> bool {
        self.driver.balancer.borrow().desired_state().is_some()
    }

    /// Waits until the desired state requires checkpoints of open flows.
    pub async fn wait_for_checkpoints(&self) {
        let mut keeps_checkpoints = self.driver.keeps_checkpoints.subscribe();
        // The sender lives as long as the driver that this handle holds.
        let _ = keeps_checkpoints.wait_for(|keeps| *keeps).await;
    }

    /// Restores the flows of this balancer from a checkpoint, and asks their owners about them.
    pub fn restore_checkpoint(&self, checkpoint: &Checkpoint) {
        let driver = &self.driver;
        let now = driver.process.clock.now();
        let restored = driver
            .balancer
            .borrow_mut()
            .restore_checkpoint(checkpoint, now);
        let (restored, actions) = match restored {
            Ok(restored) => restored,
            Err(error) => return self.record_malformed_record(&error),
        };
        driver.process.log(&Event::CheckpointRestored {
            flows: checkpoint.len(),
            restored,
        });
        driver.start_queries(actions, now);
    }

    /// Logs the result of writing a checkpoint, which decides whether this balancer goes on to write
    /// them.
    pub fn record_checkpoint(&self, partition: u32, checkpoint: &Checkpoint, accepted: bool) {
        let driver = &self.driver;
        let mut balancer = driver.balancer.borrow_mut();
        balancer.set_checkpoint_accepted(accepted);
        drop(balancer);
        let event = || Event::CheckpointWritten {
            partition,
            balancers: checkpoint.flows.len(),
            flows: checkpoint.len(),
            accepted,
        };
        let now = driver.process.clock.now();
        driver
            .process
            .log
            .write_lazy(LogKey::CHECKPOINT_WRITTEN, event, now);
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

    /// Records the epoch of an answer of the store.
    pub fn observe_epoch(&self, epoch: Epoch) {
        self.driver.observe_epoch(epoch, RecordSource::Store);
    }

    /// Returns the newest epoch of the store that this process or another balancer has seen, and
    /// the time at which this process learned of it.
    #[must_use]
    pub fn newest_epoch(&self) -> Option<(Epoch, Instant)> {
        *self.driver.epoch.borrow()
    }

    /// Waits until this process or another balancer has seen an epoch newer than `epoch`.
    pub async fn wait_for_newer_epoch(&self, epoch: Epoch) {
        let mut epochs = self.driver.epoch.subscribe();
        let is_newer =
            |newest: &Option<(Epoch, Instant)>| newest.is_some_and(|(newest, _)| newest > epoch);
        // The sender lives as long as the driver that this handle holds.
        let _ = epochs.wait_for(is_newer).await;
    }

    /// Returns the number of balancers that seem to run, including this one.
    #[must_use]
    pub fn running_balancers(&self) -> usize {
        self.driver.balancer.borrow().running_balancers(self.now())
    }

    /// Returns `true` if the balancer has received no gossip of another one for some time.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.driver.balancer.borrow().is_isolated(self.now())
    }

    /// Returns the current time of the balancer's clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.driver.process.clock.now()
    }

    /// Logs that all records of a kind were read from the store.
    pub fn log_list(&self, kind: RecordKind, list: RecordList) {
        self.driver.process.log(&Event::RecordsListed {
            record: kind.name(),
            revision: list.revision.into(),
            records: list.records,
            carried_over: list.carried_over,
            reason: list.reason,
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

    /// Counts and logs a watch that was given up because fewer balancers run than at its start.
    pub fn log_abandoned_watch(&self, kind: RecordKind, lasted: Duration, balancers: usize) {
        let process = &self.driver.process;
        process.metrics.watches_abandoned.inc();
        process.log(&Event::WatchAbandoned {
            record: kind.name(),
            lasted_ms: lasted.as_millis() as u64,
            balancers,
        });
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
