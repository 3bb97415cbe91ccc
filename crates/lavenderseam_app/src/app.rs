//! Application assembled from plugins.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use futures::stream::{FuturesUnordered, StreamExt};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;

use crate::resources::Resources;
use crate::shutdown::{SharedController, ShutdownController};
use crate::{Error, Plugin, Shutdown, StopHandle};

/// Boxed future of a task.
type TaskFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Registered task that hasn't been started.
struct Task {
    name: &'static str,
    future: TaskFuture,
}

/// Application assembled from plugins, which runs until a planned stop.
pub struct App {
    resources: Resources,
    tasks: Vec<Task>,
    controller: SharedController,
}

impl App {
    /// Creates an app without plugins.
    #[must_use]
    pub fn new() -> Self {
        Self {
            resources: Resources::default(),
            tasks: Vec::new(),
            controller: Arc::new(ShutdownController::new()),
        }
    }

    /// Adds a plugin by calling its [`Plugin::build`].
    ///
    /// # Errors
    ///
    /// Returns the error of [`Plugin::build`].
    pub fn add_plugin(&mut self, plugin: &impl Plugin) -> Result<&mut Self, Error> {
        plugin.build(self)?;
        Ok(self)
    }

    /// Inserts a resource that later plugins can get by its type, and replaces an earlier one of
    /// that type.
    pub fn insert_resource<T: Send + Sync + 'static>(&mut self, value: T) -> Arc<T> {
        let value = Arc::new(value);
        self.resources.insert(Arc::clone(&value));
        value
    }

    /// Returns the resource of a type.
    ///
    /// # Errors
    ///
    /// Returns [`Error::MissingResource`] if no earlier plugin has inserted one.
    pub fn resource<T: Send + Sync + 'static>(&self) -> Result<Arc<T>, Error> {
        self.resources.get()
    }

    /// Returns a handle through which a task observes the planned stop.
    #[must_use]
    pub fn shutdown(&self) -> Shutdown {
        self.controller.shutdown()
    }

    /// Returns a handle that begins the planned stop as SIGTERM does.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        self.controller.stopper()
    }

    /// Registers a task, which starts when the app runs. It must end once the drain has ended, see
    /// [`Shutdown::wait_for_terminating`].
    pub fn add_task(
        &mut self,
        name: &'static str,
        future: impl Future<Output = ()> + Send + 'static,
    ) {
        self.tasks.push(Task {
            name,
            future: Box::pin(future),
        });
    }

    /// Runs the tasks until SIGTERM, SIGINT or [`StopHandle::stop`], then drains the app and waits
    /// until all tasks have ended.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TaskPanicked`] if a task panics, and [`Error::Plugin`] if no signal handler
    /// can be installed.
    pub async fn run(self) -> Result<(), Error> {
        let mut terminate = signal_stream(SignalKind::terminate())?;
        let mut interrupt = signal_stream(SignalKind::interrupt())?;
        let mut running: FuturesUnordered<_> = self.tasks.into_iter().map(run_task).collect();
        let controller = Arc::clone(&self.controller);
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                () = controller.wait_for_stop_request() => {}
            }
            controller.begin_draining();
            controller.wait_until_drained().await;
            controller.begin_terminating();
        });
        while let Some(result) = running.next().await {
            result?;
        }
        Ok(())
    }
}

impl Default for App {
    fn default() -> Self {
        Self::new()
    }
}

/// Installs a signal handler.
fn signal_stream(kind: SignalKind) -> Result<tokio::signal::unix::Signal, Error> {
    signal(kind).map_err(|cause| Error::plugin("app", cause))
}

/// Runs a task to its end; fails if it panics.
async fn run_task(task: Task) -> Result<(), Error> {
    let handle: JoinHandle<()> = tokio::spawn(task.future);
    handle.await.map_err(|_| Error::TaskPanicked(task.name))
}
