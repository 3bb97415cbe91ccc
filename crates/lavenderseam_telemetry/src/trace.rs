//! Traces: one id along the path, a span for each hop.

use std::fmt;
use std::str::FromStr;
use std::time::{Instant, SystemTime};

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

/// One hop's share of a trace; logged when it ends.
#[derive(Debug)]
pub struct Span {
    hop: Hop,
    name: &'static str,
    trace: Id,
    start: SystemTime,
    begun: Instant,
}

impl Hop {
    /// The hop's name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Balancer => "balancer",
            Self::Agent => "agent",
            Self::Backend => "backend",
        }
    }
}

impl Span {
    /// Begins a span.
    #[must_use]
    pub fn new(hop: Hop, name: &'static str, trace: Id) -> Self {
        Self {
            hop,
            name,
            trace,
            start: SystemTime::now(),
            begun: Instant::now(),
        }
    }

    /// Ends the span; so does dropping it.
    pub fn end(self) {}
}

impl Drop for Span {
    fn drop(&mut self) {
        let duration_us = micros(self.begun.elapsed());
        let start_us = micros(
            self.start
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default(),
        );
        let (hop, name, trace) = (self.hop.name(), self.name, self.trace);
        spdlog::info!(
            "{hop}: span {name} took {duration_us} us",
            kv: { trace:, span = name, start_us, duration_us }
        );
    }
}

fn micros(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
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
        // The number parser would take a sign for a digit.
        if text.len() != 32 || !text.iter().all(u8::is_ascii_hexdigit) {
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

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a trace id is 32 hexadecimal digits")
    }
}

impl std::error::Error for Malformed {}
