//! Carries the schedule out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::record::DomainState;
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::{Log, Operator, Order};
use crate::launcher::{Cluster, Signal};
use crate::schedule::{Action, Fault, Subject};
use crate::standins::{FAULT_PATH, backend, fabric, platform};
use crate::{Error, remote};

/// Time between two looks at the schedule and the processes.
const TICK: Duration = Duration::from_millis(10);

/// Carries the schedule out on a cluster.
pub(crate) struct Injector<'a> {
    cluster: &'a mut Cluster,
    log: Log,
    orders: Arc<Mutex<Vec<Order>>>,
    steps: Vec<Step>,
    tasks: JoinSet<()>,
    leaving: Vec<Leaving>,
    findings: Findings,
}

/// What the injector finds out itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct Findings {
    /// Processes that ended although nothing in the schedule ended them.
    pub(crate) crashed: Vec<String>,
    /// Planned stops that ended with another code than 0, or by a signal.
    pub(crate) stops_failed: Vec<String>,
    /// Longest planned stop, in milliseconds.
    pub(crate) longest_stop_ms: u64,
    /// Edits of racing operators that were lost.
    pub(crate) race_lost: Arc<Mutex<usize>>,
}

/// One thing to do: a fault begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Step {
    at_ms: u64,
    index: usize,
    ends: bool,
}

/// A process that has been asked to stop.
struct Leaving {
    process: String,
    since: Instant,
    index: usize,
    /// Whether it starts again once it has ended.
    restarts: bool,
}

impl<'a> Injector<'a> {
    pub(crate) fn new(cluster: &'a mut Cluster, log: Log, orders: Arc<Mutex<Vec<Order>>>) -> Self {
        let mut steps = Vec::new();
        for (index, entry) in log.entries().iter().enumerate() {
            let Fault { at_ms, for_ms, .. } = entry.fault;
            let begin = Step {
                at_ms,
                index,
                ends: false,
            };
            steps.push(begin);
            if for_ms > 0 {
                steps.push(Step {
                    at_ms: at_ms + for_ms,
                    ends: true,
                    ..begin
                });
            }
        }
        steps.sort_by_key(|step| std::cmp::Reverse((step.at_ms, step.ends)));
        Self {
            cluster,
            log,
            orders,
            steps,
            tasks: JoinSet::new(),
            leaving: Vec::new(),
            findings: Findings::default(),
        }
    }

    /// Carries out what is due until the end of the run.
    pub(crate) async fn run(mut self, start: Instant, end: Instant) -> Findings {
        while Instant::now() < end {
            let elapsed = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            while let Some(step) = self.steps.pop_if(|step| step.at_ms <= elapsed) {
                self.carry_out(step).await;
            }
            self.follow_stops();
            self.find_crashes();
            sleep(TICK).await;
        }
        self.wind_up().await;
        self.findings
    }

    async fn carry_out(&mut self, step: Step) {
        let entries = self.log.entries();
        let fault = entries[step.index].fault.clone();
        let verb = if step.ends { "ends" } else { "begins" };
        println!("{:>7.1} s  {fault} {verb}", step.at_ms as f64 / 1e3);
        let done = if step.ends {
            self.end(step.index, &fault).await
        } else {
            self.begin(step.index, &fault).await
        };
        if let Err(cause) = done {
            println!("           {fault} failed: {cause}");
            self.log.failed(step.index, &cause);
        }
    }

