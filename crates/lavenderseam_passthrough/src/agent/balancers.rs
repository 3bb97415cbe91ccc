//! Balancers that an agent announces its target to.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lavenderseam_core::time::Instant;

use super::Settings;

#[derive(Clone, Copy, Debug)]
struct BalancerEntry {
    /// Time of the last message from the balancer, or the time at which the agent received its
    /// address.
    last_message_at: Instant,
    /// `true` if the agent has ever received a message from the balancer.
    ever_received: bool,
    last_announced: Option<Instant>,
    /// Time of the last request for the balancers that this one knows.
    last_balancers_request: Option<Instant>,
    /// Whether the balancer knows of an earlier run of the agent; `None` if it hasn't told.
    knows_predecessor: Option<bool>,
}

/// Balancer that an announcement is due to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Recipient {
    /// Address of the balancer.
    pub(crate) address: SocketAddrV4,
    /// `true` if the agent has recently received a message from the balancer.
    pub(crate) recently_received: bool,
    /// `true` if the announcement requests the list of known balancers.
    pub(crate) wants_balancers: bool,
    /// `true` if the balancer hasn't told whether it knows of an earlier run of the agent.
    pub(crate) is_unasked: bool,
}

/// Balancers known to the agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balancers {
    entries: BTreeMap<SocketAddrV4, BalancerEntry>,
    /// Time of the last message from any balancer.
    last_message_at: Instant,
    last_lookup: Instant,
}

impl BalancerEntry {
    fn recently_received(&self, settings: &Settings, now: Instant) -> bool {
        self.ever_received && now.since(self.last_message_at) < settings.receipt_window
    }

    /// Returns `true` if the balancer has never been heard although it had time to reply.
    fn is_absent(&self, settings: &Settings, now: Instant) -> bool {
        !self.ever_received && now.since(self.last_message_at) >= settings.introduction_period
    }
}

impl Balancers {
    /// Adds a balancer if it isn't known yet.
    pub(crate) fn insert(&mut self, address: SocketAddrV4, now: Instant) {
        self.entries.entry(address).or_insert(BalancerEntry {
            last_message_at: now,
            ever_received: false,
            last_announced: None,
            last_balancers_request: None,
            knows_predecessor: None,
        });
    }

    /// Records a message from a balancer.
    ///
    /// If the balancer wasn't reachable before, makes its next announcement due at once, which
    /// informs the balancer that the agent receives its messages.
    pub(crate) fn on_message(&mut self, address: SocketAddrV4, settings: &Settings, now: Instant) {
        self.last_message_at = now;
        self.insert(address, now);
        if let Some(balancer) = self.entries.get_mut(&address) {
            if !balancer.recently_received(settings, now) {
                balancer.last_announced = None;
            }
            balancer.last_message_at = now;
            balancer.ever_received = true;
        }
    }

    /// Returns the balancers that an announcement is due to: every responsive one if `all`, and
    /// otherwise those whose interval has elapsed.
    pub(crate) fn due(&mut self, settings: &Settings, all: bool, now: Instant) -> Vec<Recipient> {
        self.entries
            .retain(|_, balancer| now.since(balancer.last_message_at) < settings.balancer_expiry);
        let mut due = Vec::new();
        for (address, balancer) in &mut self.entries {
            let unresponsive = now.since(balancer.last_message_at) >= settings.unresponsive_after;
            let is_introduced = balancer.ever_received
                || now.since(balancer.last_message_at) >= settings.introduction_period;
            let interval = if !is_introduced {
                settings.introduction_interval
            } else if unresponsive {
                settings.unresponsive_announce_interval
            } else {
                settings.announce_interval
            };
            let interval_elapsed = balancer
                .last_announced
                .is_none_or(|at| now.since(at) >= interval);
            if interval_elapsed || (all && !unresponsive) {
                balancer.last_announced = Some(now);
                let recently_received = balancer.recently_received(settings, now);
                let wants_balancers = !recently_received
                    || balancer
                        .last_balancers_request
                        .is_none_or(|at| now.since(at) >= settings.balancer_query_interval);
                if wants_balancers && recently_received {
                    balancer.last_balancers_request = Some(now);
                }
                due.push(Recipient {
                    address: *address,
                    recently_received,
                    wants_balancers,
                    is_unasked: balancer.knows_predecessor.is_none(),
                });
            }
        }
        due
    }

    /// Records whether a balancer knows of an earlier run of the agent.
    pub(crate) fn on_run_reply(&mut self, address: SocketAddrV4, has_predecessor: bool) {
        if let Some(balancer) = self.entries.get_mut(&address) {
            balancer.knows_predecessor = Some(has_predecessor);
        }
    }

    /// Returns whether a balancer knows of an earlier run of the agent; `None` if none does so far, and
    /// one that may do so hasn't answered.
    pub(crate) fn knows_predecessor(&self, settings: &Settings, now: Instant) -> Option<bool> {
        let mut is_answered = false;
        let mut is_awaited = false;
        for balancer in self.entries.values() {
            match balancer.knows_predecessor {
                Some(true) => return Some(true),
                Some(false) => is_answered = true,
                None => is_awaited |= !balancer.is_absent(settings, now),
            }
        }
        (is_answered && !is_awaited).then_some(false)
    }

    /// Returns the balancers that have sent messages.
    pub(crate) fn heard(&self) -> impl Iterator<Item = SocketAddrV4> {
        let heard = self.entries.iter().filter(|(_, entry)| entry.ever_received);
        heard.map(|(address, _)| *address)
    }

    /// Returns `true` if no message from a balancer has arrived for so long that the agent should
    /// look balancers up in the store.
    pub(crate) fn needs_lookup(&mut self, settings: &Settings, now: Instant) -> bool {
        let isolated =
            now.since(self.last_message_at.max(self.last_lookup)) >= settings.lookup_after;
        if isolated {
            self.last_lookup = now;
        }
        isolated
    }
}
