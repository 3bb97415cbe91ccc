//! State that the tasks of the control plane share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::catalog::restore::MAX_COPY_AGE;
use lavenderseam_core::catalog::{Entry, Epoch, Revision};
use lavenderseam_core::record::{Id, Kind};
use lavenderseam_core::relay::{Action, Answer, Confirmation, Event, MemberId, Node, Pull, Push};
use lavenderseam_core::time::Instant;
use lavenderseam_platform::conditional_write::{self as write, RetryPolicy, UpdateOutcome};
use lavenderseam_platform::{Error, ListResponse, Store};
use lavenderseam_telemetry::{Log, Metrics};
use parking_lot::Mutex;
use rand::RngExt as _;
use rand::rand_core::UnwrapErr;
use rand::rngs::SysRng;
use tokio::sync::{Notify, mpsc};

use crate::clock::Clock;
use crate::rpc::RpcClient;
use crate::{CurrentView, ForwardingGate, Identity, ProbeReplies, Role, server};

/// Upper bound of the random delay after a restore of the store before this process writes its
/// record again, so that the processes don't all do so at once.
const MAX_REWRITE_DELAY: Duration = Duration::from_secs(1);

/// Update for the task that compiles and publishes routing views.
pub(crate) enum ViewUpdate {
    /// Records that have changed.
    Records(Arc<[Entry]>),
    /// The records have been confirmed; holds the number of pauses of the process at that time. A
    /// confirmation from before a later pause is void.
    Confirmed(u64),
}

/// Update for the task that probes targets.
pub(crate) enum ProbeUpdate {
    /// Records that have changed.
    Records(Arc<[Entry]>),
    /// The store was restored from a copy.
    StoreRestored,
}

/// State that the tasks of the control plane share.
pub(crate) struct ControlState<S> {
    pub(crate) identity: Arc<Identity>,
    /// Store that holds all records.
    pub(crate) store: S,
    pub(crate) clock: Clock,
    /// Replicates the records between processes.
    pub(crate) relay: Mutex<RelayState>,
    /// Queue of the task that compiles and publishes views.
    pub(crate) view_updates: mpsc::UnboundedSender<ViewUpdate>,
    /// Queue of the task that probes targets; balancers only.
    pub(crate) probe_updates: Option<mpsc::UnboundedSender<ProbeUpdate>>,
    /// Notified when the store may no longer hold the record of this process as last written.
    pub(crate) own_record_lost: Notify,
    /// Time at which this process last wrote its record.
    pub(crate) own_record_written_at: Mutex<Option<Instant>>,
    pub(crate) current_view: Arc<CurrentView>,
    pub(crate) forwarding_gate: Arc<ForwardingGate>,
    pub(crate) probe_replies: Arc<ProbeReplies>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) rpc_client: Arc<RpcClient>,
    pub(crate) log: Log,
}

/// Relay node, and the number of pauses that the process has been through.
pub(crate) struct RelayState {
    pub(crate) node: Node,
    pub(crate) pause_count: u64,
}

impl<S: Store> ControlState<S> {
    /// Returns the identity of the record that this process registers in the store.
    pub(crate) fn own_record_id(&self) -> Id {
        match &self.identity.role {
            Role::Balancer(name) => Id::new(Kind::Balancer, name),
            Role::Agent { target, .. } => Id::new(Kind::Target, target),
        }
    }

    /// Passes an event to the relay and starts the actions that it returns.
    pub(crate) fn handle_event(self: &Arc<Self>, event: Event) {
        let mut relay = self.relay.lock();
        let actions = relay.node.handle(event, self.clock.now());
        self.start_actions(&mut relay, actions);
    }

    /// Answers a peer that pulls records.
    pub(crate) fn answer_pull(self: &Arc<Self>, pull: &Pull) -> Answer {
        let mut relay = self.relay.lock();
        let (answer, actions) = relay.node.answer_pull(pull, self.clock.now());
        self.start_actions(&mut relay, actions);
        answer
    }