    async fn begin(&mut self, index: usize, fault: &Fault) -> Result<(), Error> {
        match (fault.action, &fault.subject) {
            (Action::Kill, Subject::Process(name)) => self.cluster.process(name)?.kill(),
            (Action::Freeze, Subject::Process(name)) => {
                self.cluster.process(name)?.signal(Signal::Stop);
            }
            (Action::Restart, Subject::Process(name)) => self.leave(index, name, true)?,
            (Action::Stop, Subject::Process(name)) => self.leave(index, name, false)?,
            (Action::DomainOut, Subject::Domain(name)) => {
                self.set_domain(index, name, DomainState::Out, false);
                return Ok(());
            }
            (Action::DomainIn, Subject::Domain(name)) => {
                self.set_domain(index, name, DomainState::In, false);
                return Ok(());
            }
            (Action::Drain, Subject::Target(name)) => {
                self.drain(index, name, true);
                return Ok(());
            }
            (Action::Race, Subject::Domain(name)) => {
                self.race(index, name);
                return Ok(());
            }
            _ => self.tell_stand_in(fault, true).await?,
        }
        self.log.begun(index);
        Ok(())
    }

    async fn end(&mut self, index: usize, fault: &Fault) -> Result<(), Error> {
        match (fault.action, &fault.subject) {
            (Action::Kill | Action::Stop, Subject::Process(name)) => {
                // A stop that is still under way starts the process again once it has ended.
                let mut leaving = self.leaving.iter_mut();
                if let Some(leaving) = leaving.find(|leaving| leaving.process == *name) {
                    leaving.restarts = true;
                    return Ok(());
                }
                self.cluster.process(name)?.start()?;
            }
            (Action::Freeze, Subject::Process(name)) => {
                self.cluster.process(name)?.signal(Signal::Continue);
            }
            (Action::DomainOut, Subject::Domain(name)) => {
                self.set_domain(index, name, DomainState::In, true);
                return Ok(());
            }
            (Action::Drain, Subject::Target(name)) => {
                self.drain(index, name, false);
                return Ok(());
            }
            (Action::Restart | Action::DomainIn | Action::Race, _) => return Ok(()),
            _ => self.tell_stand_in(fault, false).await?,
        }
        self.log.ended(index);
        Ok(())
    }

    fn leave(&mut self, index: usize, name: &str, restarts: bool) -> Result<(), Error> {
        self.cluster.process(name)?.signal(Signal::Terminate);
        self.leaving.push(Leaving {
            process: name.to_owned(),
            since: Instant::now(),
            index,
            restarts,
        });
        Ok(())
    }

