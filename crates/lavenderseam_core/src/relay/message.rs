//! What processes tell each other about records.

use serde::{Deserialize, Deserializer};
use serde_json::Value;

use super::MemberId;
use crate::catalog::{Digest, Entry, Revision};
use crate::record::Kind;

value! {
    /// How fresh a process' records are.
    #[derive(Copy)]
    pub struct Stamp {
        /// Revision that the process is complete through.
        pub complete: Revision,
        /// Digest of its records, folded into one word.
        pub root: u64,
        /// Time since the store was last known to hold nothing newer, in milliseconds; none if
        /// that was never known.
        pub age_ms: Option<u64>,
        /// The best ranked process that is known to watch the store.
        pub watcher: MemberId,
        /// Time since it last asked the store, in milliseconds.
        pub watcher_age_ms: Option<u64>,
    }
}

value! {
    /// Records sent unasked.
    pub struct Push {
        /// The sender.
        pub from: MemberId,
        /// Records, or their deletions.
        #[serde(deserialize_with = "known")]
        pub entries: Vec<Entry>,
        /// Freshness of the sender's records with these.
        pub stamp: Stamp,
    }
}

value! {
    /// Asks for what the sender lacks.
    pub struct Pull {
        /// The sender.
        pub from: MemberId,
        /// Digest of the records that the sender holds, folded into one word.
        pub root: u64,
        /// Revision that the sender is complete through.
        pub complete: Revision,
        /// Only this bucket, whole; otherwise entries after `complete`.
        pub bucket: Option<usize>,
    }
}

value! {
    /// What an answer holds the whole of.
    pub struct Bucket {
        /// Index of the bucket.
        pub index: usize,
        /// Names of the kinds that the answering program knows; it holds no records of others.
        pub kinds: Vec<String>,
    }
}

value! {
    /// Answers a [`Pull`].
    pub struct Answer {
        /// Who answers.
        pub from: MemberId,
        /// Whether the one who answers acts on its records itself.
        pub open: bool,
        /// Freshness of its records.
        pub stamp: Stamp,
        /// Digest of its records, unless it is the same as the sender's.
        pub digest: Option<Digest>,
        /// Its entries after the revision asked for, or all entries of the bucket asked for.
        #[serde(deserialize_with = "known")]
        pub entries: Vec<Entry>,
        /// The bucket that `entries` are the whole of.
        pub bucket: Option<Bucket>,
    }
}

impl Bucket {
    /// A bucket of this program.
    #[must_use]
    pub fn new(index: usize) -> Self {
        Self {
            index,
            kinds: Kind::ALL.map(|kind| kind.as_str().to_owned()).to_vec(),
        }
    }
}

/// Reads the entries that this program knows the kind of; a newer one may send others.
fn known<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Entry>, D::Error> {
    let entries = Vec::<Value>::deserialize(deserializer)?;
    let read = entries
        .into_iter()
        .filter_map(|entry| serde_json::from_value(entry).ok());
    Ok(read.collect())
}
