//! Distributed tracing: one ID for all hops of a flow, and spans that each hop logs.

use std::fmt;
use std::str::FromStr;
use std::time::{Instant, SystemTime};

/// ID of a trace. The first connection ID of a flow carries it, and so do requests in the
/// `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Id(pub [u8; 16]);

/// Error when parsing an [`Id`] from a text that isn't 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseIdError;

/// Kind of process that a span was recorded in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// Process that uses the caller library.
    Caller,
    /// Balancer.
    Balancer,
    /// Agent beside a backend server.
    Agent,
    /// Backend server.
    Backend,
}

/// Operation of one hop within a trace, which is logged with its duration when it ends.
#[derive(Debug)]
pub struct Span {
    hop: Hop,
    name: &'static str,
    trace: Id,
    /// Wall-clock time of the start.
    wall_start: SystemTime,
    /// Monotonic time of the start, to measure the duration.
    started: Instant,
}

impl Hop {
    /// Returns the name of the hop in log lines.
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
    /// Creates a span that starts now.
    #[must_use]
    pub fn new(hop: Hop, name: &'static str, trace: Id) -> Self {
        Self {
            hop,
            name,
            trace,
            wall_start: SystemTime::now(),
            started: Instant::now(),
        }
    }

    /// Ends the span; so does dropping it.
    pub fn end(self) {}
}

impl Drop for Span {
    fn drop(&mut self) {
        let duration_us = microseconds(self.started.elapsed());
        let start_us = microseconds(
            self.wall_start
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

/// Returns a duration in microseconds.
fn microseconds(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for Id {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let text = text.as_bytes();
        // `from_str_radix` would also accept a sign.
        if text.len() != 32 || !text.iter().all(u8::is_ascii_hexdigit) {
            return Err(ParseIdError);
        }
        let mut bytes = [0; 16];
        for (byte, pair) in bytes.iter_mut().zip(text.chunks_exact(2)) {
            let digits = std::str::from_utf8(pair).map_err(|_| ParseIdError)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseIdError)?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("invalid trace ID, expected 32 hexadecimal digits")
    }
}

impl std::error::Error for ParseIdError {}
