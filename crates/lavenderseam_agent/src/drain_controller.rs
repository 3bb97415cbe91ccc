//! Applies drains, failure domain changes and the planned stop to this agent.

use std::sync::Arc;
use std::time::Duration;

use lavenderseam_app::Shutdown;
use lavenderseam_control::{AnnouncedPhase, CurrentView};
use lavenderseam_core::admission::Capacity;
use lavenderseam_core::id;
use lavenderseam_core::record::{self, Phase};
use lavenderseam_core::view::{TargetState, View};
use lavenderseam_quic::ServiceEndpoints;
use tokio::time::{Instant, sleep, timeout};

use crate::server::{DrainState, Server};

/// Drain time that applies until the group's record arrives.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(30);
/// Time between two checks for open connections during a planned stop.
const CONNECTIONS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Grace period after the drain time for sending the last packets of closed connections.
const LAST_PACKETS_GRACE: Duration = Duration::from_secs(1);

/// Carries out drains, failure domain changes and the planned stop of this agent.
pub(crate) struct DrainController {
    pub(crate) target: id::Tag,
    pub(crate) group: id::Group,
    pub(crate) domain: id::Domain,
    pub(crate) current_view: Arc<CurrentView>,
    pub(crate) announcement: Arc<AnnouncedPhase>,
    pub(crate) endpoints: Arc<ServiceEndpoints>,
    pub(crate) server: Arc<Server>,
}

impl DrainController {
    /// Applies each new view until a planned stop begins, then drains.
    pub(crate) async fn run(self, mut shutdown: Shutdown) {
        let drain_guard = shutdown.drain_guard();
        let mut view_receiver = self.current_view.subscribe();
        let mut drain_time = DEFAULT_DRAIN_TIME;
        loop {
            let view = Arc::clone(&view_receiver.borrow_and_update());
            if let Some(group) = self.group_record(&view) {
                drain_time = group.drain_timeout;
                self.server.limiter.set_capacity(Capacity::from(&group));
            }
            self.apply_view(&view, drain_time);
            tokio::select! {
                changed = view_receiver.changed() => if changed.is_err() { break },
                () = shutdown.wait_for_draining() => break,
            }
        }
        self.announcement.set(Phase::Leaving);
        self.drain_connections(drain_time).await;
        drop(drain_guard);
    }

    /// Returns the record of this agent's group, from a service that uses the group.
    fn group_record(&self, view: &View) -> Option<record::Group> {
        let mut services = view.services().map(|(_, service)| service);
        let own_service = services.find(|service| service.group == self.group)?;
        Some(own_service.limits.clone())
    }

    /// Sets the drain state according to the failure domain and the target in a view.
    fn apply_view(&self, view: &View, drain_time: Duration) {
        let state = view
            .target_by_tag(self.target)
            .map(|own_target| own_target.state);
        let new_state = if view.is_domain_out(&self.domain) {
            DrainState::DomainOut
        } else if state == Some(TargetState::Draining) {
            DrainState::Draining(Instant::now() + drain_time)
        } else {
            DrainState::Serving
        };
        self.server.drain_state.send_if_modified(|state| {
            // A drain that is already in progress keeps its deadline.
            let unchanged = std::mem::discriminant(state) == std::mem::discriminant(&new_state);
            if !unchanged {
                *state = new_state;
            }
            !unchanged
        });
    }

    /// Drains and waits until all connections have closed, at most for the drain time and the grace
    /// period.
    async fn drain_connections(&self, drain_time: Duration) {
        let deadline = Instant::now() + drain_time;
        self.server.drain_state.send_if_modified(|state| {
            let serving = *state == DrainState::Serving;
            if serving {
                *state = DrainState::Draining(deadline);
            }
            serving
        });
        let all_closed = async {
            while self.server.flows.open_connections() > 0 {
                sleep(CONNECTIONS_POLL_INTERVAL).await;
            }
        };
        // Each connection closes itself when the drain deadline passes.
        let _ = timeout(drain_time + LAST_PACKETS_GRACE, all_closed).await;
        let _ = timeout(LAST_PACKETS_GRACE, self.endpoints.wait_idle()).await;
    }
}
