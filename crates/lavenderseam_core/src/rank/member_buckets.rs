//! Rendezvous ranking over many members, which scores only a subset of them per key.

use super::{mix, top_ranked};

/// Minimum average number of members per bucket.
const MIN_MEMBERS_PER_BUCKET: usize = 16;

/// Members partitioned into buckets by their hash.
///
/// A key is ranked only among the members of the bucket that the hash of the key selects. Adding or
/// removing a member reassigns only keys of its bucket, unless the number of buckets changes: it is
/// a power of two that grows with the number of members.
#[derive(Clone, Debug, Default)]
pub struct MemberBuckets {
    members: Vec<u64>,
    buckets: Vec<Vec<u64>>,
}

impl MemberBuckets {
    /// Partitions members by the hash of their ids.
    pub fn new(members: impl IntoIterator<Item = u64>) -> Self {
        let members: Vec<u64> = members.into_iter().collect();
        let count = (members.len() / MIN_MEMBERS_PER_BUCKET).max(1);
        let count = if count.is_power_of_two() {
            count
        } else {
            count.next_power_of_two() / 2
        };
        let mut buckets = vec![Vec::new(); count];
        for member in &members {
            buckets[bucket_index(*member, count)].push(*member);
        }
        Self { members, buckets }
    }

    /// Returns the `count` highest-ranked members for a key, best first.
    #[must_use]
    pub fn top_ranked(&self, key: u64, count: usize) -> Vec<u64> {
        let Some(bucket) = self
            .buckets
            .get(bucket_index(key, self.buckets.len().max(1)))
        else {
            return Vec::new();
        };
        // A bucket with fewer than `count` members can't satisfy the request, so all members are
        // ranked.
        let eligible = if bucket.len() >= count {
            bucket
        } else {
            &self.members
        };
        top_ranked(key, eligible, count, |member| *member)
    }
}

/// Returns the index of the bucket for a hash; `count` must be a power of two.
fn bucket_index(hash: u64, count: usize) -> usize {
    (mix(hash) >> 32) as usize & (count - 1)
}
