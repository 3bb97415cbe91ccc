//! Waiting until a deployment serves.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use tokio::time::{Instant, sleep};

use super::{Deployment, Network};
use crate::standins::{REPORT_PATH, fabric, platform};
use crate::{Error, remote};

/// Time between two looks.
const POLL: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
struct Identity {
    kind: String,
    name: String,
}

/// Waits until the stand-ins answer at an address.
pub(crate) async fn answering(addresses: &[std::net::SocketAddr]) -> Result<(), Error> {
    let deadline = Instant::now() + Duration::from_secs(10);
    for address in addresses {
        while let Err(failure) = remote::read::<serde_json::Value>(*address, REPORT_PATH).await {
            if Instant::now() > deadline {
                return Err(failure);
            }
            sleep(POLL).await;
        }
    }
    Ok(())
}

/// Waits until all balancers and targets are announced and the fabric finds all balancers serving.
pub(crate) async fn announced(
    deployment: &Deployment,
    network: Network,
    limit: Duration,
) -> Result<(), Error> {
    let deadline = Instant::now() + limit;
    loop {
        let missing = missing(deployment, network).await?;
        if missing.is_empty() {
            return Ok(());
        }
        if Instant::now() > deadline {
            let names: Vec<String> = missing.into_iter().collect();
            return Err(Error::NotReady(names.join(", ")));
        }
        sleep(POLL).await;
    }
}

async fn missing(deployment: &Deployment, network: Network) -> Result<BTreeSet<String>, Error> {
    let mut missing = expected(deployment);
    let listing: platform::Listing<platform::Object> =
        remote::read(network.store(), "/v1/objects").await?;
    for object in listing.entries {
        if let Ok(Identity { kind, name }) = serde_json::from_value(object.document) {
            missing.remove(&format!("{kind}/{name}"));
        }
    }
    let fabric: fabric::Report = remote::read(network.fabric_control(), REPORT_PATH).await?;
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
