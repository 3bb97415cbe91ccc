//! State that the balancer's threads and tasks share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time;

use lavenderseam_control::{CurrentView, ForwardingGate, Identity};
use lavenderseam_core::flow::Router;
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::View;
use lavenderseam_wire::SymmetricKey;

use crate::Counters;

/// State that the balancer's threads and tasks share.
pub(crate) struct SharedState {
    pub(crate) identity: Arc<Identity>,
    pub(crate) current_view: Arc<CurrentView>,
    pub(crate) forwarding_gate: Arc<ForwardingGate>,
    pub(crate) router: Router,
    pub(crate) counters: Arc<Counters>,
    pub(crate) keys: DerivedKeys,
    /// `true` once a planned stop has begun.
    pub(crate) draining: AtomicBool,
    /// `true` once the receive threads have to end.
    pub(crate) halted: AtomicBool,
    started_at: time::Instant,
}

/// Keys and hash seed derived from the installation's shared key.
pub(crate) struct DerivedKeys {
    pub(crate) frames: SymmetricKey,
    pub(crate) connection_ids: SymmetricKey,
    pub(crate) flow_seed: u64,
}

impl DerivedKeys {
    pub(crate) fn new(shared_key: &SymmetricKey) -> Self {
        Self {
            frames: shared_key.derive("frames"),
            connection_ids: shared_key.derive("connection ids"),
            flow_seed: shared_key.flow_hash_seed(),
        }
    }
}

impl SharedState {
    pub(crate) fn new(
        identity: Arc<Identity>,
        current_view: Arc<CurrentView>,
        forwarding_gate: Arc<ForwardingGate>,
        router: Router,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            keys: DerivedKeys::new(&identity.shared_key),
            identity,
            current_view,
            forwarding_gate,
            router,
            counters,
            draining: AtomicBool::new(false),
            halted: AtomicBool::new(false),
            started_at: time::Instant::now(),
        }
    }

    /// Returns the current time as an [`Instant`] of the core, which counts from the start of the
    /// process.
    pub(crate) fn now(&self) -> Instant {
        Instant::default() + self.started_at.elapsed()
    }

    /// Returns `true` if the fabric should send packets to this balancer.
    pub(crate) fn is_serving(&self, view: &View) -> bool {
        self.forwarding_gate.is_open()
            && !view.is_domain_out(&self.identity.domain)
            && !self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn is_halted(&self) -> bool {
        self.halted.load(Ordering::Acquire)
    }
}
