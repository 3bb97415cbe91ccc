//! Flow keys and their hasher.

use std::fmt;
use std::hash::{BuildHasherDefault, Hasher};
use std::net::SocketAddr;

use xxhash_rust::xxh3::{Xxh3, xxh3_128_with_seed};

/// Identifier of a flow: a 128-bit hash of the caller's and the service's addresses.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Key(pub u128);

impl Key {
    /// Computes the key of the flow between two addresses; all processes must use the same seed.
    #[must_use]
    pub fn new(seed: u64, caller: SocketAddr, service: SocketAddr) -> Self {
        let mut hasher = Xxh3::with_seed(seed);
        for address in [caller, service] {
            match address.ip() {
                std::net::IpAddr::V4(ip) => hasher.update(&ip.octets()),
                std::net::IpAddr::V6(ip) => hasher.update(&ip.octets()),
            }
            hasher.update(&address.port().to_be_bytes());
        }
        Self(hasher.digest128())
    }

    /// Returns the key of one of several connections between the same two addresses, for transports
    /// whose initial packets carry a connection id chosen by the caller.
    #[must_use]
    pub fn with_connection_id(self, id: &[u8]) -> Self {
        Self(self.0 ^ xxh3_128_with_seed(id, self.fold_u64()))
    }

    /// Folds the key into 64 bits, for rendezvous ranking.
    #[must_use]
    pub fn fold_u64(self) -> u64 {
        (self.0 >> 64) as u64 ^ self.0 as u64
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Hasher of hash tables that are keyed by [`Key`].
pub(crate) type BuildFlowKeyHasher = BuildHasherDefault<FlowKeyHasher>;

/// Hasher that uses the bits of a key as they are: a key already is a hash, with a seed unknown to
/// callers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FlowKeyHasher(u64);

impl Hasher for FlowKeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.0 ^= u64::from_ne_bytes(word);
        }
    }

    fn write_u128(&mut self, word: u128) {
        self.0 ^= (word >> 64) as u64 ^ word as u64;
    }
}
