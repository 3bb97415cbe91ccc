//! What the balancer's threads share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time;

use lavenderseam_control::{Gate, Identity, Views};
use lavenderseam_core::flow::Router;
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::View;
use lavenderseam_wire::Key;

use crate::Counters;

/// What the balancer's threads share.
pub(crate) struct Shared {
    pub(crate) identity: Arc<Identity>,
    pub(crate) views: Arc<Views>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) router: Router,
    pub(crate) counters: Arc<Counters>,
    pub(crate) keys: Keys,
    pub(crate) draining: AtomicBool,
    pub(crate) halted: AtomicBool,
    origin: time::Instant,
}

/// Keys for the balancer's purposes, derived from the shared one.
pub(crate) struct Keys {
    pub(crate) frames: Key,
    pub(crate) connections: Key,
    pub(crate) seed: u64,
}

impl Keys {
    pub(crate) fn new(shared: &Key) -> Self {
        Self {
            frames: shared.derive("frames"),
            connections: shared.derive("connection ids"),
            seed: shared.seed(),
        }
    }
}

impl Shared {
    pub(crate) fn new(
        identity: Arc<Identity>,
        views: Arc<Views>,
        gate: Arc<Gate>,
        router: Router,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            keys: Keys::new(&identity.key),
            identity,
            views,
            gate,
            router,
            counters,
            draining: AtomicBool::new(false),
            halted: AtomicBool::new(false),
            origin: time::Instant::now(),
        }
    }

    /// The present time, for the core.
    pub(crate) fn now(&self) -> Instant {
        Instant::default() + self.origin.elapsed()
    }

    /// Whether the fabric should keep sending packets here.
    pub(crate) fn serves(&self, view: &View) -> bool {
        self.gate.is_open()
            && !view.is_out(&self.identity.domain)
            && !self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn is_halted(&self) -> bool {
        self.halted.load(Ordering::Acquire)
    }
}