    /// Starts the actions of the relay. The caller keeps the relay locked, so that changed records
    /// are queued for the view in the order in which the relay applied them.
    fn start_actions(self: &Arc<Self>, relay: &mut RelayState, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Push { to, address, push } => self.spawn(Self::push, (to, address, push)),
                Action::Pull { address, pull } => self.spawn(Self::pull, (address, pull)),
                Action::ListStore => self.spawn(|state, ()| state.list_store(), ()),
                Action::WatchStore { after, wait } => self.spawn(Self::watch_store, (after, wait)),
                Action::CompileView(entries) => self.distribute_changes(entries.into()),
                Action::StoreRestored(epoch) => self.handle_restore(epoch),
                Action::DeleteBalancer { id, revision } => {
                    self.spawn(Self::delete_record, (id, revision));
                }
                Action::CloseGate => self.close_gate(relay),
                Action::OpenGate(confirmation) => self.confirm_records(relay, confirmation),
            }
        }
    }

    /// Runs a call to a peer or the store in a task of its own.
    fn spawn<A, F>(self: &Arc<Self>, run: impl FnOnce(Arc<Self>, A) -> F, argument: A)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(run(Arc::clone(self), argument));
    }

    /// Pushes records to a peer and reports to the relay whether they were delivered.
    async fn push(self: Arc<Self>, (to, address, push): (MemberId, SocketAddr, Push)) {
        self.metrics.count("relay.pushes", 1);
        let result = self
            .rpc_client
            .call::<_, bool>(address, server::PUSH_METHOD, &push)
            .await;
        let arrived = result.is_ok();
        self.handle_event(Event::Delivered { to, arrived });
    }

    /// Pulls records from a peer and passes the answer to the relay.
    async fn pull(self: Arc<Self>, (address, pull): (SocketAddr, Pull)) {
        self.metrics.count("relay.pulls", 1);
        let queried_at = self.clock.now();
        let answer = self
            .rpc_client
            .call(address, server::PULL_METHOD, &pull)
            .await;
        if let Err(error) = &answer {
            self.log
                .debug(format_args!("can't pull records from {address}: {error}"));
        }
        let answer = answer.ok();
        self.handle_event(Event::PullFinished {
            address,
            queried_at,
            answer,
        });
    }

    /// Lists all records in the store and passes them to the relay.
    async fn list_store(self: Arc<Self>) {
        let queried_at = self.clock.now();
        let result = self.store.list().await;
        self.report_store_result(result, |list| Event::StoreListed {
            queried_at,
            entries: list.entries,
            revision: list.revision,
        });
    }

    /// Watches the store for records written after a revision and passes them to the relay.
    async fn watch_store(self: Arc<Self>, (after, wait): (Revision, Duration)) {
        let queried_at = self.clock.now();
        let result = self.store.watch(after, wait).await;
        self.report_store_result(result, |list| Event::StoreWatched {
            queried_at,
            entries: list.entries,
            revision: list.revision,
        });
    }

    /// Deletes the record and the verdict of a balancer that has been unreachable for too long.
    async fn delete_record(self: Arc<Self>, (id, revision): (Id, Revision)) {
        self.log.info(format_args!(
            "deleting the record and the verdict of {id}, which has been unreachable for too long"
        ));
        let verdict = Id::new(Kind::Verdict, &id.name);
        match self.store.delete(&id, revision).await {
            Ok(deleted) => self.handle_event(Event::WriteAccepted(Entry::deletion(id, deleted))),
            // Another process deleted the record, or the balancer has registered again.
            Err(error) => return self.log.debug(format_args!("{id} is kept: {error}")),
        }
        let policy = RetryPolicy::default();
        let deleted = write::update(&self.store, &verdict, policy, |_| write::Decision::Delete);
        if let Ok(UpdateOutcome::Written(entry)) = deleted.await {
            self.handle_event(Event::WriteAccepted(entry));
        }
    }

    /// Passes the result of a list or watch to the relay.
    fn report_store_result(
        self: &Arc<Self>,
        result: Result<ListResponse, Error>,
        event: impl FnOnce(ListResponse) -> Event,
    ) {
        self.metrics.count("store.calls", 1);
        match result {
            Ok(list) => {
                for error in &list.errors {
                    self.metrics.count("store.malformed", 1);
                    self.log
                        .warn(format_args!("skipping a record in the store: {error}"));
                }
                self.handle_event(event(list));
            }
            Err(Error::RevisionExpired) => self.handle_event(Event::WatchExpired),
            Err(error) => {
                self.metrics.count("store.failures", 1);
                self.log
                    .debug(format_args!("can't list or watch the store: {error}"));
                let pause = match error {
                    Error::Throttled { retry_after } => retry_after,
                    _ => Duration::ZERO,
                };
                self.handle_event(Event::StoreFailed { pause });
            }
        }
    }

    /// Has the record of this process written again if a restored store may lack it.
    fn handle_restore(self: &Arc<Self>, epoch: Epoch) {
        self.metrics.count("store.restored", 1);
        self.log.warn(format_args!(
            "the store was restored from a copy (epoch {epoch}); keeping newer records until they are written again"
        ));
        if let Some(updates) = &self.probe_updates {
            let _ = updates.send(ProbeUpdate::StoreRestored);
        }
        let written_at = *self.own_record_written_at.lock();
        let age = written_at.map(|written_at| self.clock.now().since(written_at));
        if age.is_none_or(|age| age > MAX_COPY_AGE) {
            return;
        }
        let delay = MAX_REWRITE_DELAY.mul_f64(UnwrapErr(SysRng).random_range(0.0..1.0));
        let state = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            state.own_record_lost.notify_one();
        });
    }

    /// Queues changed records for the tasks that use them.
    fn distribute_changes(&self, entries: Arc<[Entry]>) {
        let changed = u64::try_from(entries.len()).unwrap_or(u64::MAX);
        self.metrics.count("records.applied", changed);
        let own_id = self.own_record_id();
        let is_own_deletion = |entry: &Entry| entry.id == own_id && entry.document.is_none();
        if entries.iter().any(is_own_deletion) {
            self.own_record_lost.notify_one();
        }
        if let Some(updates) = &self.probe_updates {
            let _ = updates.send(ProbeUpdate::Records(Arc::clone(&entries)));
        }
        // The view task receives until the app stops.
        let _ = self.view_updates.send(ViewUpdate::Records(entries));
    }

    /// Closes the gate after a pause.
    fn close_gate(&self, relay: &mut RelayState) {
        relay.pause_count += 1;
        self.forwarding_gate.close();
        self.metrics.count("gate.closed", 1);
        self.log
            .warn("the process was paused; dropping packets until its records are confirmed");
    }

    /// Queues the opening of the gate behind the records that were confirmed.
    fn confirm_records(&self, relay: &RelayState, confirmation: Confirmation) {
        match confirmation {
            Confirmation::Store => self
                .log
                .info("the store confirmed that the records are current"),
            Confirmation::Peer(_) => self
                .log
                .info("a peer confirmed that the records are current"),
        }
        let _ = self
            .view_updates
            .send(ViewUpdate::Confirmed(relay.pause_count));
    }
}
