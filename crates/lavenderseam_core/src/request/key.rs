//! The idempotency key of a request.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Longest accepted key, in bytes.
const LENGTH_LIMIT: usize = 128;

/// The idempotency key of a request that may not be repeated: 1 to 128 visible ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Arc<str>);

/// A text that is no idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Key {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for Key {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if !visible || text.is_empty() || text.len() > LENGTH_LIMIT {
            return Err(Malformed);
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "an idempotency key is 1 to {LENGTH_LIMIT} visible ASCII characters"
        )
    }
}

impl std::error::Error for Malformed {}
