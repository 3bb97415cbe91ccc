//! Durations of the watches by which balancers learn of changes in the store.
//!
//! A watch may outlive an outage of the store, and with it a restore from a copy, after which it
//! waits for a revision that the store assigns to another change. So balancers end their watches
//! of one kind of records early, in turn: the first answer of a restored store shows the new epoch,
//! and gossip tells the others. The watches of other kinds are renewed at random times for a similar
//! reason: connections may go silent for good, and nothing shows that but a new one.
//!
//! A long watch rests on the others that end theirs sooner. So a balancer gives a watch up once it has
//! lasted for longer than the number of balancers that run by then would have let it last.

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
    current: Term,
}

/// What the duration of a watch is derived from.
#[derive(Clone, Copy, Debug, Default)]
struct Term {
    /// Longest duration for each balancer.
    per_balancer: Duration,
    /// Upper bound of the longest duration.
    bound: Duration,
    /// Random fraction of the longest duration.
    fraction: f64,
}

impl Term {
    fn duration(&self, balancers: usize) -> Duration {
        let balancers = u32::try_from(balancers).unwrap_or(u32::MAX);
        let longest = self.per_balancer.saturating_mul(balancers);
        let longest = longest.min(self.bound);
        longest
            .mul_f64(self.fraction)
            .clamp(MIN_DURATION, MAX_DURATION)
    }
}

impl WatchSchedule {
    /// Creates the schedule of the balancer at an address.
    #[must_use]
    pub fn new(balancer: SocketAddrV4) -> Self {
        let seed = u64::from(balancer.ip().to_bits()) << 16 | u64::from(balancer.port());
        Self {
            random: Sequence::new(seed),
            changed_at: None,
            current: Term::default(),
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
    /// have gone silent for good; `balancers` is the number of balancers that run.
    ///
    /// The duration is random, so that soon after all connections have gone silent, some balancer
    /// watches on a new one, and its gossip tells the others.
    pub fn next_renewal(&mut self, balancers: usize) -> Duration {
        self.start(RENEWAL_PER_BALANCER, MAX_DURATION, balancers)
    }

    /// Returns the duration of the next watch that ends in turn with those of other balancers;
    /// `balancers` is the number of balancers that run.
    ///
    /// The duration is random, so that balancers whose watches all end at a change don't ask again
    /// at the same time.
    pub fn next_in_turn(&mut self, balancers: usize) -> Duration {
        self.start(DURATION_PER_BALANCER, Duration::MAX, balancers)
    }

    /// Returns the duration that the present watch would have had if `balancers` had run at its start.
    #[must_use]
    pub fn duration_for(&self, balancers: usize) -> Duration {
        self.current.duration(balancers)
    }

    fn start(&mut self, per_balancer: Duration, bound: Duration, balancers: usize) -> Duration {
        self.current = Term {
            per_balancer,
            bound,
            fraction: self.random.next_fraction(),
        };
        self.current.duration(balancers)
    }
}
