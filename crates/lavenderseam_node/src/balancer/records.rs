//! Records: taken from their source or from another balancer, and given to others.

use std::fmt::Display;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ::http::StatusCode;
use lavenderseam_passthrough::desired::{Desired, Outs, Roster};
use lavenderseam_passthrough::message::Known;
use serde::{Deserialize, Serialize};

use super::Handle;
use super::work::Work;
use crate::codec::Codec;
use crate::http::{self, Answer, Request, Service};
use crate::log::{Change, Event};

/// Path of the records for other balancers.
const PATH: &str = "/records";
/// Longest wait for another balancer's records.
const FETCH_LIMIT: Duration = Duration::from_secs(1);

/// What one balancer gives another.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    /// The desired state, if it holds one.
    pub desired: Option<Desired>,
    /// The failure domains that are out.
    pub outs: Outs,
    /// The targets that it knows.
    #[serde(default)]
    pub targets: Vec<Known>,
}

/// Where a record came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another balancer.
    Peer,
}

/// Gives records to other balancers.
pub(crate) struct Server<C>(pub(crate) Rc<Work<C>>);

impl<C: Codec> Service for Server<C> {
    fn answer(&self, request: &Request) -> Answer {
        if request.path != PATH {
            return Answer::empty(StatusCode::NOT_FOUND);
        }
        let balancer = self.0.balancer.borrow();
        let records = Records {
            desired: balancer.desired().cloned(),
            outs: balancer.outs().clone(),
            targets: balancer.known(self.0.process.clock.now()),
        };
        match serde_json::to_vec(&records) {
            Ok(body) => Answer::json(StatusCode::OK, body),
            Err(_) => Answer::empty(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

/// Asks another balancer for its records.
pub(crate) async fn fetch<C: Codec>(work: &Work<C>, rpc: SocketAddrV4) {
    let called = http::call(rpc, Request::get(PATH), FETCH_LIMIT).await;
    let error = match called {
        Ok((StatusCode::OK, body)) => match serde_json::from_slice::<Records>(&body) {
            Ok(records) => {
                if let Some(desired) = records.desired {
                    work.desire(desired, Source::Peer);
                }
                work.take_outs(records.outs, Source::Peer);
                let now = work.process.clock.now();
                work.balancer.borrow_mut().merge(&records.targets, now);
                return;
            }
            Err(error) => error.to_string(),
        },
        Ok((status, _)) => status.to_string(),
        Err(error) => error.to_string(),
    };
    work.process.log(&Event::Malformed {
        source: "balancer",
        error: format!("records of {rpc}: {error}"),
    });
}

impl<C: Codec> Work<C> {
    fn desire(&self, desired: Desired, source: Source) {
        let (revision, version) = (desired.revision, desired.version);
        let routes = desired.routes.len();
        let services = desired.services.clone();
        if self.balancer.borrow_mut().desire(desired) {
            self.process.log(&Event::Desired {
                revision,
                version,
                routes,
                services,
                source: source.name(),
            });
            self.observe();
        }
    }

    fn take_outs(&self, outs: Outs, source: Source) {
        let revision = outs.revision;
        let domains = outs.domains.iter().cloned().collect();
        // A later list of the same failure domains is newer and changes nothing.
        let changes = self.balancer.borrow().outs().domains != outs.domains;
        if self.balancer.borrow_mut().take_outs(outs) && changes {
            self.process.log(&Event::Outs {
                revision,
                domains,
                source: source.name(),
            });
        }
    }
}

impl<C: Codec> Handle<C> {
    /// Takes a desired state of the store.
    pub fn desire(&self, desired: Desired) {
        self.work.desire(desired, Source::Store);
    }

    /// Takes the failure domains that are out, as the store has them.
    pub fn take_outs(&self, outs: Outs) {
        self.work.take_outs(outs, Source::Store);
    }

    /// Takes the balancers that have registered with the store.
    pub fn enroll(&self, roster: &Roster) {
        let now = self.work.process.clock.now();
        self.work.balancer.borrow_mut().enroll(roster, now);
    }

    /// Logs that the store was lost or regained.
    pub fn store(&self, change: Change, reason: &impl ToString) {
        self.work.process.log(&Event::Dependency {
            name: "store",
            change,
            reason: reason.to_string(),
        });
    }

    /// Logs a record that can't be read.
    pub fn unreadable(&self, error: &impl Display) {
        self.work.process.unreadable("store", error);
    }

    /// Counts a call to the store.
    pub fn called(&self, failed: bool, took: Option<Duration>) {
        let metrics = &self.work.process.metrics;
        metrics.store_calls.inc();
        if failed {
            metrics.store_errors.inc();
        }
        if let Some(took) = took {
            metrics.store_seconds.0.observe(took.as_secs_f64());
        }
    }
}

impl Source {
    const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "balancer",
        }
    }
}
