//! Routing tokens, which packets of an established flow carry if the transport allows it.

use crate::id;

/// Identifies the target that owns a flow; encoded in the connection ids that the target issues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Token {
    /// Target that issued the token.
    pub owner: id::Tag,
    /// Number that distinguishes the connections of one target.
    pub nonce: u32,
}
