//! The targets that the baseline hashes over.

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
use crate::remote;
use crate::standins::platform::{Listing, Object};

/// Time between two looks at health and records.
const INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// A target that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Choice {
    pub(super) tag: id::Tag,
    pub(super) peer: SocketAddr,
}

/// The targets of each service that may be chosen now.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    choices: Arc<RwLock<HashMap<SocketAddr, Vec<Choice>>>>,
}

/// What the records exclude.
#[derive(Debug, Default)]
struct Excluded {
    domains: BTreeSet<String>,
    targets: BTreeSet<String>,
}

impl Pool {
    /// The target that ranks first for a flow; none if the service has no target.
    pub(super) fn choose(&self, service: SocketAddr, key: u64) -> Option<Choice> {
        let choices = self.choices.read();
        let choices = choices.get(&service)?;
        let best = choices
            .iter()
            .max_by_key(|choice| rank::score(key, choice.tag.0));
        best.copied()
    }

    /// Whether any service has a target.
    pub(super) fn serves(&self) -> bool {
        self.choices
            .read()
            .values()
            .any(|choices| !choices.is_empty())
    }

    /// Keeps the pool up to date.
    pub(super) async fn follow(self, settings: Settings) {
        let mut excluded = Excluded::default();
        loop {
            // While the records can't be read, the last ones hold.
            if let Ok(read) = Excluded::read(settings.store).await {
                excluded = read;
            }
            let checks = settings.targets.iter().map(is_healthy);
            let healthy = futures::future::join_all(checks).await;
            let usable = settings.targets.iter().zip(healthy);
            let usable: Vec<&Target> = usable
                .filter(|(target, healthy)| *healthy && !excluded.contains(target))
                .map(|(target, _)| target)
                .collect();
            *self.choices.write() = choices(&settings, &usable);
            sleep(INTERVAL).await;
        }
    }
}

impl Excluded {
    async fn read(store: SocketAddr) -> Result<Self, crate::Error> {
        let listing: Listing<Object> = remote::read(store, "/v1/objects").await?;
        let mut excluded = Self::default();
        for object in listing.entries {
            if let Ok(document) = serde_json::from_value::<Document>(object.document) {
                excluded.add(&document);
            }
        }
        Ok(excluded)
    }

    fn add(&mut self, document: &Document) {
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
    let check = remote::send(
        http::Method::GET,
        target.backend,
        "/health",
        &[],
        bytes::Bytes::new(),
    );
    let answer = tokio::time::timeout(HEALTH_TIMEOUT, check).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}

fn choices(settings: &Settings, usable: &[&Target]) -> HashMap<SocketAddr, Vec<Choice>> {
    let mut all = HashMap::new();
    for service in &settings.services {
        let members = usable.iter().filter(|target| target.group == service.group);
        let members = members.filter_map(|target| {
            let name = id::Target::new(&target.name).ok()?;
            Some(Choice {
                tag: id::Tag::new(&name),
                peer: target.peer,
            })
        });
        all.insert(service.address, members.collect());
    }
    all
}
