//! Remote methods that plugins offer to other processes.

use jsonrpsee::{Methods as Registered, RpcModule};
use parking_lot::Mutex;

/// Remote methods that plugins register before the app runs; a resource of every daemon.
#[derive(Default)]
pub struct Methods {
    registered: Mutex<Vec<Registered>>,
}

impl Methods {
    /// Offers the methods of a module.
    pub fn register<C>(&self, module: RpcModule<C>) {
        self.registered.lock().push(module.into());
    }

    /// Takes all modules registered so far.
    #[must_use]
    pub fn take(&self) -> Vec<Registered> {
        std::mem::take(&mut *self.registered.lock())
    }
}
