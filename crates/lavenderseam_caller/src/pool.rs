//! The connections that a caller keeps.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::link::Link;
use crate::statistics::Statistics;
use crate::{Failure, Settings};

/// The connections that a caller keeps.
pub(crate) struct Pool {
    settings: Settings,
    tls: Arc<quinn::crypto::rustls::QuicClientConfig>,
    links: Mutex<Vec<Arc<Link>>>,
    statistics: Arc<Mutex<Statistics>>,
}

/// A connection in use by one request.
pub(crate) struct Lease(Arc<Link>);

impl Pool {
    pub(crate) fn new(
        settings: Settings,
        tls: Arc<quinn::crypto::rustls::QuicClientConfig>,
        statistics: Arc<Mutex<Statistics>>,
    ) -> Self {
        Self {
            settings,
            tls,
            links: Mutex::default(),
            statistics,
        }
    }

    /// A connection for a request: the least busy one whose agent doesn't refuse requests, or a
    /// new one.
    pub(crate) async fn lease(&self) -> Result<Lease, Failure> {
        if let Some(link) = self.pick() {
            return Ok(Lease::new(link));
        }
        let link = Link::open(&self.settings, &self.tls, &self.statistics).await?;
        let link = Arc::new(link);
        self.links.lock().push(Arc::clone(&link));
        Ok(Lease::new(link))
    }

    fn pick(&self) -> Option<Arc<Link>> {
        let mut links = self.links.lock();
        links.retain(|link| link.is_open());
        let open = links.iter().filter(|link| !link.is_avoided());
        if let Some(link) = open.min_by_key(|link| link.busy()) {
            return Some(Arc::clone(link));
        }
        if links.len() < self.settings.connections {
            return None;
        }
        // All agents refuse: an unused connection makes room for one to another agent.
        if let Some(unused) = links.iter().position(|link| link.busy() == 0) {
            links.swap_remove(unused);
            return None;
        }
        links.iter().min_by_key(|link| link.busy()).map(Arc::clone)
    }
}

impl Lease {
    fn new(link: Arc<Link>) -> Self {
        link.begin();
        Self(link)
    }

    pub(crate) fn link(&self) -> &Link {
        &self.0
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.0.end();
    }
}
