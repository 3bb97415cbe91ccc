//! Selection of the processes that watch the store.

use std::time::Duration;

use super::{MemberId, Members};
use crate::rank::score;

/// Number of processes that watch the store during normal operation.
pub const REGULAR_WATCHERS: usize = 3;
/// Salt of the hash that ranks the processes.
const RANK_SALT: u64 = 0x7761_7463_6865_7273;
/// Time without fresh records after which the process ranked next starts to watch the store.
const TAKEOVER_DELAY: Duration = Duration::from_secs(6);
/// Additional delay per rank. It limits the rate at which processes turn to the store, however many
/// processes there are.
const RANK_DELAY: Duration = Duration::from_millis(20);

/// The processes ranked for watching the store: balancers before agents, and by rendezvous hashing
/// within each group.
#[derive(Clone, Debug, Default)]
pub struct WatcherRanking {
    ranked: Vec<MemberId>,
}

impl WatcherRanking {
    /// Ranks the members for watching the store.
    #[must_use]
    pub fn new(members: &Members) -> Self {
        let mut ranked: Vec<_> = members
            .iter()
            .map(|member| (member.is_balancer, score(RANK_SALT, member.id.0), member.id))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        Self {
            ranked: ranked.into_iter().map(|(_, _, id)| id).collect(),
        }
    }

    /// Returns the processes that watch the store during normal operation.
    #[must_use]
    pub fn regular(&self) -> &[MemberId] {
        &self.ranked[..self.ranked.len().min(REGULAR_WATCHERS)]
    }

    /// Returns the rank of a process, from 0 for the best; a process that isn't a member ranks
    /// after all members.
    #[must_use]
    pub fn rank(&self, id: MemberId) -> usize {
        let found = self.ranked.iter().position(|ranked| *ranked == id);
        found.unwrap_or(self.ranked.len())
    }

    /// Returns the time without fresh records after which a process with this rank watches the
    /// store; zero for the regular watchers, which always watch.
    #[must_use]
    pub fn takeover_delay(rank: usize) -> Duration {
        match rank.checked_sub(REGULAR_WATCHERS) {
            None => Duration::ZERO,
            Some(behind) => TAKEOVER_DELAY + RANK_DELAY * u32::try_from(behind).unwrap_or(u32::MAX),
        }
    }

    /// Returns the minimum delay after a failed call to the store for a process with this rank
    /// among `members` processes.
    #[must_use]
    pub fn store_retry_delay(rank: usize, members: usize) -> Duration {
        let shared_delay = RANK_DELAY * u32::try_from(members).unwrap_or(u32::MAX);
        if rank < REGULAR_WATCHERS {
            Duration::from_secs(1)
        } else {
            shared_delay.max(Duration::from_secs(2))
        }
    }
}
