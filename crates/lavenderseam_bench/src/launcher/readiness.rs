//! Waits until a deployment is ready.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use tokio::time::{Instant, sleep};

use super::{Deployment, Network};
use crate::stand_ins::{REPORT_PATH, fabric, platform};
use crate::{Error, http_client};

/// Time between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Fields of a document that identify it.
#[derive(Deserialize)]
struct DocumentIdentity {
    kind: String,
    name: String,
}

/// Waits until the stand-ins answer at all control addresses.
pub(crate) async fn wait_for_stand_ins(addresses: &[std::net::SocketAddr]) -> Result<(), Error> {
    let deadline = Instant::now() + Duration::from_secs(10);
    for address in addresses {
        while let Err(error) =
            http_client::get_json::<serde_json::Value>(*address, REPORT_PATH).await
        {
            if Instant::now() > deadline {
                return Err(error);
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Waits until all balancers and targets have announced themselves and the fabric reports all
/// balancers as serving.
pub(crate) async fn wait_until_serving(
    deployment: &Deployment,
    network: Network,
    timeout: Duration,
) -> Result<(), Error> {
    let deadline = Instant::now() + timeout;
    loop {
        let missing = not_ready(deployment, network).await?;
        if missing.is_empty() {
            return Ok(());
        }
        if Instant::now() > deadline {
            let names: Vec<String> = missing.into_iter().collect();
            return Err(Error::DeploymentNotReady(names.join(", ")));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn not_ready(deployment: &Deployment, network: Network) -> Result<BTreeSet<String>, Error> {
    let mut missing = expected(deployment);
    let listing: platform::Listing<platform::Object> =
        http_client::get_json(network.object_api(), "/v1/objects").await?;
    for object in listing.entries {
        if let Ok(DocumentIdentity { kind, name }) = serde_json::from_value(object.document) {
            missing.remove(&format!("{kind}/{name}"));
        }
    }
    let fabric: fabric::Report =
        http_client::get_json(network.fabric_control(), REPORT_PATH).await?;
    for name in fabric.serving {
        missing.remove(&format!("serving {name}"));
    }
    Ok(missing)
}

fn expected(deployment: &Deployment) -> BTreeSet<String> {
    let targets = deployment.placements().into_iter();
    let mut expected: BTreeSet<String> = targets
        .map(|target| format!("Target/{}", target.target))
        .collect();
    for index in 0..deployment.balancers {
        let name = Deployment::balancer_name(index);
        expected.insert(format!("Balancer/{name}"));
        expected.insert(format!("serving {name}"));
    }
    expected
}
