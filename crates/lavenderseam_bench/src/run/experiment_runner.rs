//! Runs one experiment and collects its report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use super::backend_work::BackendWork;
use super::configuration_monitor::ConfigurationMonitor;
use super::fabric_sampler::FabricSampler;
use super::fault_injector::{FaultInjector, Findings};
use super::observations::{RunObservations, evaluate_expectations};
use super::traffic_monitor::{MonitoredDaemon, TrafficMonitor};
use super::{AcceptedWrite, FaultLog};
use crate::launcher::{Cluster, Options, Programs, System};
use crate::load::{Client, LoadRunner};
use crate::report::RunReport;
use crate::schedule::Experiment;
use crate::stand_ins::{REPORT_PATH, fabric, platform, unix_time_ms};
use crate::{Error, http_client};

/// Bit that is flipped in the seed for the warm-up, so that the ids of its edits differ from those
/// of the run.
const WARM_UP_SEED_BIT: u64 = 1 << 40;

/// An experiment that is ready to run.
pub struct ExperimentRunner {
    /// Name of the experiment in the report.
    pub name: String,
    /// Experiment to run.
    pub experiment: Experiment,
    /// Options for the start of the deployment; their seed also determines the load.
    pub options: Options,
}

/// Counts of the stand-ins at one time; the report holds the difference between the start and the
/// end of the run.
struct StandInCounts {
    fabric: fabric::Report,
    platform: platform::Report,
}

impl ExperimentRunner {
    /// Runs the experiment and returns its report. `client` makes the client of the callers from
    /// the started cluster.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the deployment can't be started or a stand-in doesn't respond.
    pub async fn run<C: Client + Clone>(
        &self,
        programs: &Programs,
        client: impl FnOnce(&Cluster) -> Result<C, Error>,
    ) -> Result<RunReport, Error> {
        let deployment = self.experiment.deployment.clone();
        println!("starting {} of {}", self.name, deployment.name);
        let mut cluster = Cluster::start(deployment, programs, &self.options).await?;
        let client = client(&cluster)?;
        let services = self.services(&cluster)?;
        self.warm_up(client.clone(), &services).await;
        let load_runner = LoadRunner::new(client, self.options.seed);
        let before = StandInCounts::read(&cluster).await?;
        let traffic_monitor = TrafficMonitor::new(
            monitored_daemons(&cluster)?,
            cluster.network().control_plane_ports(),
        );
        let fabric_sampler = FabricSampler::new(cluster.network().fabric_control());
        let configuration_monitor = ConfigurationMonitor::new(cluster.daemon_rpc_addresses());
        let log = FaultLog::new(&self.experiment.faults);
        let accepted_writes: Arc<Mutex<Vec<AcceptedWrite>>> = Arc::default();
        let start = Instant::now();
        let start_ms = unix_time_ms();
        let length = Duration::from_secs(self.experiment.seconds);
        println!("applying load for {} s", self.experiment.seconds);
        let load = load_runner.run(&services, &self.experiment.load, length);
        let injector = FaultInjector::new(&mut cluster, log.clone(), Arc::clone(&accepted_writes));
        let (findings, ()) = tokio::join!(injector.run(start, start + length), load);
        let end_ms = start_ms + 1_000 * self.experiment.seconds;
        let control_bytes = traffic_monitor.finish();
        let agent_packet_times = fabric_sampler.finish().await;
        let fabric = cluster.network().fabric_control();
        let flow_owners = http_client::get_json(fabric, fabric::OWNERS_PATH).await?;
        let writes = accepted_writes.lock().clone();
        let after = StandInCounts::read(&cluster).await?;
        let restored = &after.platform.restored_revisions;
        let (config_in_force_ms, config_reverts) =
            configuration_monitor.finish(&writes, restored).await;
        let mut report = self.new_report();
        report.config_in_force_ms = config_in_force_ms;
        report.config_reverts = config_reverts;
        let rate = |bytes: u64| bytes as f64 / self.experiment.seconds as f64;
        let rates = control_bytes
            .into_iter()
            .map(|(name, bytes)| (name, rate(bytes)));
        report.control_bytes_per_second = rates.collect();
        let observations = RunObservations {
            cluster: &cluster,
            experiment: &self.experiment,
            start_ms,
            end_ms,
            statistics: &load_runner.statistics(),
            flow_tracker: &load_runner.flow_tracker(),
            backend_work: &BackendWork::read_all(&cluster, start_ms)?,
            faults: &log.entries(),
            flow_owners: &flow_owners,
            agent_packet_times: &agent_packet_times,
            request_work_ms: self.options.work_ms,
        };
        observations.fill_report(&mut report);
        findings.add_to(&mut report);
        after.add_to(&mut report, &before, start.elapsed());
        report.expectations = evaluate_expectations(&self.experiment.expectations, &report);
        Ok(report)
    }

