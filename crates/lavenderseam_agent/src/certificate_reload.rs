//! Reloads the TLS certificate without a restart.

use std::time::Duration;

use lavenderseam_quic::ServiceEndpoints;
use lavenderseam_telemetry::Log;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};

/// Time between two checks of the files' modification times.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

const LOG: Log = Log::new("certificate");

/// Reloads the certificate on SIGHUP and whenever the modification time of its files changes.
pub(crate) async fn reload_on_change(endpoints: &ServiceEndpoints) {
    let mut hangup = signal(SignalKind::hangup()).ok();
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut loaded_modified = endpoints.certificate().modification_times();
    loop {
        tokio::select! {
            () = wait_for_hangup(&mut hangup) => {}
            _ = ticks.tick() => {
                if endpoints.certificate().modification_times() == loaded_modified {
                    continue;
                }
            }
        }
        let modified = endpoints.certificate().modification_times();
        match endpoints.reload_certificate() {
            Ok(()) => {
                loaded_modified = modified;
                LOG.info("reloaded from its files");
            }
            // The files may be incomplete while they are written; the next tick tries again.
            Err(error) => LOG.warn(format_args!(
                "reload failed, the certificate in use stays as it was: {error}"
            )),
        }
    }
}

/// Resolves on SIGHUP; never if the signal handler couldn't be installed.
async fn wait_for_hangup(hangup: &mut Option<Signal>) {
    if let Some(hangup) = hangup
        && hangup.recv().await.is_some()
    {
        return;
    }
    std::future::pending::<()>().await;
}
