//! One run of an experiment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use super::configuration::Configuration;
use super::injector::{Findings, Injector};
use super::measure::{Seen, check};
use super::sample::Samples;
use super::traffic::{Daemon, Traffic};
use super::work::Work;
use super::{Log, Order};
use crate::launcher::{Cluster, Options, Programs, System};
use crate::load::{Callers, Client};
use crate::report::Outcome;
use crate::schedule::Experiment;
use crate::standins::{REPORT_PATH, fabric, now_ms, platform};
use crate::{Error, remote};

/// Tells the edits of the warm-up from those of the run.
const WARM_UP_SEED: u64 = 1 << 40;

/// One run of an experiment.
pub struct Runner {
    /// Name of the experiment.
    pub name: String,
    /// The experiment.
    pub experiment: Experiment,
    /// How the deployment is started; its seed is the run's.
    pub options: Options,
}

/// Counts of the stand-ins, for the difference between start and end.
struct Counts {
    fabric: fabric::Report,
    platform: platform::Report,
}

impl Runner {
    /// Runs the experiment with callers that use a client, which is made for the cluster.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the deployment can't be started or the stand-ins can't be asked.
    pub async fn run<C: Client + Clone>(
        &self,
        programs: &Programs,
        client: impl FnOnce(&Cluster) -> Result<C, Error>,
    ) -> Result<Outcome, Error> {
        let deployment = self.experiment.deployment.clone();
        println!("starting {} of {}", self.name, deployment.name);
        let mut cluster = Cluster::start(deployment, programs, &self.options).await?;
        let client = client(&cluster)?;
        let services = self.services(&cluster)?;
        self.warm_up(client.clone(), &services).await;
        let callers = Callers::new(client, self.options.seed);
        let before = Counts::read(&cluster).await?;
        let traffic = Traffic::new(daemons(&cluster)?, cluster.network().control_ports());
        let samples = Samples::new(cluster.network().fabric_control());
        let configuration = Configuration::new(cluster.daemons());
        let log = Log::new(&self.experiment.faults);
        let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
        let start = Instant::now();
        let start_ms = now_ms();
        let length = Duration::from_secs(self.experiment.seconds);
        println!("loading for {} s", self.experiment.seconds);
        let load = callers.run(&services, &self.experiment.load, length);
        let injector = Injector::new(&mut cluster, log.clone(), Arc::clone(&orders));
        let (findings, ()) = tokio::join!(injector.run(start, start + length), load);
        let end_ms = start_ms + 1_000 * self.experiment.seconds;
        let control = traffic.finish();
        let passed = samples.finish().await;
        let fabric = cluster.network().fabric_control();
        let owners = remote::read(fabric, fabric::OWNERS_PATH).await?;
        let orders = orders.lock().clone();
        let (config_in_force_ms, config_reverts) = configuration.finish(&orders).await;
        let mut outcome = self.outcome();
        outcome.config_in_force_ms = config_in_force_ms;
        outcome.config_reverts = config_reverts;
        let rate = |bytes: u64| bytes as f64 / self.experiment.seconds as f64;
        let rates = control.into_iter().map(|(name, bytes)| (name, rate(bytes)));
        outcome.control_bytes_per_second = rates.collect();
        let seen = Seen {
            cluster: &cluster,
            experiment: &self.experiment,
            start_ms,
            end_ms,
            tally: &callers.tally(),
            flows: &callers.flows(),
            work: &Work::read_all(&cluster, start_ms)?,
            applied: &log.entries(),
            owners: &owners,
            passed: &passed,
            work_ms: self.options.work_ms,
        };
        seen.measure(&mut outcome);
        findings.add_to(&mut outcome);
        let after = Counts::read(&cluster).await?;
        after.add_to(&mut outcome, &before, start.elapsed());
        outcome.expectations = check(&self.experiment.expectations, &outcome);
        Ok(outcome)
    }

    /// Loads the deployment with callers whose counts are dropped.
    async fn warm_up<C: Client>(&self, client: C, services: &[(String, SocketAddr)]) {
        let seconds = self.experiment.warm_up_seconds;
        if seconds == 0 {
            return;
        }
        println!("warming up for {seconds} s");
        let callers = Callers::new(client, self.options.seed ^ WARM_UP_SEED);
        let length = Duration::from_secs(seconds);
        callers.run(services, &self.experiment.load, length).await;
    }

    fn services(&self, cluster: &Cluster) -> Result<Vec<(String, SocketAddr)>, Error> {
        let groups = cluster.deployment().groups.iter();
        groups
            .map(|group| Ok((group.name.to_owned(), cluster.service(group.name)?)))
            .collect()
    }

    fn outcome(&self) -> Outcome {
        Outcome {
            experiment: self.name.clone(),
            about: self.experiment.about.clone(),
            deployment: self.experiment.deployment.name.to_owned(),
            system: match self.options.system {
                System::Lavenderseam => "lavenderseam".to_owned(),
                System::Hashing => "baseline hashing".to_owned(),
            },
            seed: self.options.seed,
            seconds: self.experiment.seconds,
            ..Outcome::default()
        }
    }
}

/// The daemons whose control traffic is counted.
fn daemons(cluster: &Cluster) -> Result<Vec<Daemon>, Error> {
    let running = cluster.processes().iter();
    running
        .filter(|process| cluster.is_daemon(process.name()))
        .map(|process| {
            Ok(Daemon {
                name: process.name().to_owned(),
                host: cluster.host(process.name())?,
                id: process.latest_id(),
            })
        })
        .collect()
}

impl Findings {
    fn add_to(self, outcome: &mut Outcome) {
        outcome.crashed = self.crashed;
        outcome.stops_failed = self.stops_failed;
        outcome.longest_stop_ms = self.longest_stop_ms;
        outcome.race_lost = *self.race_lost.lock() as u64;
    }
}

impl Counts {
    async fn read(cluster: &Cluster) -> Result<Self, Error> {
        let network = cluster.network();
        Ok(Self {
            fabric: remote::read(network.fabric_control(), REPORT_PATH).await?,
            platform: remote::read(network.store_control(), REPORT_PATH).await?,
        })
    }

    fn add_to(self, outcome: &mut Outcome, before: &Self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(1e-3);
        for (name, count) in self.fabric.to_balancers {
            let earlier = before.fabric.to_balancers.get(&name);
            let packets = count.packets - earlier.map_or(0, |earlier| earlier.packets);
            outcome.packets_to_balancers.insert(name, packets);
        }
        for (caller, bytes) in self.platform.bytes {
            let earlier = before.platform.bytes.get(&caller).copied().unwrap_or(0);
            let rate = (bytes - earlier) as f64 / seconds;
            outcome
                .store_bytes_per_second
                .insert(caller.to_string(), rate);
        }
        let calls: u64 = self.platform.calls.values().sum();
        let earlier: u64 = before.platform.calls.values().sum();
        outcome.store_calls_per_second = (calls - earlier) as f64 / seconds;
        outcome.store_throttled = self.platform.throttled - before.platform.throttled;
    }
}
