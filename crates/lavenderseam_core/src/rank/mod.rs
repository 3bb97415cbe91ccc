//! Rendezvous (highest random weight) ranking.
//!
//! All processes with the same member list compute the same ranking for a key without any
//! coordination. Adding or removing a member reassigns only the keys that it gains or loses.

mod member_buckets;

pub use member_buckets::MemberBuckets;

/// Returns the score of a member for a key; the member with the highest score ranks first.
#[must_use]
pub fn score(key: u64, member: u64) -> u64 {
    mix(key ^ mix(member))
}

/// SplitMix64 finalizer: a bijection in which each input bit affects all output bits.
fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Returns the `count` highest-ranked members for a key, best first; `id` returns the hash of a
/// member.
#[must_use]
pub fn top_ranked<T: Copy>(
    key: u64,
    members: &[T],
    count: usize,
    id: impl Fn(&T) -> u64,
) -> Vec<T> {
    let mut ranked: Vec<(u64, T)> = members.iter().map(|m| (score(key, id(m)), *m)).collect();
    ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, member)| member).collect()
}
