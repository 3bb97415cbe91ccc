//! Objects of one kind as a process reads them from the store by lists and watches.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher as _};

use xxhash_rust::xxh3::Xxh3;

use super::restore::{RESTORE_GRACE, SupersededWrites};
use super::{Epoch, Revision};
use crate::time::Instant;

/// Object in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object<T> {
    /// Revision of the last write.
    pub revision: Revision,
    /// Content of the object.
    pub content: T,
}

/// Objects of one kind, by name, and the position of the next watch.
///
/// After a restore of the store, objects that the store has lost are kept as carried over, and
/// restored versions of objects are ignored, as [`restore`](super::restore) describes. The first
/// list after the grace period ends both.
#[derive(Clone, Debug)]
pub struct Mirror<T> {
    objects: BTreeMap<String, Object<T>>,
    /// Objects that a restored store lacks, by name.
    carried_over: BTreeMap<String, Object<T>>,
    superseded: SupersededWrites<String>,
    /// Revision from which the next watch continues; `None` if the objects must be listed.
    position: Option<Revision>,
    /// Epoch of the last list.
    epoch: Option<Epoch>,
    /// Revision of the first list after a restore; later writes don't come from the copy.
    copy_limit: Revision,
    /// End of the grace period after a restore.
    settles_at: Option<Instant>,
}

impl<T: Hash> Mirror<T> {
    /// Replaces the objects by those of a list at a revision of the store.
    ///
    /// `epoch_seen_at` is the time at which the process learned of the epoch of the list, from the
    /// store or from another process.
    pub fn apply_list(
        &mut self,
        listed: BTreeMap<String, Object<T>>,
        revision: Revision,
        epoch_seen_at: Instant,
        now: Instant,
    ) {
        let is_restored = self.epoch.is_some_and(|epoch| epoch < revision.epoch());
        if is_restored {
            self.settles_at = Some(epoch_seen_at + RESTORE_GRACE);
            self.copy_limit = revision;
        }
        self.settles_at.take_if(|at| now >= *at);
        self.epoch = Some(revision.epoch());
        self.position = Some(revision);
        let held = std::mem::replace(&mut self.objects, listed);
        if self.settles_at.is_none() {
            self.carried_over.clear();
            self.supersede_replaced(held);
            return;
        }
        self.restore_held(held, revision);
    }

    /// Applies a write to an object, or its deletion if `content` is `None`.
    pub fn apply_change(&mut self, name: String, revision: Revision, content: Option<T>) {
        self.carried_over.remove(&name);
        let replaced = match content {
            Some(content) => {
                let object = Object { revision, content };
                self.objects.insert(name.clone(), object)
            }
            None => self.objects.remove(&name),
        };
        if let Some(replaced) = replaced {
            let content_hash = replaced.content_hash();
            self.superseded
                .insert(name, replaced.revision, content_hash);
        }
    }

    /// Sets the revision from which the next watch continues.
    pub fn set_position(&mut self, revision: Revision) {
        self.position = Some(revision);
    }

    /// Requires a list before the next watch.
    pub fn discard_position(&mut self) {
        self.position = None;
    }

    /// Returns the revision from which the next watch continues; `None` if the objects must be
    /// listed: at first, after [`Self::discard_position`], and when the grace period after a
    /// restore has passed.
    #[must_use]
    pub fn position(&self, now: Instant) -> Option<Revision> {
        let is_settled = self.settles_at.is_none_or(|at| now < at);
        self.position.filter(|_| is_settled)
    }

    /// Returns the end of the grace period after a restore, or `None` outside it.
    #[must_use]
    pub const fn settles_at(&self) -> Option<Instant> {
        self.settles_at
    }

    /// Returns the objects that the store holds, by name.
    #[must_use]
    pub const fn objects(&self) -> &BTreeMap<String, Object<T>> {
        &self.objects
    }

    /// Returns the objects that a restored store lacks, by name.
    #[must_use]
    pub const fn carried_over(&self) -> &BTreeMap<String, Object<T>> {
        &self.carried_over
    }

    /// Remembers the writes that a list shows to be replaced or deleted.
    fn supersede_replaced(&mut self, held: BTreeMap<String, Object<T>>) {
        for (name, object) in held {
            let listed = self.objects.get(&name);
            if listed.is_none_or(|listed| listed.revision != object.revision) {
                let content_hash = object.content_hash();
                self.superseded.insert(name, object.revision, content_hash);
            }
        }
    }

    /// Keeps what was held before a restore: replaces restored versions of objects by the version
    /// held, and carries over objects that are not listed.
    fn restore_held(&mut self, held: BTreeMap<String, Object<T>>, revision: Revision) {
        let (superseded, copy_limit) = (&self.superseded, self.copy_limit);
        let is_restored = |name: &String, object: &Object<T>| {
            object.revision <= copy_limit
                && superseded.contains(name, object.revision, object.content_hash())
        };
        self.objects
            .retain(|name, object| held.contains_key(name) || !is_restored(name, object));
        let mut replaced = Vec::new();
        for (name, object) in held {
            match self.objects.get_mut(&name) {
                None if object.revision.epoch() < revision.epoch() => {
                    self.carried_over.insert(name, object);
                }
                None => {}
                Some(listed) if is_restored(&name, listed) => {
                    // The version held counts as of the list, so that it takes precedence over the
                    // restored one at other processes as well.
                    *listed = Object { revision, ..object };
                }
                Some(listed) if listed.revision.number() != object.revision.number() => {
                    replaced.push((name, object));
                }
                Some(_) => {}
            }
        }
        for (name, object) in replaced {
            let content_hash = object.content_hash();
            self.superseded.insert(name, object.revision, content_hash);
        }
        let objects = &self.objects;
        self.carried_over
            .retain(|name, _| !objects.contains_key(name));
    }
}

impl<T: Hash> Object<T> {
    /// Returns a hash of the content.
    fn content_hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.content.hash(&mut hasher);
        hasher.finish()
    }
}

impl<T> Default for Mirror<T> {
    fn default() -> Self {
        Self {
            objects: BTreeMap::new(),
            carried_over: BTreeMap::new(),
            superseded: SupersededWrites::default(),
            position: None,
            epoch: None,
            copy_limit: Revision::default(),
            settles_at: None,
        }
    }
}
