//! The load's client over lavenderseam's caller library.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use lavenderseam_caller::{Caller, Outcome, Settings};

use super::client::{Answer, Client, Event, Failure, Feed, FlowCounts, Session};
use crate::Error;

/// Opens sessions by the caller library.
#[derive(Clone, Debug)]
pub struct Library {
    server_name: String,
    root_file: PathBuf,
}

impl Library {
    /// A client that trusts a certificate for a server name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Setting`] if the certificate can't be used.
    pub fn new(server_name: &str, root_file: &Path) -> Result<Self, Error> {
        let client = Self {
            server_name: server_name.to_owned(),
            root_file: root_file.to_owned(),
        };
        let probe = client.settings(SocketAddr::from(([127, 0, 0, 1], 1)));
        let checked = Caller::new(probe);
        checked.map_err(|cause| Error::setting("root_file", cause, "a usable certificate"))?;
        Ok(client)
    }

    fn settings(&self, service: SocketAddr) -> Settings {
        Settings::new(service, &self.server_name, self.root_file.clone())
    }
}

impl Client for Library {
    type Session = Caller;

    fn open(&self, service: SocketAddr) -> Caller {
        match Caller::new(self.settings(service)) {
            Ok(caller) => caller,
            Err(cause) => unreachable!("the settings were checked before: {cause}"),
        }
    }
}

impl Session for Caller {
    type Feed = lavenderseam_caller::Feed;

    async fn get(&self, path: &str, deadline: Duration) -> Result<Answer, Failure> {
        answer(self.get_within(path, deadline).await)
    }

    async fn post(
        &self,
        path: &str,
        key: &str,
        body: Bytes,
        deadline: Duration,
    ) -> Result<Answer, Failure> {
        // A key that can't be used sends nothing.
        let key = key.parse().map_err(|_| Failure::NotRun)?;
        answer(self.edit(path, &key, body, deadline).await)
    }

    fn feed(&self, path: &str) -> Self::Feed {
        Self::feed(self, path)
    }

    fn flows(&self) -> FlowCounts {
        let statistics = self.statistics();
        FlowCounts {
            opened: statistics.opened,
            failed: statistics.failed,
            feeds_moved: statistics.feeds_moved,
            retries: statistics.retries,
        }
    }

    fn broken(&self) -> Vec<SocketAddr> {
        let broken = self.statistics().broken;
        broken.into_iter().map(|broken| broken.local).collect()
    }
}

impl Feed for lavenderseam_caller::Feed {
    async fn next(&mut self, time: Duration) -> Result<Event, Failure> {
        let event = Self::next(self, time).await.map_err(|_| Failure::Unknown)?;
        Ok(Event { data: event.data })
    }
}

fn answer(outcome: Outcome<lavenderseam_caller::Answer>) -> Result<Answer, Failure> {
    match outcome {
        Outcome::Answered(answer) => Ok(Answer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        }),
        Outcome::Refused { .. } => Err(Failure::NotRun),
        Outcome::Unknown(_) => Err(Failure::Unknown),
    }
}
