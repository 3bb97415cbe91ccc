//! Records that the operators of a deployment write.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use lavenderseam_core::id;
use lavenderseam_core::record::{self, Document, DomainState, Kind, Record, Schema, Slots};

use super::{Deployment, Network};
use crate::{Error, http_client};

/// Maximum time that a drain waits for open requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Creates the records of a deployment in the object API.
pub(crate) async fn create_all(deployment: &Deployment, network: Network) -> Result<(), Error> {
    for document in documents(deployment, network)? {
        create(network.object_api(), &document).await?;
    }
    Ok(())
}

fn documents(deployment: &Deployment, network: Network) -> Result<Vec<Document>, Error> {
    let mut documents = Vec::new();
    for domain in deployment.domains {
        let record = record::Domain {
            state: DomainState::In,
            reason: None,
        };
        documents.push(document(domain, &record));
    }
    for (index, group) in deployment.groups.iter().enumerate() {
        let record = record::Group {
            slots: Slots(group.slots),
            connections: u32::try_from(group.connections).unwrap_or(u32::MAX),
            cold_slots: Slots(1),
            drain_timeout: DRAIN_TIMEOUT,
        };
        documents.push(document(group.name, &record));
        let name = id::Group::new(group.name);
        let record = record::Service {
            addresses: vec![network.service(index)],
            group: name.map_err(|source| Error::setting("group", group.name, source))?,
        };
        documents.push(document(group.name, &record));
    }
    Ok(documents)
}

fn document<R: Record>(name: &str, record: &R) -> Document {
    let schema = match R::KIND {
        Kind::Service => Schema(1),
        _ => Schema(2),
    };
    let mut document = Document::new(R::KIND, name, schema);
    record.write(&mut document);
    document
}

async fn create(store: SocketAddr, document: &Document) -> Result<(), Error> {
    let path = format!("/v1/objects/{}/{}", document.kind, document.name);
    let body = serde_json::to_vec(document).map_err(|source| Error::http(store, &path, source))?;
    let headers = [("if-none-match", "*"), ("content-type", "application/json")];
    let answer =
        http_client::send_request(Method::PUT, store, &path, &headers, Bytes::from(body)).await?;
    if answer.status != StatusCode::OK {
        return Err(Error::http(store, &path, answer.status));
    }
    Ok(())
}