    /// Puts load on the deployment before the run, with callers whose counts are discarded.
    async fn warm_up<C: Client>(&self, client: C, services: &[(String, SocketAddr)]) {
        let seconds = self.experiment.warm_up_seconds;
        if seconds == 0 {
            return;
        }
        println!("warming up for {seconds} s");
        let load_runner = LoadRunner::new(client, self.options.seed ^ WARM_UP_SEED_BIT);
        let length = Duration::from_secs(seconds);
        load_runner
            .run(services, &self.experiment.load, length)
            .await;
    }

    /// Returns the name and address of each service.
    fn services(&self, cluster: &Cluster) -> Result<Vec<(String, SocketAddr)>, Error> {
        let groups = cluster.deployment().groups.iter();
        groups
            .map(|group| Ok((group.name.to_owned(), cluster.service_address(group.name)?)))
            .collect()
    }

    /// Returns a report without measures.
    fn new_report(&self) -> RunReport {
        RunReport {
            experiment: self.name.clone(),
            about: self.experiment.about.clone(),
            deployment: self.experiment.deployment.name.to_owned(),
            system: match self.options.system {
                System::Lavenderseam => "lavenderseam".to_owned(),
                System::Hashing => "baseline hashing".to_owned(),
            },
            seed: self.options.seed,
            seconds: self.experiment.seconds,
            ..RunReport::default()
        }
    }
}

/// Returns the daemons whose control traffic is counted.
fn monitored_daemons(cluster: &Cluster) -> Result<Vec<MonitoredDaemon>, Error> {
    let processes = cluster.processes().iter();
    processes
        .filter(|process| cluster.is_daemon(process.name()))
        .map(|process| {
            Ok(MonitoredDaemon {
                name: process.name().to_owned(),
                host: cluster.ip_address(process.name())?,
                process_id: process.shared_pid(),
            })
        })
        .collect()
}

impl Findings {
    /// Copies the findings to the report.
    fn add_to(self, report: &mut RunReport) {
        report.crashed = self.crashed;
        report.stops_failed = self.stops_failed;
        report.longest_stop_ms = self.longest_stop_ms;
        report.race_lost = *self.race_lost.lock() as u64;
    }
}

impl StandInCounts {
    /// Reads the current counts of the fabric and platform stand-ins.
    async fn read(cluster: &Cluster) -> Result<Self, Error> {
        let network = cluster.network();
        Ok(Self {
            fabric: http_client::get_json(network.fabric_control(), REPORT_PATH).await?,
            platform: http_client::get_json(network.platform_control(), REPORT_PATH).await?,
        })
    }

    /// Adds the difference to earlier counts to the report.
    fn add_to(self, report: &mut RunReport, before: &Self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(1e-3);
        for (name, count) in self.fabric.to_balancers {
            let earlier = before.fabric.to_balancers.get(&name);
            let packets = count.packets - earlier.map_or(0, |earlier| earlier.packets);
            report.packets_to_balancers.insert(name, packets);
        }
        for (caller, bytes) in self.platform.bytes {
            let earlier = before.platform.bytes.get(&caller).copied().unwrap_or(0);
            let rate = (bytes - earlier) as f64 / seconds;
            report
                .store_bytes_per_second
                .insert(caller.to_string(), rate);
        }
        let calls: u64 = self.platform.calls.values().sum();
        let earlier: u64 = before.platform.calls.values().sum();
        report.store_calls_per_second = (calls - earlier) as f64 / seconds;
        report.store_throttled = self.platform.throttled - before.platform.throttled;
    }
}
