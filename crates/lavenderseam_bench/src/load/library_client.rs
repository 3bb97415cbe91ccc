//! Client of the load generator that uses lavenderseam's caller library.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use lavenderseam_caller::{Caller, Outcome, Settings};

use super::client::{Client, Feed, FeedEvent, FlowCounts, RequestError, Response, Session};
use crate::Error;

/// Opens sessions with the caller library.
#[derive(Clone, Debug)]
pub struct LibraryClient {
    server_name: String,
    root_file: PathBuf,
}

impl LibraryClient {
    /// Returns a client that connects to a server name and trusts the certificate in a file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidSetting`] if the certificate file is unusable.
    pub fn new(server_name: &str, root_file: &Path) -> Result<Self, Error> {
        let client = Self {
            server_name: server_name.to_owned(),
            root_file: root_file.to_owned(),
        };
        let settings = client.settings(SocketAddr::from(([127, 0, 0, 1], 1)));
        let caller = Caller::new(settings);
        caller.map_err(|error| Error::setting("root_file", error, "a usable certificate file"))?;
        Ok(client)
    }

    /// Returns the settings of a caller of a service.
    fn settings(&self, service: SocketAddr) -> Settings {
        Settings::new(service, &self.server_name, self.root_file.clone())
    }
}

impl Client for LibraryClient {
    type Session = Caller;

    fn open_session(&self, service: SocketAddr) -> Caller {
        match Caller::new(self.settings(service)) {
            Ok(caller) => caller,
            Err(error) => unreachable!("`new` checked the settings before: {error}"),
        }
    }
}

impl Session for Caller {
    type Feed = lavenderseam_caller::Feed;

    async fn get(&self, path: &str, deadline: Duration) -> Result<Response, RequestError> {
        convert_outcome(self.get_with_timeout(path, deadline).await)
    }

    async fn post(
        &self,
        path: &str,
        key: &str,
        body: Bytes,
        deadline: Duration,
    ) -> Result<Response, RequestError> {
        // With an invalid idempotency key, nothing is sent.
        let key = key.parse().map_err(|_| RequestError::NotExecuted)?;
        convert_outcome(self.post_once(path, &key, body, deadline).await)
    }

    fn open_feed(&self, path: &str) -> Self::Feed {
        Self::feed(self, path)
    }

    fn flow_counts(&self) -> FlowCounts {
        let statistics = self.statistics();
        FlowCounts {
            opened: statistics.flows_opened,
            failed: statistics.flows_failed,
            feeds_moved: statistics.feeds_reopened,
            retries: statistics.retries,
        }
    }

    fn broken_flow_addresses(&self) -> Vec<SocketAddr> {
        let broken = self.statistics().broken_flows;
        broken.into_iter().map(|flow| flow.local_address).collect()
    }
}

impl Feed for lavenderseam_caller::Feed {
    async fn next(&mut self, timeout: Duration) -> Result<FeedEvent, RequestError> {
        let event = Self::next(self, timeout)
            .await
            .map_err(|_| RequestError::Unknown)?;
        Ok(FeedEvent { data: event.data })
    }
}

/// Converts an outcome of the caller library to a result of the load generator.
fn convert_outcome(
    outcome: Outcome<lavenderseam_caller::Response>,
) -> Result<Response, RequestError> {
    match outcome {
        Outcome::Answered(answer) => Ok(Response {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        }),
        Outcome::Refused { .. } => Err(RequestError::NotExecuted),
        Outcome::Unknown(_) => Err(RequestError::Unknown),
    }
}
