//! Which processes watch the store.

use std::time::Duration;

use super::{MemberId, Members};
use crate::rank::score;

/// Processes that watch the store while all is well.
pub const WATCHERS: usize = 3;
/// Key that ranks the processes.
const RANK_KEY: u64 = 0x7761_7463_6865_7273;
/// Silence after which the next process in rank watches the store.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);
/// Further wait for each rank. It bounds how many processes turn to the store each second,
/// however many there are.
const RANK_STEP: Duration = Duration::from_millis(20);

/// The processes ranked for watching the store: balancers first, each by rendezvous.
#[derive(Clone, Debug, Default)]
pub struct Watchers {
    ranked: Vec<MemberId>,
}

impl Watchers {
    /// Ranks the members.
    #[must_use]
    pub fn new(members: &Members) -> Self {
        let mut ranked: Vec<_> = members
            .iter()
            .map(|member| (member.balancer, score(RANK_KEY, member.id.0), member.id))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        Self {
            ranked: ranked.into_iter().map(|(_, _, id)| id).collect(),
        }
    }

    /// The processes that watch while all is well.
    #[must_use]
    pub fn first(&self) -> &[MemberId] {
        &self.ranked[..self.ranked.len().min(WATCHERS)]
    }

    /// Rank of a process; one that isn't a member ranks after all that are.
    #[must_use]
    pub fn rank(&self, id: MemberId) -> usize {
        let found = self.ranked.iter().position(|ranked| *ranked == id);
        found.unwrap_or(self.ranked.len())
    }

    /// Silence after which a process of a rank watches; none for the first ones, which always do.
    #[must_use]
    pub fn patience(rank: usize) -> Duration {
        match rank.checked_sub(WATCHERS) {
            None => Duration::ZERO,
            Some(later) => SILENCE_LIMIT + RANK_STEP * u32::try_from(later).unwrap_or(u32::MAX),
        }
    }

    /// Pause between failed calls to the store of one process among `members`.
    #[must_use]
    pub fn pause(rank: usize, members: usize) -> Duration {
        let all = RANK_STEP * u32::try_from(members).unwrap_or(u32::MAX);
        if rank < WATCHERS {
            Duration::from_secs(1)
        } else {
            all.max(Duration::from_secs(2))
        }
    }
}