    /// Notes the planned stops that have come to their end.
    fn follow_stops(&mut self) {
        for leaving in std::mem::take(&mut self.leaving) {
            let Ok(process) = self.cluster.process(&leaving.process) else {
                continue;
            };
            let Some(status) = process.ended() else {
                self.leaving.push(leaving);
                continue;
            };
            if !status.success() {
                let failed = format!("{}: {status}", leaving.process);
                self.findings.stops_failed.push(failed);
            }
            let took = u64::try_from(leaving.since.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.findings.longest_stop_ms = self.findings.longest_stop_ms.max(took);
            if leaving.restarts {
                match process.start() {
                    Ok(()) => self.log.ended(leaving.index),
                    Err(cause) => self.log.failed(leaving.index, &cause),
                }
            }
        }
    }

    fn find_crashes(&mut self) {
        let leaving: Vec<&String> = self
            .leaving
            .iter()
            .map(|leaving| &leaving.process)
            .collect();
        let ended = self
            .cluster
            .take_ended(|name| leaving.iter().any(|known| *known == name));
        for name in ended {
            println!("           {name} ended unexpectedly");
            self.findings.crashed.push(name);
        }
    }

    fn set_domain(&mut self, index: usize, name: &str, state: DomainState, ends: bool) {
        let operator = self.operator();
        let name = name.to_owned();
        let order = async move { operator.set_domain(&name, state).await };
        self.spawn_order(index, ends, order);
    }

    fn drain(&mut self, index: usize, name: &str, on: bool) {
        let operator = self.operator();
        let name = name.to_owned();
        let order = async move {
            if on {
                operator.drain(&name).await
            } else {
                operator.cancel_drain(&name).await
            }
        };
        self.spawn_order(index, !on, order);
    }

    /// Lets an order be tried in the background: it may have to wait for the object API.
    fn spawn_order(
        &mut self,
        index: usize,
        ends: bool,
        order: impl Future<Output = Result<Order, Error>> + Send + 'static,
    ) {
        let log = self.log.clone();
        let orders = Arc::clone(&self.orders);
        self.tasks.spawn(async move {
            match order.await {
                Ok(order) if ends => {
                    log.ended(index);
                    orders.lock().push(order);
                }
                Ok(order) => {
                    log.begun(index);
                    orders.lock().push(order);
                }
                Err(cause) => log.failed(index, &cause),
            }
        });
    }

    fn race(&mut self, index: usize, name: &str) {
        let operator = self.operator();
        let name = name.to_owned();
        let log = self.log.clone();
        let lost = Arc::clone(&self.findings.race_lost);
        log.begun(index);
        self.tasks.spawn(async move {
            match operator.race(&name).await {
                Ok(edits) => *lost.lock() += edits,
                Err(cause) => log.failed(index, &cause),
            }
            log.ended(index);
        });
    }

    fn operator(&self) -> Operator {
        Operator::new(self.cluster.network().store())
    }

    async fn tell_stand_in(&self, fault: &Fault, on: bool) -> Result<(), Error> {
        let network = self.cluster.network();
        match (fault.action, &fault.subject) {
            (Action::Cut, Subject::Flows(count)) if on => {
                let fault = fabric::Fault::ForgetOldest { count: *count };
                remote::post(network.fabric_control(), FAULT_PATH, &fault).await
            }
            (Action::Cut, Subject::Process(process)) => {
                let process = self.cluster.host(process)?;
                let fault = fabric::Fault::Cut { process, on };
                remote::post(network.fabric_control(), FAULT_PATH, &fault).await
            }
            (Action::Cut, Subject::Pair { service, process }) => {
                let fault = fabric::Fault::CutPair {
                    service: self.cluster.service(service)?,
                    process: self.cluster.host(process)?,
                    on,
                };
                remote::post(network.fabric_control(), FAULT_PATH, &fault).await
            }
            (Action::Cold, Subject::Target(target)) if on => {
                let control = self.backend_control(target)?;
                remote::post(control, FAULT_PATH, &backend::Fault::Cold).await
            }
            (Action::Lie, Subject::Lie { target, lie }) => {
                let lie = if on { *lie } else { backend::Lie::None };
                let control = self.backend_control(target)?;
                remote::post(control, FAULT_PATH, &backend::Fault::Lie { lie }).await
            }
            (Action::StoreDown | Action::StoreSlow | Action::StoreLoseAnswers, subject) => {
                let fault = store_fault(fault.action, subject, on);
                remote::post(network.store_control(), FAULT_PATH, &fault).await
            }
            _ => Ok(()),
        }
    }

    fn backend_control(&self, target: &str) -> Result<SocketAddr, Error> {
        let index = self.cluster.placement(target)?.index;
        Ok(self.cluster.network().backend_control(index))
    }

    /// Lets go of processes that are paused, and of orders that still wait.
    async fn wind_up(&mut self) {
        for entry in self.log.entries() {
            if let (Action::Freeze, Subject::Process(name)) =
                (entry.fault.action, &entry.fault.subject)
                && let Ok(process) = self.cluster.process(name)
            {
                process.signal(Signal::Continue);
            }
        }
        self.tasks.shutdown().await;
    }
}

fn store_fault(action: Action, subject: &Subject, on: bool) -> platform::Fault {
    match (action, subject) {
        (Action::StoreSlow, Subject::Delay(delay)) => platform::Fault::Slow {
            delay_ms: if on { *delay } else { 0 },
        },
        (Action::StoreLoseAnswers, Subject::Percent(percent)) => platform::Fault::LoseAnswers {
            percent: if on { *percent } else { 0 },
        },
        _ => platform::Fault::Down { on },
    }
}
