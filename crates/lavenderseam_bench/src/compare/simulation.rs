//! Simulated deployment in which the methods are compared, and the delays until its processes
//! receive changes.

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::id::{self, Incarnation, Tag};
use lavenderseam_core::record::{self, Document, Id, Kind, Phase, Record, Schema, Slots};
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::View;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of balancers; each packet goes to a random one.
pub(super) const BALANCERS: usize = 4;
/// Number of targets at the start; two more can join.
pub(super) const TARGETS: usize = 7;
/// Maximum number of targets.
pub(super) const MAX_TARGETS: usize = TARGETS + 2;
/// Maximum delay until a process receives a change, in milliseconds.
const MAX_DELAY_MS: u64 = 500;

static TARGET_TAGS: LazyLock<Vec<Tag>> = LazyLock::new(|| (0..MAX_TARGETS).map(tag_of).collect());

/// A planned change of a target, by its index.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    Drain(usize),
    Undrain(usize),
    Join(usize),
}

/// Records, and the view of them that each process has.
pub(super) struct Simulation {
    catalog: Catalog,
    views: Vec<Arc<View>>,
    /// Index of the view of each process, balancers first.
    known_versions: Vec<usize>,
    /// Updates in flight: time of arrival, process and index of the view.
    pending: Vec<(u64, usize, usize)>,
    delay_rng: StdRng,
    /// Simulated time since the start, in milliseconds.
    pub(super) now_ms: u64,
}

fn valid_name<T>(result: Result<T, id::Error>) -> T {
    result.unwrap_or_else(|error| unreachable!("a constant name is valid: {error}"))
}

fn target_name(index: usize) -> id::Target {
    valid_name(id::Target::new(&format!("target-{index}")))
}

fn tag_of(index: usize) -> Tag {
    Tag::new(&target_name(index))
}

/// Returns the tag of a target.
pub(super) fn tag(index: usize) -> Tag {
    TARGET_TAGS[index]
}

/// Returns the index of the target with a tag.
pub(super) fn index_of(tag: Tag) -> Option<usize> {
    TARGET_TAGS.iter().position(|known| *known == tag)
}

/// Returns the address of the service.
pub(super) fn service() -> SocketAddr {
    SocketAddr::from(([192, 0, 2, 1], 443))
}

/// Returns the group of all targets.
pub(super) fn group() -> id::Group {
    valid_name(id::Group::new("trail-status"))
}

/// Returns the failure domain of all targets.
pub(super) fn domain() -> id::Domain {
    valid_name(id::Domain::new("tsetserleg"))
}

impl Simulation {
    /// Creates the initial deployment, which all processes know.
    pub(super) fn new(seed: u64) -> Self {
        let mut simulation = Self {
            catalog: Catalog::default(),
            views: Vec::new(),
            known_versions: vec![0; BALANCERS + MAX_TARGETS],
            pending: Vec::new(),
            delay_rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
        };
        let group_record = record::Group {
            slots: Slots(4),
            connections: 100_000,
            cold_slots: Slots(1),
            drain_timeout: Duration::from_secs(30),
        };
        simulation.put(group().as_str(), &group_record);
        let record = record::Service {
            addresses: vec![service()],
            group: group(),
        };
        simulation.put("trail-status", &record);
        (0..TARGETS).for_each(|index| simulation.join(index));
        simulation
            .views
            .push(Arc::new(View::new(&simulation.catalog)));
        simulation
    }

    /// Changes the records; each process receives the change after a random delay.
    pub(super) fn change(&mut self, change: Change) {
        match change {
            Change::Drain(index) => {
                let target = target_name(index);
                self.put(target.clone().as_str(), &record::Drain { target });
            }
            Change::Undrain(index) => {
                let id = Id::new(Kind::Drain, target_name(index));
                let revision = self.next_revision();
                self.catalog.apply(Entry::deletion(id, revision));
            }
            Change::Join(index) => self.join(index),
        }
        self.views.push(Arc::new(View::new(&self.catalog)));
        let version = self.views.len() - 1;
        for process in 0..self.known_versions.len() {
            let delay_ms = self.delay_rng.random_range(0..MAX_DELAY_MS);
            self.pending
                .push((self.now_ms + delay_ms, process, version));
        }
    }

    /// Advances the time by one millisecond.
    pub(super) fn step(&mut self) {
        self.now_ms += 1;
        let (now_ms, known_versions) = (self.now_ms, &mut self.known_versions);
        self.pending.retain(|(at, process, version)| {
            if *at <= now_ms {
                known_versions[*process] = known_versions[*process].max(*version);
            }
            *at > now_ms
        });
    }

    /// Returns the simulated time as an `Instant` of the core.
    pub(super) fn instant(&self) -> Instant {
        Instant::default() + Duration::from_millis(self.now_ms + 1)
    }

    /// Returns the index of a balancer's view.
    pub(super) fn balancer_version(&self, balancer: usize) -> usize {
        self.known_versions[balancer]
    }

    /// Returns the index of the view of a target's agent.
    pub(super) fn agent_version(&self, target: usize) -> usize {
        self.known_versions[BALANCERS + target]
    }

    /// Returns the newest view.
    pub(super) fn newest(&self) -> &Arc<View> {
        &self.views[self.views.len() - 1]
    }

    /// Returns the view of a balancer.
    pub(super) fn balancer(&self, balancer: usize) -> &Arc<View> {
        &self.views[self.balancer_version(balancer)]
    }

    /// Returns the view of a target's agent.
    pub(super) fn agent(&self, target: usize) -> &Arc<View> {
        &self.views[self.agent_version(target)]
    }

    fn join(&mut self, index: usize) {
        let port = 7_000 + u16::try_from(index).unwrap_or_default();
        let peer = SocketAddr::from(([127, 0, 0, 1], port));
        let announced = record::Target {
            group: group(),
            domain: domain(),
            region: valid_name(id::Region::new("khangai")),
            peer,
            rpc: peer,
            incarnation: Incarnation(1),
            phase: Phase::Serving,
        };
        self.put(target_name(index).as_str(), &announced);
    }

    fn put<R: Record>(&mut self, name: &str, record: &R) {
        let mut document = Document::new(R::KIND, name, Schema(1));
        record.write(&mut document);
        let revision = self.next_revision();
        self.catalog.apply(Entry::written(revision, document));
    }

    fn next_revision(&self) -> Revision {
        Revision(self.catalog.highest_revision().0 + 1)
    }
}
