//! The installation that the ways are compared in, and how its processes learn of changes.

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

/// Balancers that packets are sprayed over.
pub(super) const BALANCERS: usize = 4;
/// Targets at the start; two more come and go.
pub(super) const TARGETS: usize = 7;
/// Targets at most.
pub(super) const TARGETS_LIMIT: usize = TARGETS + 2;
/// Longest time until a process learns of a change, in milliseconds.
const LAG_LIMIT: u64 = 500;

static TAGS: LazyLock<Vec<Tag>> = LazyLock::new(|| (0..TARGETS_LIMIT).map(tag_of).collect());

/// A planned change.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    Drain(usize),
    Undrain(usize),
    Join(usize),
}

/// The records, and the view that each process has of them.
pub(super) struct Scene {
    catalog: Catalog,
    views: Vec<Arc<View>>,
    /// Index of each process's view; balancers first.
    present: Vec<usize>,
    /// When a process learns of a view.
    pending: Vec<(u64, usize, usize)>,
    lags: StdRng,
    /// Milliseconds since the start.
    pub(super) now: u64,
}

fn name<T>(made: Result<T, id::Error>) -> T {
    made.unwrap_or_else(|error| unreachable!("a constant name is valid: {error}"))
}

fn target_name(index: usize) -> id::Target {
    name(id::Target::new(&format!("target-{index}")))
}

fn tag_of(index: usize) -> Tag {
    Tag::new(&target_name(index))
}

/// The tag of a target.
pub(super) fn tag(index: usize) -> Tag {
    TAGS[index]
}

/// The target with a tag.
pub(super) fn index_of(tag: Tag) -> Option<usize> {
    TAGS.iter().position(|known| *known == tag)
}

/// Address of the service.
pub(super) fn service() -> SocketAddr {
    SocketAddr::from(([192, 0, 2, 1], 443))
}

/// The group of all targets.
pub(super) fn group() -> id::Group {
    name(id::Group::new("trail-status"))
}

/// The failure domain of all targets.
pub(super) fn domain() -> id::Domain {
    name(id::Domain::new("tsetserleg"))
}

impl Scene {
    /// The installation at its start, known to all.
    pub(super) fn new(seed: u64) -> Self {
        let mut scene = Self {
            catalog: Catalog::default(),
            views: Vec::new(),
            present: vec![0; BALANCERS + TARGETS_LIMIT],
            pending: Vec::new(),
            lags: StdRng::seed_from_u64(seed),
            now: 0,
        };
        let bears = record::Group {
            slots: Slots(4),
            connections: 100_000,
            cold_slots: Slots(1),
            drain: Duration::from_secs(30),
        };
        scene.put(group().as_str(), &bears);
        let record = record::Service {
            addresses: vec![service()],
            group: group(),
        };
        scene.put("trail-status", &record);
        (0..TARGETS).for_each(|index| scene.join(index));
        scene.views.push(Arc::new(View::new(&scene.catalog)));
        scene
    }

    /// Makes a change, of which each process learns after a time of its own.
    pub(super) fn change(&mut self, change: Change) {
        match change {
            Change::Drain(index) => {
                let target = target_name(index);
                self.put(target.clone().as_str(), &record::Drain { target });
            }
            Change::Undrain(index) => {
                let id = Id::new(Kind::Drain, target_name(index));
                let revision = self.next();
                self.catalog.apply(Entry::new(id, revision));
            }
            Change::Join(index) => self.join(index),
        }
        self.views.push(Arc::new(View::new(&self.catalog)));
        let version = self.views.len() - 1;
        for process in 0..self.present.len() {
            let lag = self.lags.random_range(0..LAG_LIMIT);
            self.pending.push((self.now + lag, process, version));
        }
    }

    /// Moves the time on by a millisecond.
    pub(super) fn step(&mut self) {
        self.now += 1;
        let (now, present) = (self.now, &mut self.present);
        self.pending.retain(|(at, process, version)| {
            if *at <= now {
                present[*process] = present[*process].max(*version);
            }
            *at > now
        });
    }

    /// The time as the core sees it.
    pub(super) fn instant(&self) -> Instant {
        Instant::default() + Duration::from_millis(self.now + 1)
    }

    /// Index of a balancer's view.
    pub(super) fn balancer_version(&self, balancer: usize) -> usize {
        self.present[balancer]
    }

    /// Index of the view of a target's agent.
    pub(super) fn agent_version(&self, target: usize) -> usize {
        self.present[BALANCERS + target]
    }

    /// The newest view.
    pub(super) fn newest(&self) -> &Arc<View> {
        &self.views[self.views.len() - 1]
    }

    /// The view of a balancer.
    pub(super) fn balancer(&self, balancer: usize) -> &Arc<View> {
        &self.views[self.balancer_version(balancer)]
    }

    /// The view of a target's agent.
    pub(super) fn agent(&self, target: usize) -> &Arc<View> {
        &self.views[self.agent_version(target)]
    }

    fn join(&mut self, index: usize) {
        let port = 7_000 + u16::try_from(index).unwrap_or_default();
        let peer = SocketAddr::from(([127, 0, 0, 1], port));
        let announced = record::Target {
            group: group(),
            domain: domain(),
            region: name(id::Region::new("khangai")),
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
        let revision = self.next();
        self.catalog.apply(Entry::with_document(revision, document));
    }

    fn next(&self) -> Revision {
        Revision(self.catalog.head().0 + 1)
    }
}
