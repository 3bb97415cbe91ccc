//! The app: an assembly of plugins.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use futures::stream::{FuturesUnordered, StreamExt};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;

use crate::resources::Resources;
use crate::shutdown::{Control, Handle};
use crate::{Error, Plugin, Shutdown, Stopper};

type Run = Pin<Box<dyn Future<Output = ()> + Send>>;

struct Task {
    name: &'static str,
    run: Run,
}

/// An assembly of plugins that runs until a planned stop.
pub struct App {
    resources: Resources,
    tasks: Vec<Task>,
    control: Handle,
}

impl App {
    /// An app without plugins.
    #[must_use]
    pub fn new() -> Self {
        Self {
            resources: Resources::default(),
            tasks: Vec::new(),
            control: Arc::new(Control::new()),
        }
    }

    /// Adds a plugin.
    ///
    /// # Errors
    ///
    /// Returns what the plugin's `build` returns.
    pub fn add(&mut self, plugin: &impl Plugin) -> Result<&mut Self, Error> {
        plugin.build(self)?;
        Ok(self)
    }

    /// Inserts a resource that later plugins can read.
    pub fn insert<T: Send + Sync + 'static>(&mut self, value: T) -> Arc<T> {
        let value = Arc::new(value);
        self.resources.insert(Arc::clone(&value));
        value
    }

    /// The resource of a type.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if no earlier plugin has inserted one.
    pub fn resource<T: Send + Sync + 'static>(&self) -> Result<Arc<T>, Error> {
        self.resources.get()
    }

    /// The app's planned stop, as its tasks see it.
    #[must_use]
    pub fn shutdown(&self) -> Shutdown {
        self.control.shutdown()
    }

    /// A handle that begins the planned stop as SIGTERM does.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        self.control.stopper()
    }

    /// Registers a task; it starts when the app runs and must end once the app is halted.
    pub fn spawn(&mut self, name: &'static str, run: impl Future<Output = ()> + Send + 'static) {
        self.tasks.push(Task {
            name,
            run: Box::pin(run),
        });
    }

    /// Runs the tasks until SIGTERM or SIGINT, drains them and waits for them to end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Task`] if a task panics, and [`Error::Plugin`] if signals can't be caught.
    pub async fn run(self) -> Result<(), Error> {
        let mut terminate = caught(SignalKind::terminate())?;
        let mut interrupt = caught(SignalKind::interrupt())?;
        let mut running: FuturesUnordered<_> = self.tasks.into_iter().map(start).collect();
        let control = Arc::clone(&self.control);
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                () = control.stop_requested() => {}
            }
            control.drain();
            control.drained().await;
            control.halt();
        });
        while let Some(ended) = running.next().await {
            ended?;
        }
        Ok(())
    }
}

impl Default for App {
    fn default() -> Self {
        Self::new()
    }
}

fn caught(kind: SignalKind) -> Result<tokio::signal::unix::Signal, Error> {
    signal(kind).map_err(|cause| Error::plugin("app", cause))
}

async fn start(task: Task) -> Result<(), Error> {
    let handle: JoinHandle<()> = tokio::spawn(task.run);
    handle.await.map_err(|_| Error::Task(task.name))
}
