//! Traces: one id along the path, a span for each hop.

use std::fmt;
use std::str::FromStr;

/// Identity of a trace; the first connection id of a flow carries it, and requests carry it in the
/// `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Id(pub [u8; 16]);

/// A text that is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// The process that a span was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// The caller.
    Caller,
    /// A balancer.
    Balancer,
    /// An agent.
    Agent,
    /// A backend server.
    Backend,
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for Id {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let text = text.as_bytes();
        if text.len() != 32 {
            return Err(Malformed);
        }
        let mut id = [0; 16];
        for (byte, pair) in id.iter_mut().zip(text.chunks_exact(2)) {
            let digits = std::str::from_utf8(pair).map_err(|_| Malformed)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| Malformed)?;
        }
        Ok(Self(id))
    }
}
