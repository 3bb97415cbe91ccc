//! Connection ids that name the owner of a flow.
//!
//! Layout: the owner's tag (8 bytes), a nonce (4 bytes), a check under the shared key (4 bytes).
//! A balancer reads the owner from any packet of an established flow and needs no state for it;
//! the check tells ids of ours from the random one that a caller opens with.

use lavenderseam_core::flow::Token;
use lavenderseam_core::id::Tag;

use crate::Key;

/// Length of a connection id, in bytes.
pub const LENGTH: usize = 16;

/// Bytes that the check covers.
const COVERED: usize = 12;

/// Encodes a token as a connection id; `key` is derived for this purpose.
#[must_use]
pub fn encode(key: &Key, token: Token) -> [u8; LENGTH] {
    let mut id = [0; LENGTH];
    id[..8].copy_from_slice(&token.owner.0.to_be_bytes());
    id[8..COVERED].copy_from_slice(&token.nonce.to_be_bytes());
    let tag = key.tag(&id[..COVERED]);
    id[COVERED..].copy_from_slice(&tag[..LENGTH - COVERED]);
    id
}

/// Decodes a connection id; none if it isn't one of ours.
#[must_use]
pub fn decode(key: &Key, id: &[u8]) -> Option<Token> {
    let id: &[u8; LENGTH] = id.try_into().ok()?;
    let tag = key.tag(&id[..COVERED]);
    if id[COVERED..] != tag[..LENGTH - COVERED] {
        return None;
    }
    let mut owner = [0; 8];
    owner.copy_from_slice(&id[..8]);
    let nonce = u32::from_be_bytes([id[8], id[9], id[10], id[11]]);
    Some(Token {
        owner: Tag(u64::from_be_bytes(owner)),
        nonce,
    })
}
