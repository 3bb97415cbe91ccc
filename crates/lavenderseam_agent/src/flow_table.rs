//! Table of the flows that this agent owns.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use lavenderseam_app::{DrainGuard, Shutdown};
use lavenderseam_core::admission::{Admission, NewFlow};
use lavenderseam_core::flow::owner::{Decision, ForwardedPacket};
use lavenderseam_core::flow::{Key, Owner};
use lavenderseam_core::view::View;
use parking_lot::Mutex;

use crate::clock::Clock;
use crate::concurrency_limiter::ConcurrencyLimiter;

/// Number of pending connection refusals at which the set is cleared.
const PENDING_REFUSALS_LIMIT: usize = 4096;

/// Addresses of a caller and of the service that it connects to.
type AddressPair = (SocketAddr, SocketAddr);

/// Table of the flows that this agent owns, with its open connections and pending refusals.
pub(crate) struct FlowTable {
    clock: Clock,
    flow_seed: u64,
    owner: Mutex<Owner>,
    limiter: Arc<ConcurrencyLimiter>,
    open_connections: AtomicU32,
    pending_refusals: Mutex<HashSet<AddressPair>>,
    shutdown: Shutdown,
}

/// Guard of an established flow; dropping it closes the flow.
pub(crate) struct EstablishedFlow {
    flows: Arc<FlowTable>,
    key: Key,
}

impl FlowTable {
    /// Creates an empty table; `flow_seed`, the seed of the flow hash, is the same in all
    /// processes.
    pub(crate) fn new(
        owner: Owner,
        flow_seed: u64,
        limiter: Arc<ConcurrencyLimiter>,
        clock: Clock,
        shutdown: Shutdown,
    ) -> Self {
        Self {
            clock,
            flow_seed,
            owner: Mutex::new(owner),
            limiter,
            open_connections: AtomicU32::new(0),
            pending_refusals: Mutex::default(),
            shutdown,
        }
    }

    /// Decides what happens to a packet that a balancer or another agent has forwarded.
    pub(crate) fn handle_packet(
        &self,
        forwarded: &ForwardedPacket<'_>,
        view: &View,
        draining: bool,
    ) -> Decision {
        let admits = self.admits_new_flow(draining, forwarded.visited.len());
        let now = self.clock.now();
        self.owner
            .lock()
            .handle_packet(forwarded, view, now, admits)
    }

    /// Returns `true` if a new flow that `forwards` targets have already forwarded may be opened
    /// here.
    pub(crate) fn admits_new_flow(&self, draining: bool, forwards: usize) -> bool {
        let new_flow = NewFlow {
            connections: self.open_connections(),
            forwards,
            draining,
            // Always `false` here: `Owner` itself drops the packets of a failure domain that is
            // out.
            domain_out: false,
        };
        self.limiter.admission(&new_flow) == Admission::Admitted
    }

    /// Marks the connection between a caller and a service address for refusal by the transport.
    pub(crate) fn mark_refused(&self, caller: SocketAddr, service: SocketAddr) {
        let mut pending_refusals = self.pending_refusals.lock();
        if pending_refusals.len() >= PENDING_REFUSALS_LIMIT {
            pending_refusals.clear();
        }
        pending_refusals.insert((caller, service));
    }

    /// Removes the refusal mark of a connection; `true` if there was one.
    pub(crate) fn take_refused(&self, caller: SocketAddr, service: SocketAddr) -> bool {
        self.pending_refusals.lock().remove(&(caller, service))
    }

    /// Returns the key of the flow that a caller opened with its first destination connection id.
    pub(crate) fn flow_key(
        &self,
        caller: SocketAddr,
        service: SocketAddr,
        first_connection_id: &[u8],
    ) -> Key {
        Key::new(self.flow_seed, caller, service).with_connection_id(first_connection_id)
    }

    /// Records that a caller has completed its handshake with this owner.
    pub(crate) fn register_established(self: &Arc<Self>, key: Key) -> EstablishedFlow {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        self.owner.lock().mark_established(key, self.clock.now());
        EstablishedFlow {
            flows: Arc::clone(self),
            key,
        }
    }

    /// Releases a flow that isn't established, because another agent owns it or its handshake
    /// failed.
    pub(crate) fn release_unestablished(&self, key: Key) {
        self.owner.lock().release_embryonic(key);
    }

    /// Number of open connections.
    pub(crate) fn open_connections(&self) -> u32 {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Number of flows in the table, including those whose handshake isn't complete.
    pub(crate) fn flow_count(&self) -> u32 {
        self.owner.lock().flow_count()
    }

    /// Returns a guard that delays the end of the process while it is held.
    pub(crate) fn shutdown_guard(&self) -> DrainGuard {
        self.shutdown.drain_guard()
    }
}

impl Drop for EstablishedFlow {
    fn drop(&mut self) {
        self.flows.open_connections.fetch_sub(1, Ordering::Relaxed);
        self.flows.owner.lock().remove(self.key);
    }
}
