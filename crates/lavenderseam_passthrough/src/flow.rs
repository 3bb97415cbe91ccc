//! Flow identifiers, and hash maps keyed by flow.

use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasherDefault, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

use lavenderseam_core::rank::score;
use serde::{Deserialize, Serialize};

/// Identifies a flow by the addresses of its two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Flow {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Virtual address and port that the caller connected to.
    pub service: SocketAddrV4,
}

/// Error for a text that is not of the form "caller>service"; holds the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowParseError(pub String);

impl Flow {
    /// Creates the identifier of the flow between `caller` and `service`.
    #[must_use]
    pub const fn new(caller: SocketAddrV4, service: SocketAddrV4) -> Self {
        Self { caller, service }
    }

    /// Returns a 64-bit hash of both addresses, used for rendezvous hashing.
    ///
    /// The hash is the same in every process.
    #[must_use]
    pub fn rendezvous_key(self) -> u64 {
        score(pack_address(self.caller), pack_address(self.service))
    }
}

/// Packs an IP address and a port into one `u64`.
fn pack_address(address: SocketAddrV4) -> u64 {
    (u64::from(address.ip().to_bits()) << 16) | u64::from(address.port())
}

impl Hash for Flow {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.rendezvous_key());
    }
}

impl fmt::Display for Flow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}>{}", self.caller, self.service)
    }
}

impl FromStr for Flow {
    type Err = FlowParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.split_once('>').and_then(|(caller, service)| {
            Some(Self::new(caller.parse().ok()?, service.parse().ok()?))
        });
        parsed.ok_or_else(|| FlowParseError(text.to_owned()))
    }
}

impl fmt::Display for FlowParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "invalid flow {:?}: expected a form like 192.0.2.1:40000>198.51.100.1:443",
            self.0
        )
    }
}

impl std::error::Error for FlowParseError {}

impl Default for Flow {
    fn default() -> Self {
        let unspecified = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        Self::new(unspecified, unspecified)
    }
}

/// Hasher that returns a `u64` key unchanged, because the key of a flow is already a hash.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrehashedHasher(u64);

impl Hasher for PrehashedHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, key: u64) {
        self.0 = key;
    }
}

/// Hash map keyed by flow.
pub type FlowMap<V> = HashMap<Flow, V, BuildHasherDefault<PrehashedHasher>>;
