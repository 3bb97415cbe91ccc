//! The key that all processes of one installation share.

use std::fmt;
use std::str::FromStr;

/// Length of a key, in bytes.
pub const LENGTH: usize = 32;

/// Length of a tag, in bytes.
pub(crate) const TAG_LENGTH: usize = 16;

/// A shared key; prints as a fingerprint only.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; LENGTH]);

/// A text that is not 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Key {
    /// A key from its bytes.
    #[must_use]
    pub const fn new(bytes: [u8; LENGTH]) -> Self {
        Self(bytes)
    }

    /// A key for one purpose, derived from this one.
    #[must_use]
    pub fn derive(&self, purpose: &str) -> Self {
        Self(*blake3::keyed_hash(&self.0, purpose.as_bytes()).as_bytes())
    }

    /// The key's bytes.
    #[must_use]
    pub const fn bytes(&self) -> &[u8; LENGTH] {
        &self.0
    }

    /// A word derived from the key, for seeding the hash of flow keys.
    #[must_use]
    pub fn seed(&self) -> u64 {
        let derived = self.derive("flow key seed");
        u64::from_be_bytes(first_word(&derived.0))
    }

    /// Tag of a text under this key.
    #[must_use]
    pub fn tag(&self, text: &[u8]) -> [u8; TAG_LENGTH] {
        let hash = blake3::keyed_hash(&self.0, text);
        let mut tag = [0; TAG_LENGTH];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_LENGTH]);
        tag
    }

    /// Whether a tag is the text's, compared in constant time.
    #[must_use]
    pub fn verifies(&self, text: &[u8], tag: &[u8]) -> bool {
        let expected = self.tag(text);
        let difference = |sum: u8, (a, b): (&u8, &u8)| sum | (a ^ b);
        tag.len() == TAG_LENGTH && expected.iter().zip(tag).fold(0, difference) == 0
    }
}

fn first_word(bytes: &[u8; LENGTH]) -> [u8; 8] {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[..8]);
    word
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let print = self.derive("fingerprint");
        write!(
            formatter,
            "Key({:02x}{:02x}{:02x}..)",
            print.0[0], print.0[1], print.0[2]
        )
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a key is 64 hexadecimal digits")
    }
}

impl std::error::Error for Malformed {}

impl FromStr for Key {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let text = text.trim().as_bytes();
        // The number parser would take a sign for a digit.
        if text.len() != 2 * LENGTH || !text.iter().all(u8::is_ascii_hexdigit) {
            return Err(Malformed);
        }
        let mut bytes = [0; LENGTH];
        for (byte, pair) in bytes.iter_mut().zip(text.chunks_exact(2)) {
            let digits = std::str::from_utf8(pair).map_err(|_| Malformed)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| Malformed)?;
        }
        Ok(Self(bytes))
    }
}
