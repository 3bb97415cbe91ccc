//! Settings of the control plane.

use std::net::SocketAddr;
use std::path::PathBuf;

use lavenderseam_core::id;
use serde::{Deserialize, Serialize};

/// Settings of the control plane, which balancers and agents have in common: the `[control]` table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Failure domain that the process runs in.
    pub domain: id::Domain,
    /// Region that the process runs in.
    pub region: id::Region,
    /// UDP address for authenticated frames between processes.
    pub peer: SocketAddr,
    /// TCP address that RPC calls are served on.
    pub rpc: SocketAddr,
    /// TCP address of the platform's object API, the store of all records.
    pub store: SocketAddr,
    /// File that holds the shared key as 64 hexadecimal digits.
    pub key_file: PathBuf,
    /// RPC addresses of balancers to fetch the records from if the store is unreachable at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}
