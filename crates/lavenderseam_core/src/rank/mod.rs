//! Rendezvous (highest random weight) ranking.
//!
//! Every process that knows the same members ranks them alike for a key, without an election, and
//! one member's arrival or departure moves only the keys that it wins or held.

mod cells;

pub use cells::Cells;

/// Score of a member for a key; the highest score ranks first.
#[must_use]
pub fn score(key: u64, member: u64) -> u64 {
    mix(key ^ mix(member))
}

/// Finaliser of SplitMix64: a bijection that spreads every input bit over the word.
fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// The `count` highest ranked members for a key, best first.
#[must_use]
pub fn top<T: Copy>(key: u64, members: &[T], count: usize, id: impl Fn(&T) -> u64) -> Vec<T> {
    let mut ranked: Vec<(u64, T)> = members.iter().map(|m| (score(key, id(m)), *m)).collect();
    ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, member)| member).collect()
}
