//! Injects the faults of the schedule.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::record::DomainState;
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::{AcceptedWrite, FaultLog, Operator};
use crate::launcher::{Cluster, Signal};
use crate::schedule::{Action, Fault, Subject};
use crate::stand_ins::{FAULT_PATH, backend, fabric, platform};
use crate::{Error, http_client};

/// Interval at which the schedule and the processes are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Delay after which operators write again what a return from an older copy lost, in milliseconds.
const REWRITE_DELAY_MS: u64 = 1_000;

/// Injects the faults of a schedule into a cluster.
pub(crate) struct FaultInjector<'a> {
    cluster: &'a mut Cluster,
    log: FaultLog,
    accepted_writes: Arc<Mutex<Vec<AcceptedWrite>>>,
    /// Steps that have not been executed, the next one last.
    steps: Vec<Step>,
    tasks: JoinSet<()>,
    pending_stops: Vec<PendingStop>,
    findings: Findings,
}

/// What the injector observes about processes and operators.
#[derive(Clone, Debug, Default)]
pub(crate) struct Findings {
    /// Names of the processes that exited although no fault of the schedule ended them.
    pub(crate) crashed: Vec<String>,
    /// Graceful stops after which the process exited with a code other than 0 or by a signal.
    pub(crate) stops_failed: Vec<String>,
    /// Duration of the longest graceful stop, in milliseconds.
    pub(crate) longest_stop_ms: u64,
    /// Number of edits by racing operators that were lost.
    pub(crate) race_lost: Arc<Mutex<usize>>,
}

/// One step of the schedule: the beginning or the end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Step {
    /// Time at which the step is due, in milliseconds from the start of the load.
    at_ms: u64,
    /// Index of the fault in the schedule.
    fault_index: usize,
    /// `true` if the fault ends, `false` if it begins.
    is_end: bool,
}

/// A graceful stop in progress: the process has been sent `SIGTERM` and has not exited yet.
struct PendingStop {
    process: String,
    requested_at: Instant,
    fault_index: usize,
    /// `true` if the process is started again once it has exited.
    restart_after_exit: bool,
}

impl<'a> FaultInjector<'a> {
    /// Returns an injector for the schedule of a fault log.
    pub(crate) fn new(
        cluster: &'a mut Cluster,
        log: FaultLog,
        accepted_writes: Arc<Mutex<Vec<AcceptedWrite>>>,
    ) -> Self {
        let mut steps = Vec::new();
        for (fault_index, entry) in log.entries().iter().enumerate() {
            let Fault { at_ms, for_ms, .. } = entry.fault;
            let begin = Step {
                at_ms,
                fault_index,
                is_end: false,
            };
            steps.push(begin);
            if for_ms > 0 {
                steps.push(Step {
                    at_ms: at_ms + for_ms,
                    is_end: true,
                    ..begin
                });
            }
        }
        steps.sort_by_key(|step| std::cmp::Reverse((step.at_ms, step.is_end)));
        Self {
            cluster,
            log,
            accepted_writes,
            steps,
            tasks: JoinSet::new(),
            pending_stops: Vec::new(),
            findings: Findings::default(),
        }
    }

    /// Executes the steps of the schedule when they are due, until the end of the run.
    pub(crate) async fn run(mut self, start: Instant, end: Instant) -> Findings {
        while Instant::now() < end {
            let elapsed = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            while let Some(step) = self.steps.pop_if(|step| step.at_ms <= elapsed) {
                self.execute_step(step).await;
            }
            self.complete_stops();
            self.detect_crashes();
            sleep(POLL_INTERVAL).await;
        }
        self.clean_up().await;
        self.findings
    }

    /// Begins or ends the fault of a step, and logs the reason if that fails.
    async fn execute_step(&mut self, step: Step) {
        let entries = self.log.entries();
        let fault = entries[step.fault_index].fault.clone();
        let verb = if step.is_end { "ends" } else { "begins" };
        println!("{:>7.1} s  {fault} {verb}", step.at_ms as f64 / 1e3);
        let result = if step.is_end {
            self.end_fault(step.fault_index, &fault).await
        } else {
            self.begin_fault(step.fault_index, &fault).await
        };
        if let Err(error) = result {
            println!("           {fault} failed: {error}");
            self.log.record_failure(step.fault_index, &error);
        }
    }

