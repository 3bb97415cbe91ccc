//! Durations of the watches by which balancers learn of changes in the store.
//!
//! A watch may outlive an outage of the store, and with it a restore from a copy, after which it
//! waits for a revision that the store assigns to another change. So balancers end their watches
//! of one kind of records early, in turn: the first answer of a restored store shows the new epoch,
//! and gossip tells the others. The watches of other kinds are renewed at random times for a similar
//! reason: connections may go silent for good, and nothing shows that but a new one.

use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::random::Sequence;
use lavenderseam_core::time::Instant;

/// Maximum duration of a watch for each balancer; the mean time between two ends of watches among
/// all balancers is half of it.
const DURATION_PER_BALANCER: Duration = Duration::from_millis(500);
/// The same for watches that only a silent connection makes it necessary to renew.
const RENEWAL_PER_BALANCER: Duration = Duration::from_millis(1_500);
/// Minimum duration of a watch.
const MIN_DURATION: Duration = Duration::from_millis(500);
/// Maximum duration of a watch.
const MAX_DURATION: Duration = Duration::from_secs(20);

/// Time within which another change counts as part of a series.
const SERIES_WINDOW: Duration = Duration::from_secs(1);
/// Pause before the next watch during a series of changes, which then takes effect in fewer steps; a
/// small part of the seconds within which a change must be in force.
const SERIES_PAUSE: Duration = Duration::from_millis(300);

/// Durations of the watches of one balancer, and the pauses between them.
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    random: Sequence,
    changed_at: Option<Instant>,
}

impl WatchSchedule {
    /// Creates the schedule of the balancer at an address.
    #[must_use]
    pub fn new(balancer: SocketAddrV4) -> Self {
        let seed = u64::from(balancer.ip().to_bits()) << 16 | u64::from(balancer.port());
        Self {
            random: Sequence::new(seed),
            changed_at: None,
        }
    }

    /// Records that a watch has returned a change, and returns the pause before the next one.
    ///
    /// Each change ends the watches of all balancers, so a series of changes would cost a call for
    /// each change and balancer.
    pub fn on_change(&mut self, now: Instant) -> Duration {
        let last = self.changed_at.replace(now);
        let is_series = last.is_some_and(|last| now.since(last) < SERIES_WINDOW);
        if is_series {
            SERIES_PAUSE
        } else {
            Duration::ZERO
        }
    }

    /// Returns the duration of the next watch that must be renewed only because its connection may
    /// have gone silent for good; `balancers` is the number of all balancers.
    ///
    /// The duration is random, so that soon after all connections have gone silent, some balancer
    /// watches on a new one, and its gossip tells the others.
    pub fn next_renewal(&mut self, balancers: usize) -> Duration {
        let longest = longest_duration(RENEWAL_PER_BALANCER, balancers).min(MAX_DURATION);
        self.random_duration(longest)
    }

    /// Returns the duration of the next watch that ends in turn with those of other balancers;
    /// `balancers` is the number of all balancers.
    ///
    /// The duration is random, so that balancers whose watches all end at a change don't ask again
    /// at the same time.
    pub fn next_in_turn(&mut self, balancers: usize) -> Duration {
        self.random_duration(longest_duration(DURATION_PER_BALANCER, balancers))
    }

    fn random_duration(&mut self, longest: Duration) -> Duration {
        let duration = longest.mul_f64(self.random.next_fraction());
        duration.clamp(MIN_DURATION, MAX_DURATION)
    }
}

fn longest_duration(per_balancer: Duration, balancers: usize) -> Duration {
    per_balancer.saturating_mul(u32::try_from(balancers).unwrap_or(u32::MAX))
}
