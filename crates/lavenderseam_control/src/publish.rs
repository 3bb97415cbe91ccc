//! Compiles views off the packet path.

use std::sync::Arc;

use lavenderseam_app::Shutdown;
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::view::Compiler;
use lavenderseam_platform::Store;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::shared::{Change, Shared};

/// What one compilation takes in.
#[derive(Default)]
struct Burst {
    records: Vec<Arc<[Entry]>>,
    /// Pauses before the records were confirmed, if they were.
    open: Option<u64>,
}

impl Burst {
    fn add(&mut self, change: Change) {
        match change {
            Change::Records(entries) => self.records.push(entries),
            Change::Open(pauses) => self.open = Some(pauses),
        }
    }
}

/// Publishes a view after every burst of changes until the app halts. The gate is opened only with
/// the view of the records that were confirmed.
pub(crate) async fn run<S: Store>(
    shared: Arc<Shared<S>>,
    mut changes: UnboundedReceiver<Change>,
    mut shutdown: Shutdown,
) {
    let mut compiler = Compiler::default();
    loop {
        let first = tokio::select! {
            change = changes.recv() => change,
            () = shutdown.halted() => return,
        };
        let Some(first) = first else {
            return;
        };
        let mut burst = Burst::default();
        burst.add(first);
        while let Ok(change) = changes.try_recv() {
            burst.add(change);
        }
        let Some(next) = publish(&shared, compiler, burst.records).await else {
            return shared.log.error("compiling a view failed");
        };
        compiler = next;
        if let Some(pauses) = burst.open {
            open(&shared, pauses);
        }
    }
}

async fn publish<S: Store>(
    shared: &Shared<S>,
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
    shared.views.publish(view);
    Some(compiler)
}

/// Opens the gate unless the process was paused again.
fn open<S: Store>(shared: &Shared<S>, pauses: u64) {
    let relay = shared.relay.lock();
    if relay.pauses == pauses && relay.node.is_open() {
        shared.gate.open();
    }
}
