//! Settings that balancers and agents share.

use std::net::SocketAddr;
use std::path::PathBuf;

use lavenderseam_core::id;
use serde::{Deserialize, Serialize};

/// Settings that balancers and agents share: the `[control]` table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Failure domain that the process lives in.
    pub domain: id::Domain,
    /// Region that the process lives in.
    pub region: id::Region,
    /// Address for sealed frames (UDP).
    pub peer: SocketAddr,
    /// Address for remote calls (TCP).
    pub rpc: SocketAddr,
    /// Address of the platform's object API.
    pub store: SocketAddr,
    /// File with the shared key, 64 hexadecimal digits.
    pub key_file: PathBuf,
    /// Addresses for remote calls of balancers to join by while the store is away.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}
