//! Digest of a catalog, by which two processes find the records in which they differ.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Revision;
use crate::record::Id;

/// Number of buckets of a digest.
pub const BUCKET_COUNT: usize = 64;

value! {
    /// XOR of the hashes of the records in each bucket; a record's identity selects its bucket.
    ///
    /// Deletions are not included, because processes discard them at different times.
    pub struct Digest {
        buckets: Vec<u64>,
    }
}

impl Digest {
    /// Adds the record with this identity and revision, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, id: &Id, revision: Revision) {
        let bucket = Self::bucket_index(id);
        self.buckets[bucket] ^= xxh3_64_with_seed(&revision.0.to_be_bytes(), hash_id(id));
    }

    /// Returns the index of the bucket for an identity.
    #[must_use]
    pub fn bucket_index(id: &Id) -> usize {
        hash_id(id) as usize % BUCKET_COUNT
    }

    /// Returns a hash over all buckets.
    #[must_use]
    pub fn root(&self) -> u64 {
        let combine = |root: u64, bucket: &u64| root.rotate_left(5).wrapping_mul(3) ^ bucket;
        self.buckets.iter().fold(0, combine)
    }

    /// Returns the indices of the buckets in which the two digests differ.
    pub fn differing_buckets<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = usize> + 'a {
        let bucket_hash = |digest: &Self, bucket: usize| digest.buckets.get(bucket).copied();
        (0..BUCKET_COUNT)
            .filter(move |bucket| bucket_hash(self, *bucket) != bucket_hash(other, *bucket))
    }
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            buckets: vec![0; BUCKET_COUNT],
        }
    }
}

fn hash_id(id: &Id) -> u64 {
    xxh3_64_with_seed(id.name.as_bytes(), id.kind as u64)
}
