//! Starts and owns all processes of a deployment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rand::RngExt;
use serde::Serialize;

use super::credentials::Credentials;
use super::settings_writer::SettingsWriter;
use super::{Deployment, Network, Placement, Process, Programs, readiness, records};
use crate::Error;
use crate::stand_ins::platform;

/// Timeout for a deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Balancer implementation under test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum System {
    /// The balancers of lavenderseam.
    #[default]
    Lavenderseam,
    /// Baseline that uses hashing only. The balancers run beside it for the control plane.
    Hashing,
}

/// Options for starting a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the random choices of the stand-ins.
    pub seed: u64,
    /// Balancer implementation under test.
    pub system: System,
    /// `true` to start only the stand-ins.
    pub stand_ins_only: bool,
    /// `true` to keep the directory with settings and logs.
    pub keep_files: bool,
    /// Log level of the balancers and agents.
    pub log_level: &'static str,
    /// Time after a cold start during which a backend server is limited to one request, in
    /// milliseconds.
    pub cold_ms: u64,
    /// Time after that until all slots of a backend server are available, in milliseconds.
    pub ramp_ms: u64,
    /// Processing time of a request, in milliseconds.
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

/// A running deployment. Dropping it kills all its processes.
#[derive(Debug)]
pub struct Cluster {
    pub(super) deployment: Deployment,
    pub(super) network: Network,
    pub(super) placements: Vec<Placement>,
    processes: Vec<Process>,
    pub(super) credentials: Credentials,
    directory: TempDirectory,
}

impl Cluster {
    /// Starts a deployment and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if a file can't be written, a process can't be started or the deployment
    /// isn't ready in time.
    pub async fn start(
        deployment: Deployment,
        programs: &Programs,
        options: &Options,
    ) -> Result<Self, Error> {
        let network = Network::find_free()?;
        let directory = TempDirectory::new(options.keep_files)?;
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
        readiness::wait_for_stand_ins(&cluster.control_addresses()).await?;
        records::create_all(&cluster.deployment, network).await?;
        if !options.stand_ins_only {
            cluster.start_daemons(programs, options)?;
            readiness::wait_until_serving(&cluster.deployment, network, READY_TIMEOUT).await?;
        }
        Ok(cluster)
    }

    /// Returns the description of the deployment.
    #[must_use]
    pub const fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the addresses of the deployment.
    #[must_use]
    pub const fn network(&self) -> Network {
        self.network
    }

    /// Returns the targets of the deployment.
    #[must_use]
    pub fn placements(&self) -> &[Placement] {
        &self.placements
    }

    /// Returns the directory with settings and logs.
    #[must_use]
    pub fn files_directory(&self) -> &Path {
        &self.directory.path
    }

    /// Keeps the directory with settings and logs when the cluster is dropped.
    pub const fn keep_files(&mut self) {
        self.directory.keep = true;
    }

    /// Returns the path of the certificate that callers trust.
    #[must_use]
    pub fn certificate_file(&self) -> &Path {
        &self.credentials.certificate_file
    }

    /// Returns the path of the shared key.
    #[must_use]
    pub fn key_file(&self) -> &Path {
        &self.credentials.key_file
    }

    /// Returns the path of the journal of a target's backend server.
    #[must_use]
    pub fn journal_path(&self, placement: &Placement) -> PathBuf {
        let name = format!("{}.journal", placement.target);
        self.directory.path.join(name)
    }

    /// Returns the processes, in the order of their start.
    #[must_use]
    pub fn processes(&self) -> &[Process] {
        &self.processes
    }

    /// Returns the process with a name, such as `balancer-1`, `agent-trail-status-1` or `platform`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownProcess`] if no process has the name.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, Error> {
        let mut processes = self.processes.iter_mut();
        processes
            .find(|process| process.name() == name)
            .ok_or_else(|| Error::UnknownProcess(name.to_owned()))
    }

    /// Returns the names of processes that have exited since the last call, without those that
    /// `excluded` selects because other code supervises them.
    pub(crate) fn take_exited(&mut self, excluded: impl Fn(&str) -> bool) -> Vec<String> {
        let processes = self.processes.iter_mut();
        processes
            .filter(|process| !excluded(process.name()))
            .filter_map(|process| process.exit_status().map(|_| process.name().to_owned()))
            .collect()
    }

    fn start_stand_ins(&mut self, programs: &Programs, options: &Options) -> Result<(), Error> {
        let platform = platform::Settings {
            address: self.network.object_api(),
            control: self.network.platform_control(),
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
            let settings = self.settings_writer(options).balancer(index)?;
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
            let settings = self.settings_writer(options).agent(&placement)?;
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
        let file = self.settings_writer(options).write(&file, settings)?;
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

    fn settings_writer(&self, options: &Options) -> SettingsWriter<'_> {
        SettingsWriter {
            directory: &self.directory.path,
            deployment: &self.deployment,
            network: self.network,
            credentials: &self.credentials,
            log_level: options.log_level,
        }
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        let mut control_addresses = vec![
            self.network.platform_control(),
            self.network.fabric_control(),
        ];
        let backends = self.placements.iter();
        control_addresses.extend(backends.map(|target| self.network.backend_control(target.index)));
        control_addresses
    }
}

/// A new temporary directory that is removed on drop, unless `keep` is set.
#[derive(Debug)]
struct TempDirectory {
    path: PathBuf,
    keep: bool,
}

impl TempDirectory {
    fn new(keep: bool) -> Result<Self, Error> {
        let number: u32 = rand::rng().random();
        let name = format!("lavenderseam-bench-{}-{number:08x}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).map_err(|source| Error::file(&path, source))?;
        Ok(Self { path, keep })
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        if !self.keep {
            // A directory that can't be removed is left to the cleanup of the system.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

fn settings_arguments(file: &Path) -> Vec<String> {
    vec!["--settings".to_owned(), file.display().to_string()]
}
