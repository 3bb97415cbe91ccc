//! Reads the certificate again without a restart.

use std::time::Duration;

use lavenderseam_quic::Endpoints;
use lavenderseam_telemetry::Log;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};

/// Time between two looks at the files.
const INTERVAL: Duration = Duration::from_secs(1);

const LOG: Log = Log::new("certificate");

/// Reads the certificate again on SIGHUP and whenever its files have changed.
pub(crate) async fn run(endpoints: &Endpoints) {
    let mut hangup = signal(SignalKind::hangup()).ok();
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut read = endpoints.certificate().modified();
    loop {
        tokio::select! {
            () = caught(&mut hangup) => {}
            _ = ticks.tick() => {
                if endpoints.certificate().modified() == read {
                    continue;
                }
            }
        }
        let modified = endpoints.certificate().modified();
        match endpoints.reload() {
            Ok(()) => {
                read = modified;
                LOG.info("has been read again");
            }
            // Files that are being written are looked at again at the next tick.
            Err(error) => LOG.warn(format_args!("stays as it was: {error}")),
        }
    }
}

async fn caught(hangup: &mut Option<Signal>) {
    if let Some(hangup) = hangup
        && hangup.recv().await.is_some()
    {
        return;
    }
    std::future::pending::<()>().await;
}
