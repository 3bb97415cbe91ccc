//! One process of a deployment.

use std::fs::File;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

use crate::Error;

/// Time between two looks whether a process has ended.
const POLL: Duration = Duration::from_millis(10);

/// A signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Planned stop.
    Terminate,
    /// Pauses.
    Stop,
    /// Goes on after a pause.
    Continue,
}

/// One process, which ends when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    id: Arc<Mutex<Option<u32>>>,
}

impl Process {
    /// A process that isn't started yet; `log` takes what it writes.
    #[must_use]
    pub fn new(name: &str, program: PathBuf, arguments: Vec<String>, log: PathBuf) -> Self {
        Self {
            name: name.to_owned(),
            program,
            arguments,
            log,
            child: None,
            id: Arc::default(),
        }
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Its process id at the latest start, for those who watch it while it is started again.
    #[must_use]
    pub(crate) fn latest_id(&self) -> Arc<Mutex<Option<u32>>> {
        Arc::clone(&self.id)
    }

    /// Starts it, or starts it again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if the program can't be started.
    pub fn start(&mut self) -> Result<(), Error> {
        self.kill();
        let failed = |cause| Error::Start {
            process: self.name.clone(),
            cause,
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|cause| Error::file(&self.log, cause))?;
        let output = log.try_clone().map_err(failed)?;
        let mut command = Command::new(&self.program);
        command
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log);
        die_with_parent(&mut command);
        let child = command.spawn().map_err(failed)?;
        *self.id.lock() = Some(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to it, if it runs.
    pub fn signal(&self, signal: Signal) {
        let number = match signal {
            Signal::Terminate => libc::SIGTERM,
            Signal::Stop => libc::SIGSTOP,
            Signal::Continue => libc::SIGCONT,
        };
        let id = self.id().and_then(|id| libc::pid_t::try_from(id).ok());
        if let Some(id) = id {
            // SAFETY: `kill` takes no pointers. The child has not been waited for, so the id is
            // still its own.
            unsafe { libc::kill(id, number) };
        }
    }

    /// Kills it, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself; waiting releases its id in either case.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Its exit status if it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Waits for it to end by itself; none if it still runs at the limit.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.child.is_none() {
                return Some(ExitStatus::from_raw(0));
            }
            if let Some(status) = self.ended() {
                return Some(status);
            }
            sleep(POLL).await;
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Has the kernel kill the process when the bench ends, however that happens.
fn die_with_parent(command: &mut Command) {
    let parent = std::process::id();
    let prepare = move || {
        // SAFETY: `prctl` with `PR_SET_PDEATHSIG` and `getppid` take no pointers.
        let (result, present) = unsafe {
            let result = libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            (result, libc::getppid())
        };
        // A parent that ended before the call can no longer be waited for.
        if result != 0 || u32::try_from(present) != Ok(parent) {
            return Err(std::io::Error::last_os_error());
        }
        Ok(())
    };
    // SAFETY: the closure calls only functions that are safe between `fork` and `exec`.
    unsafe { command.pre_exec(prepare) };
}
