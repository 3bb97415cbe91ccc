//! Samples the packet counts of the fabric during a run.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::http_client;
use crate::stand_ins::{REPORT_PATH, fabric};

/// Interval at which the fabric's counts are queried.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Times at which packets from each agent passed the fabric, by IP address of the agent; in
/// milliseconds since the epoch.
type PacketTimes = BTreeMap<IpAddr, Vec<u64>>;

/// Samples the packet counts of the fabric in a background task.
pub(crate) struct FabricSampler {
    packet_times: Arc<Mutex<PacketTimes>>,
    tasks: JoinSet<()>,
}

impl FabricSampler {
    /// Starts to sample the fabric, given its control address.
    pub(crate) fn new(fabric: SocketAddr) -> Self {
        let packet_times = Arc::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(sample_fabric(fabric, Arc::clone(&packet_times)));
        Self {
            packet_times,
            tasks,
        }
    }

    /// Stops the sampler and returns the times at which packets from each agent passed the fabric.
    pub(crate) async fn finish(mut self) -> PacketTimes {
        self.tasks.shutdown().await;
        std::mem::take(&mut *self.packet_times.lock())
    }
}

/// Records the time of the latest packet from each agent at every sample.
async fn sample_fabric(fabric: SocketAddr, packet_times: Arc<Mutex<PacketTimes>>) {
    loop {
        if let Ok(report) = http_client::get_json::<fabric::Report>(fabric, REPORT_PATH).await {
            let mut packet_times = packet_times.lock();
            for (agent, count) in report.from_agents {
                let times = packet_times.entry(agent).or_default();
                if times.last() != Some(&count.last_ms) {
                    times.push(count.last_ms);
                }
            }
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}
