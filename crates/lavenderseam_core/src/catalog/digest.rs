//! Digest of a catalog, for finding what two processes hold differently.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Revision;
use crate::record::Id;

/// Buckets of a digest.
pub const BUCKETS: usize = 64;

value! {
    /// For each bucket of identities, the exclusive or of the hashes of the records it holds.
    ///
    /// Deletions aren't covered, because processes forget them at different times.
    pub struct Digest {
        buckets: Vec<u64>,
    }
}

impl Digest {
    /// Adds an identity at a revision, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, id: &Id, revision: Revision) {
        let bucket = Self::bucket(id);
        self.buckets[bucket] ^= xxh3_64_with_seed(&revision.0.to_be_bytes(), hash(id));
    }

    /// The bucket that holds an identity.
    #[must_use]
    pub fn bucket(id: &Id) -> usize {
        hash(id) as usize % BUCKETS
    }

    /// The whole digest folded into one word.
    #[must_use]
    pub fn root(&self) -> u64 {
        let fold = |root: u64, bucket: &u64| root.rotate_left(5).wrapping_mul(3) ^ bucket;
        self.buckets.iter().fold(0, fold)
    }

    /// Buckets in which the two digests differ.
    pub fn differing<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = usize> + 'a {
        let at = |digest: &Self, bucket: usize| digest.buckets.get(bucket).copied();
        (0..BUCKETS).filter(move |bucket| at(self, *bucket) != at(other, *bucket))
    }
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            buckets: vec![0; BUCKETS],
        }
    }
}

fn hash(id: &Id) -> u64 {
    xxh3_64_with_seed(id.name.as_bytes(), id.kind as u64)
}
