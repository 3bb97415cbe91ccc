//! What the tasks of the control plane share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Id, Kind};
use lavenderseam_core::relay::{Action, Answer, Confirmation, Event, MemberId, Node, Pull, Push};
use lavenderseam_platform::write::{self, Outcome, Policy};
use lavenderseam_platform::{Error, List, Store};
use lavenderseam_telemetry::{Log, Metrics};
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};

use crate::clock::Clock;
use crate::remote::Remote;
use crate::{Echoes, Gate, Identity, Role, Views, server};

/// What the view's task is told.
pub(crate) enum Change {
    /// These records have changed.
    Records(Arc<[Entry]>),
    /// The process may act on its records, unless it was paused again since; holds the number of
    /// pauses before.
    Open(u64),
}

/// What the tasks of the control plane share.
pub(crate) struct Shared<S> {
    pub(crate) identity: Arc<Identity>,
    pub(crate) store: S,
    pub(crate) clock: Clock,
    pub(crate) relay: Mutex<Relay>,
    pub(crate) changes: mpsc::UnboundedSender<Change>,
    /// Changes for the probes; balancers only.
    pub(crate) probe_changes: Option<mpsc::UnboundedSender<Arc<[Entry]>>>,
    /// The process' own record has been deleted by someone else.
    pub(crate) own_deleted: Notify,
    pub(crate) views: Arc<Views>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) echoes: Arc<Echoes>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) remote: Arc<Remote>,
    pub(crate) log: Log,
}

/// The relay node and the pauses that it went through.
pub(crate) struct Relay {
    pub(crate) node: Node,
    pub(crate) pauses: u64,
}

impl<S: Store> Shared<S> {
    /// Identity of the process' own record.
    pub(crate) fn id(&self) -> Id {
        match &self.identity.role {
            Role::Balancer(name) => Id::new(Kind::Balancer, name),
            Role::Agent { target, .. } => Id::new(Kind::Target, target),
        }
    }

    /// Hands an event to the relay and does what it asks for.
    pub(crate) fn handle(self: &Arc<Self>, event: Event) {
        let mut relay = self.relay.lock();
        let actions = relay.node.handle(event, self.clock.now());
        self.perform(&mut relay, actions);
    }

    /// Answers another process.
    pub(crate) fn answer(self: &Arc<Self>, pull: &Pull) -> Answer {
        let mut relay = self.relay.lock();
        let (answer, actions) = relay.node.answer(pull, self.clock.now());
        self.perform(&mut relay, actions);
        answer
    }

    /// Starts the actions. The relay stays locked, so that changes reach the view in order.
    fn perform(self: &Arc<Self>, relay: &mut Relay, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Push { to, address, push } => self.start(Self::push, (to, address, push)),
                Action::Pull { address, pull } => self.start(Self::pull, (address, pull)),
                Action::List => self.start(|shared, ()| shared.list(), ()),
                Action::Watch { after, wait } => self.start(Self::watch, (after, wait)),
                Action::Changed(entries) => self.changed(entries.into()),
                Action::Forget { id, revision } => self.start(Self::forget, (id, revision)),
                Action::Close => self.close(relay),
                Action::Open(by) => self.open(relay, by),
            }
        }
    }

    fn start<A, F>(self: &Arc<Self>, run: impl FnOnce(Arc<Self>, A) -> F, argument: A)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(run(Arc::clone(self), argument));
    }

    async fn push(self: Arc<Self>, (to, address, push): (MemberId, SocketAddr, Push)) {
        self.metrics.count("relay.pushes", 1);
        let sent = self
            .remote
            .call::<_, bool>(address, server::PUSH, &push)
            .await;
        let arrived = sent.is_ok();
        self.handle(Event::Delivered { to, arrived });
    }

    async fn pull(self: Arc<Self>, (address, pull): (SocketAddr, Pull)) {
        self.metrics.count("relay.pulls", 1);
        let asked = self.clock.now();
        let answer = self.remote.call(address, server::PULL, &pull).await;
        if let Err(error) = &answer {
            self.log
                .debug(format_args!("no records from {address}: {error}"));
        }
        let answer = answer.ok();
        self.handle(Event::Answered {
            address,
            asked,
            answer,
        });
    }

    async fn list(self: Arc<Self>) {
        let asked = self.clock.now();
        let listed = self.store.list().await;
        self.stored(listed, |list| Event::Listed {
            asked,
            entries: list.entries,
            revision: list.revision,
        });
    }

    async fn watch(self: Arc<Self>, (after, wait): (Revision, Duration)) {
        let asked = self.clock.now();
        let watched = self.store.watch(after, wait).await;
        self.stored(watched, |list| Event::Watched {
            asked,
            entries: list.entries,
            revision: list.revision,
        });
    }

    /// Deletes the record of a balancer that is gone, and its verdict.
    async fn forget(self: Arc<Self>, (id, revision): (Id, Revision)) {
        self.log
            .info(format_args!("forgets {id}, unreachable for long"));
        let verdict = Id::new(Kind::Verdict, &id.name);
        match self.store.delete(&id, revision).await {
            Ok(deleted) => self.handle(Event::Accepted(Entry::new(id, deleted))),
            // Someone else deleted it, or the balancer has announced itself anew.
            Err(error) => return self.log.debug(format_args!("{id} is kept: {error}")),
        }
        let policy = Policy::default();
        let deleted = write::update(&self.store, &verdict, policy, |_| write::Change::Delete);
        if let Ok(Outcome::Written(entry)) = deleted.await {
            self.handle(Event::Accepted(entry));
        }
    }

    fn stored(self: &Arc<Self>, called: Result<List, Error>, event: impl FnOnce(List) -> Event) {
        self.metrics.count("store.calls", 1);
        match called {
            Ok(list) => self.handle(event(list)),
            Err(Error::Gone) => self.handle(Event::Outdated),
            Err(error) => {
                self.metrics.count("store.failures", 1);
                self.log
                    .debug(format_args!("can't read the store: {error}"));
                let pause = match error {
                    Error::Throttled { retry_after } => retry_after,
                    _ => Duration::ZERO,
                };
                self.handle(Event::StoreFailed { pause });
            }
        }
    }

    fn changed(&self, entries: Arc<[Entry]>) {
        let applied = u64::try_from(entries.len()).unwrap_or(u64::MAX);
        self.metrics.count("records.applied", applied);
        let own = self.id();
        let deleted = |entry: &Entry| entry.id == own && entry.document.is_none();
        if entries.iter().any(deleted) {
            self.own_deleted.notify_one();
        }
        if let Some(probes) = &self.probe_changes {
            let _ = probes.send(Arc::clone(&entries));
        }
        // The receiver lives as long as the app.
        let _ = self.changes.send(Change::Records(entries));
    }

    fn close(&self, relay: &mut Relay) {
        relay.pauses += 1;
        self.gate.close();
        self.metrics.count("gate.closed", 1);
        self.log
            .warn("the process was paused; it forwards nothing until its records are confirmed");
    }

    fn open(&self, relay: &Relay, by: Confirmation) {
        match by {
            Confirmation::Store => self.log.info("the store confirmed the records"),
            Confirmation::Peer(_) => self.log.info("a peer confirmed the records"),
        }
        let _ = self.changes.send(Change::Open(relay.pauses));
    }
}
