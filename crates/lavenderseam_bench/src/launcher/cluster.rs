//! All processes of a deployment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rand::RngExt;
use serde::Serialize;

use super::credentials::Credentials;
use super::files::Files;
use super::{Deployment, Network, Placement, Process, Programs, readiness, records};
use crate::Error;
use crate::standins::platform;

/// Longest wait for a deployment to serve.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// What balances the flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum System {
    /// The balancers of lavenderseam.
    #[default]
    Lavenderseam,
    /// A baseline that does hashing alone; the balancers run beside it for their control part.
    Hashing,
}

/// How a deployment is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the stand-ins' choices.
    pub seed: u64,
    /// What balances the flows.
    pub system: System,
    /// Whether to start only the stand-ins.
    pub stand_ins_only: bool,
    /// Whether to keep the directory with settings and logs.
    pub keep_files: bool,
    /// Level of the daemons' logs.
    pub log_level: &'static str,
    /// Time that a cold backend server bears one request only, in milliseconds.
    pub cold_ms: u64,
    /// Time from then until it has all its slots, in milliseconds.
    pub ramp_ms: u64,
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            system: System::Lavenderseam,
            stand_ins_only: false,
            keep_files: false,
            log_level: "info",
            cold_ms: 1_500,
            ramp_ms: 5_000,
            work_ms: 40,
        }
    }
}

/// All processes of a deployment; dropping it ends them.
#[derive(Debug)]
pub struct Cluster {
    pub(super) deployment: Deployment,
    pub(super) network: Network,
    pub(super) placements: Vec<Placement>,
    processes: Vec<Process>,
    pub(super) credentials: Credentials,
    directory: Directory,
}

impl Cluster {
    /// Starts a deployment and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if a file can't be written, a process doesn't start or the deployment
    /// doesn't serve in time.
    pub async fn start(
        deployment: Deployment,
        programs: &Programs,
        options: &Options,
    ) -> Result<Self, Error> {
        let network = Network::free()?;
        let directory = Directory::new(options.keep_files)?;
        let credentials = Credentials::new(&directory.path)?;
        let placements = deployment.placements();
        let mut cluster = Self {
            deployment,
            network,
            placements,
            processes: Vec::new(),
            credentials,
            directory,
        };
        cluster.start_stand_ins(programs, options)?;
        readiness::answering(&cluster.controls()).await?;
        records::apply(&cluster.deployment, network).await?;
        if !options.stand_ins_only {
            cluster.start_daemons(programs, options)?;
            readiness::announced(&cluster.deployment, network, READY_LIMIT).await?;
        }
        Ok(cluster)
    }

    /// The deployment.
    #[must_use]
    pub const fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Its addresses.
    #[must_use]
    pub const fn network(&self) -> Network {
        self.network
    }

    /// Its targets.
    #[must_use]
    pub fn placements(&self) -> &[Placement] {
        &self.placements
    }

