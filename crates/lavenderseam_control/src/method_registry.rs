//! Registry of the RPC methods that plugins serve.

use jsonrpsee::{Methods as RpcMethods, RpcModule};
use parking_lot::Mutex;

/// RPC methods that plugins register before the app runs; a resource of every daemon.
#[derive(Default)]
pub struct MethodRegistry {
    modules: Mutex<Vec<RpcMethods>>,
}

impl MethodRegistry {
    /// Registers the methods of a module with the RPC server.
    pub fn register<C>(&self, module: RpcModule<C>) {
        self.modules.lock().push(module.into());
    }

    /// Removes and returns all modules registered so far.
    #[must_use]
    pub fn take_modules(&self) -> Vec<RpcMethods> {
        std::mem::take(&mut *self.modules.lock())
    }
}
