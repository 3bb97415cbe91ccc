//! What the tasks of the control plane share.

use std::sync::Arc;

use lavenderseam_core::catalog::{Applied, Catalog, Entry};
use lavenderseam_core::view::View;
use lavenderseam_platform::Store;
use lavenderseam_telemetry::{Log, Metrics};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{Gate, Identity, Views};

/// What the tasks of the control plane share.
pub(crate) struct Shared<S> {
    pub(crate) identity: Arc<Identity>,
    pub(crate) store: S,
    pub(crate) catalog: Mutex<Catalog>,
    pub(crate) changed: Notify,
    pub(crate) views: Arc<Views>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Log,
}

impl<S: Store> Shared<S> {
    /// Takes entries into the catalog.
    pub(crate) fn apply(&self, entries: Vec<Entry>) {
        let mut catalog = self.catalog.lock();
        let mut newer = 0;
        for entry in entries {
            newer += u64::from(catalog.apply(entry) == Applied::Newer);
        }
        drop(catalog);
        if newer > 0 {
            self.metrics.count("records.applied", newer);
            self.changed.notify_one();
        }
    }

    /// Compiles the view of the present catalog and publishes it.
    pub(crate) async fn publish(&self) {
        let catalog = self.catalog.lock().clone();
        let compiled = tokio::task::spawn_blocking(move || View::new(&catalog)).await;
        if let Ok(view) = compiled {
            self.views.publish(view);
        }
    }
}
