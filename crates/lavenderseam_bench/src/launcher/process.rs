//! Handle to one process of a deployment.

use std::fs::File;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

use crate::Error;

/// Time between two checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Requests a graceful stop (`SIGTERM`).
    Terminate,
    /// Pauses the process (`SIGSTOP`).
    Stop,
    /// Resumes a paused process (`SIGCONT`).
    Continue,
}

/// A process of a deployment; dropping the handle kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    shared_id: Arc<Mutex<Option<u32>>>,
}

impl Process {
    /// Creates the handle of a process without starting it. Its output is appended to `log`.
    #[must_use]
    pub fn new(name: &str, program: PathBuf, arguments: Vec<String>, log: PathBuf) -> Self {
        Self {
            name: name.to_owned(),
            program,
            arguments,
            log,
            child: None,
            shared_id: Arc::default(),
        }
    }

    /// Returns the name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id, or `None` if the process isn't started or its exit was observed.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns a shared cell with the process id of the latest start, for observers that outlast a
    /// restart.
    #[must_use]
    pub(crate) fn shared_pid(&self) -> Arc<Mutex<Option<u32>>> {
        Arc::clone(&self.shared_id)
    }

    /// Starts the process; kills it first if it runs.
    ///
    /// # Errors
    ///
    /// Returns [`Error::SpawnProcess`] if the program can't be started and [`Error::File`] if the
    /// log can't be opened.
    pub fn start(&mut self) -> Result<(), Error> {
        self.kill();
        let start_error = |source| Error::SpawnProcess {
            process: self.name.clone(),
            source,
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|source| Error::file(&self.log, source))?;
        let output = log.try_clone().map_err(start_error)?;
        let mut command = Command::new(&self.program);
        command
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log);
        kill_with_parent(&mut command);
        let child = command.spawn().map_err(start_error)?;
        *self.shared_id.lock() = Some(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let number = match signal {
            Signal::Terminate => libc::SIGTERM,
            Signal::Stop => libc::SIGSTOP,
            Signal::Continue => libc::SIGCONT,
        };
        let id = self.pid().and_then(|id| libc::pid_t::try_from(id).ok());
        if let Some(id) = id {
            // SAFETY: `kill` takes no pointers. The child has not been waited for, so its id can't
            // have been reused.
            unsafe { libc::kill(id, number) };
        }
    }

    /// Kills the process, if it runs, and waits for it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already; waiting releases its id in either case.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the exit status if the process has exited since it was started.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Waits until the process exits; returns `None` if it still runs after `timeout`. A process
    /// that has no child counts as exited with status 0.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.child.is_none() {
                return Some(ExitStatus::from_raw(0));
            }
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes the kernel kill the process when the bench exits, even if the bench is killed.
fn kill_with_parent(command: &mut Command) {
    let parent = std::process::id();
    let set_death_signal = move || {
        // SAFETY: `prctl` with `PR_SET_PDEATHSIG` and `getppid` take no pointers.
        let (result, current_parent) = unsafe {
            let result = libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            (result, libc::getppid())
        };
        // If the parent exited before `prctl`, the kernel sends no signal.
        if result != 0 || u32::try_from(current_parent) != Ok(parent) {
            return Err(std::io::Error::last_os_error());
        }
        Ok(())
    };
    // SAFETY: the closure calls only functions that are safe between `fork` and `exec`.
    unsafe { command.pre_exec(set_death_signal) };
}