    /// Directory with settings and logs.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.directory.path
    }

    /// Keeps the directory with settings and logs.
    pub const fn keep_files(&mut self) {
        self.directory.keep = true;
    }

    /// File with the certificate that callers trust.
    #[must_use]
    pub fn certificate_file(&self) -> &Path {
        &self.credentials.certificate_file
    }

    /// File with the shared key.
    #[must_use]
    pub fn key_file(&self) -> &Path {
        &self.credentials.key_file
    }

    /// File with the journal of a target's backend server.
    #[must_use]
    pub fn journal(&self, placement: &Placement) -> PathBuf {
        let name = format!("{}.journal", placement.target);
        self.directory.path.join(name)
    }

    /// The processes, in the order of their start.
    #[must_use]
    pub fn processes(&self) -> &[Process] {
        &self.processes
    }

    /// The process of a name, such as `balancer-1`, `agent-trail-status-1` or `platform`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownProcess`].
    pub fn process(&mut self, name: &str) -> Result<&mut Process, Error> {
        let mut processes = self.processes.iter_mut();
        processes
            .find(|process| process.name() == name)
            .ok_or_else(|| Error::UnknownProcess(name.to_owned()))
    }

    /// Names of processes that have ended by themselves since the last call, but for those that
    /// are left to someone else.
    pub(crate) fn take_ended(&mut self, left: impl Fn(&str) -> bool) -> Vec<String> {
        let processes = self.processes.iter_mut();
        processes
            .filter(|process| !left(process.name()))
            .filter_map(|process| process.ended().map(|_| process.name().to_owned()))
            .collect()
    }

    fn start_stand_ins(&mut self, programs: &Programs, options: &Options) -> Result<(), Error> {
        let platform = platform::Settings {
            address: self.network.store(),
            control: self.network.store_control(),
            writes_per_second: 400,
            reads_per_second: 2_000,
            seed: options.seed,
        };
        self.start_stand_in("platform", "platform", programs, options, &platform)?;
        let fabric = self.fabric_settings(options);
        self.start_stand_in("fabric", "fabric", programs, options, &fabric)?;
        for placement in self.placements.clone() {
            let settings = self.backend_settings(&placement, options);
            let name = format!("backend-{}", placement.target);
            self.start_stand_in(&name, "backend", programs, options, &settings)?;
        }
        Ok(())
    }

    fn start_daemons(&mut self, programs: &Programs, options: &Options) -> Result<(), Error> {
        for index in 0..self.deployment.balancers {
            let settings = self.files(options).balancer(index)?;
            let name = match options.system {
                System::Lavenderseam => Deployment::balancer_name(index),
                System::Hashing => format!("control-{}", Deployment::balancer_name(index)),
            };
            self.start_process(&name, programs.balancer(), settings_arguments(&settings))?;
            if options.system == System::Hashing {
                let settings = self.hashing_settings(index);
                let name = Deployment::balancer_name(index);
                self.start_stand_in(&name, "hashing", programs, options, &settings)?;
            }
        }
        for placement in self.placements.clone() {
            let settings = self.files(options).agent(&placement)?;
            let name = format!("agent-{}", placement.target);
            self.start_process(&name, programs.agent(), settings_arguments(&settings))?;
        }
        Ok(())
    }

    fn start_stand_in(
        &mut self,
        name: &str,
        command: &str,
        programs: &Programs,
        options: &Options,
        settings: &impl Serialize,
    ) -> Result<(), Error> {
        let file = format!("{command}-{name}");
        let file = self.files(options).write(&file, settings)?;
        let mut arguments = vec![command.to_owned()];
        arguments.extend(settings_arguments(&file));
        self.start_process(name, programs.bench(), arguments)
    }

    fn start_process(
        &mut self,
        name: &str,
        program: PathBuf,
        arguments: Vec<String>,
    ) -> Result<(), Error> {
        let log = self.directory.path.join(format!("{name}.log"));
        let mut process = Process::new(name, program, arguments, log);
        process.start()?;
        self.processes.push(process);
        Ok(())
    }

    fn files(&self, options: &Options) -> Files<'_> {
        Files {
            directory: &self.directory.path,
            deployment: &self.deployment,
            network: self.network,
            credentials: &self.credentials,
            log_level: options.log_level,
        }
    }

    fn controls(&self) -> Vec<SocketAddr> {
        let mut controls = vec![self.network.store_control(), self.network.fabric_control()];
        let backends = self.placements.iter();
        controls.extend(backends.map(|target| self.network.backend_control(target.index)));
        controls
    }
}

/// A fresh directory that is removed when dropped, unless it is kept.
#[derive(Debug)]
struct Directory {
    path: PathBuf,
    keep: bool,
}

impl Directory {
    fn new(keep: bool) -> Result<Self, Error> {
        let number: u32 = rand::rng().random();
        let name = format!("lavenderseam-bench-{}-{number:08x}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).map_err(|cause| Error::file(&path, cause))?;
        Ok(Self { path, keep })
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        if !self.keep {
            // A directory that can't be removed is left to the system's own cleaning.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

fn settings_arguments(file: &Path) -> Vec<String> {
    vec!["--settings".to_owned(), file.display().to_string()]
}
