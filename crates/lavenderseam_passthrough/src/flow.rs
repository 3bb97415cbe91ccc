//! Identity of a flow, and tables of flows.

use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasherDefault, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

use lavenderseam_core::rank::score;
use serde::{Deserialize, Serialize};

/// The two ends of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Flow {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the service that the caller asked for.
    pub service: SocketAddrV4,
}

/// A flow's text is not of the form "caller>service".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError(pub String);

impl Flow {
    /// The flow between a caller and a service.
    #[must_use]
    pub const fn new(caller: SocketAddrV4, service: SocketAddrV4) -> Self {
        Self { caller, service }
    }

    /// A word for ranking targets, the same in every process.
    #[must_use]
    pub fn word(self) -> u64 {
        score(endpoint(self.caller), endpoint(self.service))
    }
}

/// An endpoint packed into one word.
fn endpoint(address: SocketAddrV4) -> u64 {
    (u64::from(address.ip().to_bits()) << 16) | u64::from(address.port())
}

impl Hash for Flow {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.word());
    }
}

impl fmt::Display for Flow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}>{}", self.caller, self.service)
    }
}

impl FromStr for Flow {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.split_once('>').and_then(|(caller, service)| {
            Some(Self::new(caller.parse().ok()?, service.parse().ok()?))
        });
        parsed.ok_or_else(|| ParseError(text.to_owned()))
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "flow {:?} is not of the form 192.0.2.1:40000>198.51.100.1:443",
            self.0
        )
    }
}

impl std::error::Error for ParseError {}

impl Default for Flow {
    fn default() -> Self {
        let unspecified = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        Self::new(unspecified, unspecified)
    }
}

/// Passes a word that is a hash already on.
#[derive(Clone, Copy, Debug, Default)]
pub struct WordHasher(u64);

impl Hasher for WordHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, word: u64) {
        self.0 = word;
    }
}

/// A table with a value for each flow.
pub type Table<V> = HashMap<Flow, V, BuildHasherDefault<WordHasher>>;
