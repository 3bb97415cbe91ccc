//! Messages by which processes replicate records.

use serde::{Deserialize, Deserializer};
use serde_json::Value;

use super::MemberId;
use crate::catalog::{Digest, Entry, Epoch, Revision, Root};
use crate::record::Kind;

value! {
    /// Freshness and digest of a process's records.
    #[derive(Copy)]
    pub struct Stamp {
        /// Revision through which the sender's catalog is complete.
        pub complete: Revision,
        /// Hash over the digest of the sender's records.
        #[serde(flatten)]
        pub root: Root,
        /// Last restore of the store that the sender has observed; `None` if it started since.
        #[serde(default)]
        pub restore: Option<Restore>,
        /// Time since the sender's records were last known to be up to date with the store, in
        /// milliseconds; `None` if that was never known.
        pub age_ms: Option<u64>,
        /// The best-ranked process that the sender knows to watch the store; the sender itself if
        /// it knows none.
        pub watcher: MemberId,
        /// Time since that process last queried the store, in milliseconds; `None` if the sender
        /// knows no watcher.
        pub watcher_age_ms: Option<u64>,
    }
}

value! {
    /// Restore of the store from a copy, with the grace period for lost records.
    #[derive(Copy)]
    pub struct Restore {
        /// Lowest revision after the restore at which the store was read, as far as the sender
        /// knows; later writes don't come from the copy.
        pub copy_limit: Revision,
        /// Rest of the grace period, in milliseconds; 0 once the epoch is settled.
        pub settles_in_ms: u64,
    }
}

value! {
    /// Sends new records to a neighbour in the tree.
    pub struct Push {
        /// Sending process.
        pub from: MemberId,
        /// Records and deletions.
        #[serde(deserialize_with = "known")]
        pub entries: Vec<Entry>,
        /// Freshness of the sender's records, including `entries`.
        pub stamp: Stamp,
    }
}

value! {
    /// Requests the records that the sender lacks.
    pub struct Pull {
        /// Sending process.
        pub from: MemberId,
        /// Hash over the digest of the sender's records.
        #[serde(flatten)]
        pub root: Root,
        /// Revision through which the sender's catalog is complete.
        pub complete: Revision,
        /// Requests all entries of this bucket; `None` requests the entries after `complete`.
        pub bucket: Option<usize>,
    }
}

value! {
    /// The part of the catalog that an answer covers entirely: one bucket, for some kinds.
    pub struct Bucket {
        /// Index of the bucket in the digest.
        pub index: usize,
        /// Names of the kinds that the answering process knows; it holds no records of other kinds.
        pub kinds: Vec<String>,
    }
}

value! {
    /// Response to a [`Pull`].
    pub struct Answer {
        /// Answering process.
        pub from: MemberId,
        /// Whether the answering process's own records are confirmed, so that it acts on them.
        pub open: bool,
        /// Freshness of the answering process's records.
        pub stamp: Stamp,
        /// Digest of the answering process's records; `None` if it equals the requester's.
        pub digest: Option<Digest>,
        /// Entries after the requested revision, or all entries of the requested bucket.
        #[serde(deserialize_with = "known")]
        pub entries: Vec<Entry>,
        /// The bucket that `entries` covers entirely, if a bucket was requested.
        pub bucket: Option<Bucket>,
    }
}

impl Push {
    /// Returns the newest epoch of the entries and the stamp.
    pub(crate) fn epoch(&self) -> Epoch {
        newest_epoch(&self.stamp, &self.entries)
    }
}

impl Answer {
    /// Returns the newest epoch of the entries and the stamp.
    pub(crate) fn epoch(&self) -> Epoch {
        newest_epoch(&self.stamp, &self.entries)
    }
}

fn newest_epoch(stamp: &Stamp, entries: &[Entry]) -> Epoch {
    let restored = stamp.restore.map(|restore| restore.copy_limit);
    let revisions = entries.iter().map(|entry| entry.revision);
    let newest = revisions
        .chain(restored)
        .fold(stamp.complete, Revision::max);
    newest.epoch()
}

impl Bucket {
    /// Creates a bucket with all kinds that this version of the software knows.
    #[must_use]
    pub fn new(index: usize) -> Self {
        Self {
            index,
            kinds: Kind::ALL.map(|kind| kind.as_str().to_owned()).to_vec(),
        }
    }
}

/// Deserialises a list of entries and skips those that can't be read: a newer version of the
/// software may send kinds that this one doesn't know.
fn known<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Entry>, D::Error> {
    let entries = Vec::<Value>::deserialize(deserializer)?;
    let readable = entries
        .into_iter()
        .filter_map(|entry| serde_json::from_value(entry).ok());
    Ok(readable.collect())
}
