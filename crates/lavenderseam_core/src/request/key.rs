//! Idempotency key, which identifies a request that must not run twice.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum length of a key.
const MAX_KEY_BYTES: usize = 128;

/// Idempotency key of a request that must not run twice: 1 to 128 visible ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Arc<str>);

/// Error returned when a text isn't a valid [`IdempotencyKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseKeyError;

impl IdempotencyKey {
    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if !visible || text.is_empty() || text.len() > MAX_KEY_BYTES {
            return Err(ParseKeyError);
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Display for ParseKeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "invalid idempotency key: expected 1 to {MAX_KEY_BYTES} visible ASCII characters"
        )
    }
}

impl std::error::Error for ParseKeyError {}
