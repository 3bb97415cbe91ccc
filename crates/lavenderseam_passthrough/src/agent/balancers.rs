//! The balancers that an agent announces its target to.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lavenderseam_core::time::Instant;

use super::Settings;

#[derive(Clone, Copy, Debug)]
struct Balancer {
    /// When it was last heard, or learned of.
    heard: Instant,
    /// Whether it was ever heard.
    answers: bool,
    announced: Option<Instant>,
    /// When it was last asked for the balancers that it knows.
    asked: Option<Instant>,
}

/// An announcement that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Due {
    /// The balancer.
    pub(crate) to: SocketAddrV4,
    /// Whether it was heard lately.
    pub(crate) hears: bool,
    /// Whether it is asked for the balancers that it knows.
    pub(crate) asks: bool,
}

/// The balancers known.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balancers {
    known: BTreeMap<SocketAddrV4, Balancer>,
    /// When one was last heard.
    heard: Instant,
    asked: Instant,
}

impl Balancer {
    fn hears(&self, settings: &Settings, now: Instant) -> bool {
        self.answers && now.since(self.heard) < settings.hears
    }
}

impl Balancers {
    /// Learns of a balancer.
    pub(crate) fn insert(&mut self, address: SocketAddrV4, now: Instant) {
        self.known.entry(address).or_insert(Balancer {
            heard: now,
            answers: false,
            announced: None,
            asked: None,
        });
    }

    /// Notes a message of a balancer; one that hadn't been heard is told so at once.
    pub(crate) fn heard(&mut self, address: SocketAddrV4, settings: &Settings, now: Instant) {
        self.heard = now;
        self.insert(address, now);
        if let Some(balancer) = self.known.get_mut(&address) {
            if !balancer.hears(settings, now) {
                balancer.announced = None;
            }
            balancer.heard = now;
            balancer.answers = true;
        }
    }

    /// The announcements that are due; one to each balancer if `all`.
    pub(crate) fn due(&mut self, settings: &Settings, all: bool, now: Instant) -> Vec<Due> {
        self.known
            .retain(|_, balancer| now.since(balancer.heard) < settings.forget);
        let mut due = Vec::new();
        for (address, balancer) in &mut self.known {
            let quiet = now.since(balancer.heard) >= settings.quiet;
            let period = if quiet {
                settings.retry
            } else {
                settings.announce
            };
            let waited = balancer.announced.is_none_or(|at| now.since(at) >= period);
            if waited || (all && !quiet) {
                balancer.announced = Some(now);
                let hears = balancer.hears(settings, now);
                let asks = !hears
                    || balancer
                        .asked
                        .is_none_or(|at| now.since(at) >= settings.ask);
                if asks && hears {
                    balancer.asked = Some(now);
                }
                due.push(Due {
                    to: *address,
                    hears,
                    asks,
                });
            }
        }
        due
    }

    /// Whether no balancer has been heard for so long that the store should be asked.
    pub(crate) fn is_alone(&mut self, settings: &Settings, now: Instant) -> bool {
        let alone = now.since(self.heard.max(self.asked)) >= settings.alone;
        if alone {
            self.asked = now;
        }
        alone
    }
}
