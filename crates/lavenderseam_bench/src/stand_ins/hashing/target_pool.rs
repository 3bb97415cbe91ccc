//! Targets among which the baseline chooses.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::id;
use lavenderseam_core::rank;
use lavenderseam_core::record::{self, Document, DomainState, Kind, Record};
use parking_lot::RwLock;
use tokio::time::sleep;

use super::{Settings, Target};
use crate::http_client;
use crate::stand_ins::platform::{Listing, Object};

/// Time between two updates of health and records.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// A target that can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) tag: id::Tag,
    pub(super) peer: SocketAddr,
}

/// Candidates of each service, by the address of the service.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetPool {
    candidates: Arc<RwLock<HashMap<SocketAddr, Vec<Candidate>>>>,
}

/// Failure domains and targets that records take out of use.
#[derive(Debug, Default)]
struct ExcludedTargets {
    domains: BTreeSet<String>,
    targets: BTreeSet<String>,
}

impl TargetPool {
    /// Returns the target that ranks first for a flow, or `None` if the service has no candidates.
    pub(super) fn choose(&self, service: SocketAddr, key: u64) -> Option<Candidate> {
        let candidates = self.candidates.read();
        let candidates = candidates.get(&service)?;
        let best = candidates
            .iter()
            .max_by_key(|candidate| rank::score(key, candidate.tag.0));
        best.copied()
    }

    /// Returns `true` if any service has a candidate.
    pub(super) fn has_targets(&self) -> bool {
        self.candidates
            .read()
            .values()
            .any(|candidates| !candidates.is_empty())
    }

    /// Updates the candidates at a fixed interval, forever.
    pub(super) async fn poll(self, settings: Settings) {
        let mut excluded = ExcludedTargets::default();
        loop {
            // While the records can't be read, the exclusions of the last read stay in force.
            if let Ok(read) = ExcludedTargets::read(settings.store).await {
                excluded = read;
            }
            let checks = settings.targets.iter().map(is_healthy);
            let healthy = futures::future::join_all(checks).await;
            let usable = settings.targets.iter().zip(healthy);
            let usable: Vec<&Target> = usable
                .filter(|(target, healthy)| *healthy && !excluded.contains(target))
                .map(|(target, _)| target)
                .collect();
            *self.candidates.write() = candidates(&settings, &usable);
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl ExcludedTargets {
    async fn read(store: SocketAddr) -> Result<Self, crate::Error> {
        let listing: Listing<Object> = http_client::get_json(store, "/v1/objects").await?;
        let mut excluded = Self::default();
        for object in listing.entries {
            if let Ok(document) = serde_json::from_value::<Document>(object.document) {
                excluded.apply_record(&document);
            }
        }
        Ok(excluded)
    }

    fn apply_record(&mut self, document: &Document) {
        match document.kind {
            Kind::FailureDomain => {
                let domain = record::Domain::read(document);
                if domain.is_ok_and(|domain| domain.state == DomainState::Out) {
                    self.domains.insert(document.name.clone());
                }
            }
            Kind::Drain => {
                if let Ok(drain) = record::Drain::read(document) {
                    self.targets.insert(drain.target.to_string());
                }
            }
            Kind::Target => {
                let target = record::Target::read(document);
                if target.is_ok_and(|target| target.phase == record::Phase::Leaving) {
                    self.targets.insert(document.name.clone());
                }
            }
            _ => {}
        }
    }

    fn contains(&self, target: &Target) -> bool {
        self.domains.contains(&target.domain) || self.targets.contains(&target.name)
    }
}

async fn is_healthy(target: &Target) -> bool {
    let check = http_client::send_request(
        http::Method::GET,
        target.backend,
        "/health",
        &[],
        bytes::Bytes::new(),
    );
    let answer = tokio::time::timeout(HEALTH_TIMEOUT, check).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}

fn candidates(settings: &Settings, usable: &[&Target]) -> HashMap<SocketAddr, Vec<Candidate>> {
    let mut all = HashMap::new();
    for service in &settings.services {
        let members = usable.iter().filter(|target| target.group == service.group);
        let members = members.filter_map(|target| {
            let name = id::Target::new(&target.name).ok()?;
            Some(Candidate {
                tag: id::Tag::new(&name),
                peer: target.peer,
            })
        });
        all.insert(service.address, members.collect());
    }
    all
}
