//! Looks at the fabric now and then during a run.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::remote;
use crate::standins::{REPORT_PATH, fabric};

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(100);

/// When packets from each agent have passed, by its address; in milliseconds since the epoch.
type Passed = BTreeMap<IpAddr, Vec<u64>>;

/// Samples of the fabric's counts.
pub(crate) struct Samples {
    passed: Arc<Mutex<Passed>>,
    tasks: JoinSet<()>,
}

impl Samples {
    pub(crate) fn new(fabric: SocketAddr) -> Self {
        let passed = Arc::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(follow(fabric, Arc::clone(&passed)));
        Self { passed, tasks }
    }

    /// Ends and returns when packets from each agent have passed.
    pub(crate) async fn finish(mut self) -> Passed {
        self.tasks.shutdown().await;
        std::mem::take(&mut *self.passed.lock())
    }
}

async fn follow(fabric: SocketAddr, passed: Arc<Mutex<Passed>>) {
    loop {
        if let Ok(report) = remote::read::<fabric::Report>(fabric, REPORT_PATH).await {
            let mut passed = passed.lock();
            for (agent, count) in report.from_agents {
                let times = passed.entry(agent).or_default();
                if times.last() != Some(&count.last_ms) {
                    times.push(count.last_ms);
                }
            }
        }
        sleep(INTERVAL).await;
    }
}
