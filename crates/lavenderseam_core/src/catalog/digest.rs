//! Digest of a catalog, by which two processes find the records in which they differ.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Entry;
use crate::record::Id;

/// Number of buckets of a digest.
pub const BUCKET_COUNT: usize = 64;

value! {
    /// XOR of the hashes of the records in each bucket; a record's identity selects its bucket.
    ///
    /// Deletions are not included, because processes discard them at different times. Neither are
    /// epochs: a process that has held a record since before a restore holds the same record as one
    /// that read it afterwards.
    pub struct Digest {
        /// Hashes of the records' identities and numbers.
        buckets: Vec<u64>,
        /// Hashes of the records' contents, which tell writes apart that got the same number in two
        /// epochs. Empty in digests of versions that don't send it.
        #[serde(default)]
        contents: Vec<u64>,
    }
}

value! {
    /// Hash over all buckets of a digest.
    #[derive(Copy, Default)]
    pub struct Root {
        /// Hash over the records' identities and numbers.
        #[serde(rename = "root")]
        pub records: u64,
        /// Hash over the records' contents; `None` if the sender's version doesn't send it.
        #[serde(rename = "content_root", default)]
        pub contents: Option<u64>,
    }
}

impl Digest {
    /// Adds a record, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, entry: &Entry) {
        let bucket = Self::bucket_index(&entry.id);
        let seed = hash_id(&entry.id);
        let number = entry.revision.number().to_be_bytes();
        self.buckets[bucket] ^= xxh3_64_with_seed(&number, seed);
        let content = entry.content_hash().to_be_bytes();
        self.contents[bucket] ^= xxh3_64_with_seed(&content, seed);
    }

    /// Returns the index of the bucket for an identity.
    #[must_use]
    pub fn bucket_index(id: &Id) -> usize {
        hash_id(id) as usize % BUCKET_COUNT
    }

    /// Returns a hash over all buckets.
    #[must_use]
    pub fn root(&self) -> Root {
        let combine = |root: u64, bucket: &u64| root.rotate_left(5).wrapping_mul(3) ^ bucket;
        Root {
            records: self.buckets.iter().fold(0, combine),
            contents: Some(self.contents.iter().fold(0, combine)),
        }
    }

    /// Returns the indices of the buckets in which the two digests differ.
    pub fn differing_buckets<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = usize> + 'a {
        let compares_contents = !self.contents.is_empty() && !other.contents.is_empty();
        (0..BUCKET_COUNT).filter(move |bucket| {
            self.buckets.get(*bucket) != other.buckets.get(*bucket)
                || (compares_contents && self.contents.get(*bucket) != other.contents.get(*bucket))
        })
    }
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            buckets: vec![0; BUCKET_COUNT],
            contents: vec![0; BUCKET_COUNT],
        }
    }
}

impl Root {
    /// Returns `true` if two processes hold the same records, as far as both report.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        let contents_match = self
            .contents
            .zip(other.contents)
            .is_none_or(|(own, other)| own == other);
        self.records == other.records && contents_match
    }
}

fn hash_id(id: &Id) -> u64 {
    xxh3_64_with_seed(id.name.as_bytes(), id.kind as u64)
}