    /// Begins a fault; a change by an operator is only started, and logged once it is accepted.
    async fn begin_fault(&mut self, index: usize, fault: &Fault) -> Result<(), Error> {
        match (fault.action, &fault.subject) {
            (Action::Kill, Subject::Process(name)) => self.cluster.process(name)?.kill(),
            (Action::Freeze, Subject::Process(name)) => {
                self.cluster.process(name)?.signal(Signal::Stop);
            }
            (Action::Restart, Subject::Process(name)) => self.request_stop(index, name, true)?,
            (Action::Stop, Subject::Process(name)) => self.request_stop(index, name, false)?,
            (Action::DomainOut, Subject::Domain(name)) => {
                self.spawn_domain_change(index, name, DomainState::Out, false);
                return Ok(());
            }
            (Action::DomainIn, Subject::Domain(name)) => {
                self.spawn_domain_change(index, name, DomainState::In, false);
                return Ok(());
            }
            (Action::Drain, Subject::Target(name)) => {
                self.spawn_drain_change(index, name, true);
                return Ok(());
            }
            (Action::Race, Subject::Domain(name)) => {
                self.spawn_race(index, name);
                return Ok(());
            }
            _ => self.set_stand_in_fault(fault, true).await?,
        }
        self.log.record_start(index);
        Ok(())
    }

    /// Undoes a fault; a change by an operator is only started, and logged once it is accepted.
    async fn end_fault(&mut self, fault_index: usize, fault: &Fault) -> Result<(), Error> {
        match (fault.action, &fault.subject) {
            (Action::Kill | Action::Stop, Subject::Process(name)) => {
                // If the stop is still in progress, the process is started again once it has
                // exited.
                let mut pending_stops = self.pending_stops.iter_mut();
                if let Some(stop) = pending_stops.find(|stop| stop.process == *name) {
                    stop.restart_after_exit = true;
                    return Ok(());
                }
                self.cluster.process(name)?.start()?;
            }
            (Action::Freeze, Subject::Process(name)) => {
                self.cluster.process(name)?.signal(Signal::Continue);
            }
            (Action::DomainOut, Subject::Domain(name)) => {
                self.spawn_domain_change(fault_index, name, DomainState::In, true);
                return Ok(());
            }
            (Action::Drain, Subject::Target(name)) => {
                self.spawn_drain_change(fault_index, name, false);
                return Ok(());
            }
            (Action::Restart | Action::DomainIn | Action::Race, _) => return Ok(()),
            _ => self.set_stand_in_fault(fault, false).await?,
        }
        self.log.record_end(fault_index);
        Ok(())
    }

    /// Requests a graceful stop of a process.
    fn request_stop(
        &mut self,
        fault_index: usize,
        name: &str,
        restart_after_exit: bool,
    ) -> Result<(), Error> {
        self.cluster.process(name)?.signal(Signal::Terminate);
        self.pending_stops.push(PendingStop {
            process: name.to_owned(),
            requested_at: Instant::now(),
            fault_index,
            restart_after_exit,
        });
        Ok(())
    }

