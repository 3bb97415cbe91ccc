//! Symmetric key that all processes of one installation share.

use std::fmt;
use std::str::FromStr;

/// Length of a key, in bytes.
pub const LENGTH: usize = 32;

/// Length of an authentication tag, in bytes.
pub(crate) const TAG_LENGTH: usize = 16;

/// A shared or derived key; its `Debug` output is a fingerprint.
#[derive(Clone, PartialEq, Eq)]
pub struct SymmetricKey([u8; LENGTH]);

/// Error when parsing a key from a text that isn't 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidKey;

impl SymmetricKey {
    /// Creates a key from its bytes.
    #[must_use]
    pub const fn new(bytes: [u8; LENGTH]) -> Self {
        Self(bytes)
    }

    /// Derives a key for one purpose.
    #[must_use]
    pub fn derive(&self, purpose: &str) -> Self {
        Self(*blake3::keyed_hash(&self.0, purpose.as_bytes()).as_bytes())
    }

    /// Returns the key's bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; LENGTH] {
        &self.0
    }

    /// Derives the seed of the flow key hash.
    #[must_use]
    pub fn flow_hash_seed(&self) -> u64 {
        let derived = self.derive("flow key seed");
        u64::from_be_bytes(first_word(&derived.0))
    }

    /// Computes the authentication tag (truncated keyed BLAKE3 hash) of a message.
    #[must_use]
    pub fn authentication_tag(&self, message: &[u8]) -> [u8; TAG_LENGTH] {
        let hash = blake3::keyed_hash(&self.0, message);
        let mut tag = [0; TAG_LENGTH];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_LENGTH]);
        tag
    }

    /// Returns `true` if the tag authenticates the message; compares in constant time.
    #[must_use]
    pub fn verify_tag(&self, message: &[u8], tag: &[u8]) -> bool {
        let expected = self.authentication_tag(message);
        let accumulate_difference = |accumulated: u8, (a, b): (&u8, &u8)| accumulated | (a ^ b);
        tag.len() == TAG_LENGTH && expected.iter().zip(tag).fold(0, accumulate_difference) == 0
    }
}

fn first_word(bytes: &[u8; LENGTH]) -> [u8; 8] {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[..8]);
    word
}

impl fmt::Debug for SymmetricKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fingerprint = self.derive("fingerprint");
        write!(
            formatter,
            "Key({:02x}{:02x}{:02x}..)",
            fingerprint.0[0], fingerprint.0[1], fingerprint.0[2]
        )
    }
}

impl fmt::Display for InvalidKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("key must have exactly 64 hexadecimal digits")
    }
}

impl std::error::Error for InvalidKey {}

impl FromStr for SymmetricKey {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        let text = text.trim().as_bytes();
        // `from_str_radix` would also accept a sign.
        if text.len() != 2 * LENGTH || !text.iter().all(u8::is_ascii_hexdigit) {
            return Err(InvalidKey);
        }
        let mut bytes = [0; LENGTH];
        for (byte, pair) in bytes.iter_mut().zip(text.chunks_exact(2)) {
            let digits = std::str::from_utf8(pair).map_err(|_| InvalidKey)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidKey)?;
        }
        Ok(Self(bytes))
    }
}
