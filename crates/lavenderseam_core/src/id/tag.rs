//! Fixed-size hash of a target's name.

use xxhash_rust::xxh3::xxh3_64;

use super::Target;

number! {
    /// Hash of a target's name that identifies the target in datagrams and connection ids.
    pub struct Tag(u64);
}

impl Tag {
    /// Returns the tag of the target with the given name.
    #[must_use]
    pub fn new(target: &Target) -> Self {
        Self(xxh3_64(target.as_str().as_bytes()))
    }
}

impl From<&Target> for Tag {
    fn from(target: &Target) -> Self {
        Self::new(target)
    }
}