    /// Records the graceful stops that are complete, and starts processes again where wanted.
    fn complete_stops(&mut self) {
        for stop in std::mem::take(&mut self.pending_stops) {
            let Ok(process) = self.cluster.process(&stop.process) else {
                continue;
            };
            let Some(status) = process.exit_status() else {
                self.pending_stops.push(stop);
                continue;
            };
            if !status.success() {
                let failure = format!("{}: {status}", stop.process);
                self.findings.stops_failed.push(failure);
            }
            let duration_ms =
                u64::try_from(stop.requested_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.findings.longest_stop_ms = self.findings.longest_stop_ms.max(duration_ms);
            if stop.restart_after_exit {
                match process.start() {
                    Ok(()) => self.log.record_end(stop.fault_index),
                    Err(error) => self.log.record_failure(stop.fault_index, &error),
                }
            }
        }
    }

    /// Records the processes that exited without a fault or graceful stop.
    fn detect_crashes(&mut self) {
        let stopping: Vec<&String> = self
            .pending_stops
            .iter()
            .map(|stop| &stop.process)
            .collect();
        let crashed = self
            .cluster
            .take_exited(|name| stopping.iter().any(|process| *process == name));
        for name in crashed {
            println!("           {name} ended unexpectedly");
            self.findings.crashed.push(name);
        }
    }

    /// Sets the state of a failure domain in the background.
    fn spawn_domain_change(
        &mut self,
        fault_index: usize,
        name: &str,
        state: DomainState,
        is_end: bool,
    ) {
        let operator = self.operator();
        let name = name.to_owned();
        let change = async move { operator.set_domain(&name, state).await };
        self.spawn_change(fault_index, is_end, change);
    }

    /// Starts or cancels the drain of a target in the background.
    fn spawn_drain_change(&mut self, fault_index: usize, name: &str, on: bool) {
        let operator = self.operator();
        let name = name.to_owned();
        let change = async move {
            if on {
                operator.drain(&name).await
            } else {
                operator.cancel_drain(&name).await
            }
        };
        self.spawn_change(fault_index, !on, change);
    }

    /// Makes a change as an operator in the background, since it may have to wait for the object
    /// API.
    fn spawn_change(
        &mut self,
        fault_index: usize,
        is_end: bool,
        change: impl Future<Output = Result<AcceptedWrite, Error>> + Send + 'static,
    ) {
        let log = self.log.clone();
        let accepted_writes = Arc::clone(&self.accepted_writes);
        self.tasks.spawn(async move {
            match change.await {
                Ok(write) if is_end => {
                    log.record_end(fault_index);
                    accepted_writes.lock().push(write);
                }
                Ok(write) => {
                    log.record_start(fault_index);
                    accepted_writes.lock().push(write);
                }
                Err(error) => log.record_failure(fault_index, &error),
            }
        });
    }

    /// Starts a race of operators for the record of a failure domain in the background.
    fn spawn_race(&mut self, fault_index: usize, name: &str) {
        let operator = self.operator();
        let name = name.to_owned();
        let log = self.log.clone();
        let race_lost = Arc::clone(&self.findings.race_lost);
        log.record_start(fault_index);
        self.tasks.spawn(async move {
            match operator.race(&name).await {
                Ok(lost) => *race_lost.lock() += lost,
                Err(error) => log.record_failure(fault_index, &error),
            }
            log.record_end(fault_index);
        });
    }

    /// Returns an operator for the object API of the cluster.
    fn operator(&self) -> Operator {
        Operator::new(self.cluster.network().object_api())
    }

    /// Turns a fault of a stand-in on or off.
    async fn set_stand_in_fault(&self, fault: &Fault, on: bool) -> Result<(), Error> {
        let network = self.cluster.network();
        match (fault.action, &fault.subject) {
            (Action::Cut, Subject::Flows(count)) if on => {
                let fault = fabric::Fault::ForgetOldest { count: *count };
                http_client::post_json(network.fabric_control(), FAULT_PATH, &fault).await
            }
            (Action::Cut, Subject::Process(process)) => {
                let process = self.cluster.ip_address(process)?;
                let fault = fabric::Fault::Cut { process, on };
                http_client::post_json(network.fabric_control(), FAULT_PATH, &fault).await
            }
            (Action::Cut, Subject::Link { service, process }) => {
                let fault = fabric::Fault::CutPair {
                    service: self.cluster.service_address(service)?,
                    process: self.cluster.ip_address(process)?,
                    on,
                };
                http_client::post_json(network.fabric_control(), FAULT_PATH, &fault).await
            }
            (Action::Cold, Subject::Target(target)) if on => {
                let control = self.backend_control_address(target)?;
                http_client::post_json(control, FAULT_PATH, &backend::Fault::Cold).await
            }
            (Action::Lie, Subject::Lie { target, lie }) => {
                let lie = if on { *lie } else { backend::FalseReport::None };
                let control = self.backend_control_address(target)?;
                http_client::post_json(control, FAULT_PATH, &backend::Fault::Lie { lie }).await
            }
            (Action::StoreRestore, Subject::AgeMs(age_ms)) => {
                let control = network.platform_control();
                if !on {
                    let fault = platform::Fault::Restore {
                        age_ms: *age_ms,
                        rewrite_after_ms: REWRITE_DELAY_MS,
                    };
                    http_client::post_json(control, FAULT_PATH, &fault).await?;
                }
                let outage = platform::Fault::Down { on };
                http_client::post_json(control, FAULT_PATH, &outage).await
            }
            (Action::StoreDown | Action::StoreSlow | Action::StoreLoseAnswers, subject) => {
                let fault = object_api_fault(fault.action, subject, on);
                http_client::post_json(network.platform_control(), FAULT_PATH, &fault).await
            }
            _ => Ok(()),
        }
    }

    /// Returns the control address of the backend server stand-in of a target.
    fn backend_control_address(&self, target: &str) -> Result<SocketAddr, Error> {
        let index = self.cluster.placement(target)?.index;
        Ok(self.cluster.network().backend_control(index))
    }

    /// Resumes paused processes and abandons changes that have not been accepted yet.
    async fn clean_up(&mut self) {
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

/// Returns the fault of the platform stand-in for an action on the object API.
fn object_api_fault(action: Action, subject: &Subject, on: bool) -> platform::Fault {
    match (action, subject) {
        (Action::StoreSlow, Subject::DelayMs(delay)) => platform::Fault::Slow {
            delay_ms: if on { *delay } else { 0 },
        },
        (Action::StoreLoseAnswers, Subject::Percent(percent)) => platform::Fault::LoseAnswers {
            percent: if on { *percent } else { 0 },
        },
        _ => platform::Fault::Down { on },
    }
}
