//! Follows what operators and the planned stop ask of this agent.

use std::sync::Arc;
use std::time::Duration;

use lavenderseam_app::Shutdown;
use lavenderseam_control::{Announcement, Views};
use lavenderseam_core::admission::Bounds;
use lavenderseam_core::id;
use lavenderseam_core::record::{self, Phase};
use lavenderseam_core::view::{Standing, View};
use lavenderseam_quic::Endpoints;
use tokio::time::{Instant, sleep, timeout};

use crate::server::{Server, Stage};

/// Time for a drain while no record of the group has been seen.
const DRAIN_UNKNOWN: Duration = Duration::from_secs(30);
/// Time between two looks at the connections that are left.
const POLL: Duration = Duration::from_millis(50);
/// Time that the last packets of ended connections are given to leave.
const LINGER: Duration = Duration::from_secs(1);

/// Follows what operators and the planned stop ask of this agent.
pub(crate) struct Follower {
    pub(crate) target: id::Tag,
    pub(crate) group: id::Group,
    pub(crate) domain: id::Domain,
    pub(crate) views: Arc<Views>,
    pub(crate) announcement: Arc<Announcement>,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) server: Arc<Server>,
}

impl Follower {
    /// Follows the views until a planned stop, then drains.
    pub(crate) async fn run(self, mut shutdown: Shutdown) {
        let guard = shutdown.guard();
        let mut views = self.views.subscribe();
        let mut drain = DRAIN_UNKNOWN;
        loop {
            let view = Arc::clone(&views.borrow_and_update());
            if let Some(group) = self.group(&view) {
                drain = group.drain;
                self.server.gauge.set_bounds(Bounds::from(&group));
            }
            self.follow(&view, drain);
            tokio::select! {
                changed = views.changed() => if changed.is_err() { break },
                () = shutdown.draining() => break,
            }
        }
        self.announcement.set(Phase::Leaving);
        self.leave(drain).await;
        drop(guard);
    }

    fn group(&self, view: &View) -> Option<record::Group> {
        let mut services = view.services().map(|(_, service)| service);
        let own = services.find(|service| service.group == self.group)?;
        Some(own.bears.clone())
    }

    fn follow(&self, view: &View, drain: Duration) {
        let standing = view.target(self.target).map(|own| own.standing);
        let wanted = if view.is_out(&self.domain) {
            Stage::Out
        } else if standing == Some(Standing::Draining) {
            Stage::Draining(Instant::now() + drain)
        } else {
            Stage::Serving
        };
        self.server.stage.send_if_modified(|stage| {
            // A drain that goes on keeps its time.
            let same = std::mem::discriminant(stage) == std::mem::discriminant(&wanted);
            if !same {
                *stage = wanted;
            }
            !same
        });
    }

    /// Waits until all connections have ended, at most for the drain time.
    async fn leave(&self, drain: Duration) {
        let until = Instant::now() + drain;
        self.server.stage.send_if_modified(|stage| {
            let serving = *stage == Stage::Serving;
            if serving {
                *stage = Stage::Draining(until);
            }
            serving
        });
        let left = async {
            while self.server.flows.connections() > 0 {
                sleep(POLL).await;
            }
        };
        // What is left after the drain time is ended by the connections themselves.
        let _ = timeout(drain + LINGER, left).await;
        let _ = timeout(LINGER, self.endpoints.idle()).await;
    }
}
