//! Compiles routing views on a blocking thread, away from the packet path.

use std::sync::Arc;

use lavenderseam_app::Shutdown;
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::view::Compiler;
use lavenderseam_platform::Store;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::control_state::{ControlState, ViewUpdate};

/// Updates that one compilation of the view includes.
#[derive(Default)]
struct UpdateBatch {
    records: Vec<Arc<[Entry]>>,
    /// Number of pauses of the process when its records were confirmed; `None` if this batch holds
    /// no confirmation.
    confirmed_at_pause_count: Option<u64>,
}

impl UpdateBatch {
    fn add(&mut self, update: ViewUpdate) {
        match update {
            ViewUpdate::Records(entries) => self.records.push(entries),
            ViewUpdate::Confirmed(pause_count) => self.confirmed_at_pause_count = Some(pause_count),
        }
    }
}

/// Publishes a new view after every batch of updates until the app stops.
///
/// Confirmations share the queue of the record changes, so the gate opens only after the view of
/// the confirmed records has been published.
pub(crate) async fn run<S: Store>(
    control: Arc<ControlState<S>>,
    mut updates: UnboundedReceiver<ViewUpdate>,
    mut shutdown: Shutdown,
) {
    let mut compiler = Compiler::default();
    loop {
        let first = tokio::select! {
            update = updates.recv() => update,
            () = shutdown.wait_for_terminating() => return,
        };
        let Some(first) = first else {
            return;
        };
        let mut batch = UpdateBatch::default();
        batch.add(first);
        while let Ok(update) = updates.try_recv() {
            batch.add(update);
        }
        let Some(updated) = compile_and_publish(&control, compiler, batch.records).await else {
            return control
                .log
                .error("compiling the routing view panicked; no new view will be published");
        };
        compiler = updated;
        if let Some(pause_count) = batch.confirmed_at_pause_count {
            open_gate(&control, pause_count);
        }
    }
}

/// Applies the changed records and publishes the new view; `None` if the compiler panicked.
async fn compile_and_publish<S: Store>(
    control: &ControlState<S>,
    mut compiler: Compiler,
    records: Vec<Arc<[Entry]>>,
) -> Option<Compiler> {
    if records.is_empty() {
        return Some(compiler);
    }
    let compile = move || {
        for entry in records.iter().flat_map(|entries| entries.iter()) {
            compiler.apply(entry);
        }
        let view = compiler.compile();
        (compiler, view)
    };
    let (compiler, view) = tokio::task::spawn_blocking(compile).await.ok()?;
    control.current_view.publish(view);
    Some(compiler)
}

/// Opens the gate unless the process was paused again after the confirmation.
fn open_gate<S: Store>(control: &ControlState<S>, pause_count: u64) {
    let relay = control.relay.lock();
    if relay.pause_count == pause_count && relay.node.is_confirmed() {
        control.forwarding_gate.open();
    }
}
