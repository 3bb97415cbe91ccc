//! QUIC connection ids that encode the owner of a flow.
//!
//! Layout: the owner's target tag (8 bytes), a nonce (4 bytes), a truncated MAC under a key derived
//! from the shared key (4 bytes). A balancer reads the owner from any packet of an established flow
//! without keeping state for the flow. The MAC distinguishes these ids from the random id in a
//! caller's first packet.

use lavenderseam_core::flow::Token;
use lavenderseam_core::id::Tag;

use crate::SymmetricKey;

/// Length of an encoded connection id, in bytes.
pub const LENGTH: usize = 16;

/// Length of the part that the MAC covers, in bytes.
const AUTHENTICATED_LENGTH: usize = 12;

/// Encodes a token as a connection id; `key` is derived for connection ids.
#[must_use]
pub fn encode(key: &SymmetricKey, token: Token) -> [u8; LENGTH] {
    let mut id = [0; LENGTH];
    id[..8].copy_from_slice(&token.owner.0.to_be_bytes());
    id[8..AUTHENTICATED_LENGTH].copy_from_slice(&token.nonce.to_be_bytes());
    let mac = key.authentication_tag(&id[..AUTHENTICATED_LENGTH]);
    id[AUTHENTICATED_LENGTH..].copy_from_slice(&mac[..LENGTH - AUTHENTICATED_LENGTH]);
    id
}

/// Decodes a connection id; `None` if its length or MAC shows that no agent issued it.
#[must_use]
pub fn decode(key: &SymmetricKey, id: &[u8]) -> Option<Token> {
    let id: &[u8; LENGTH] = id.try_into().ok()?;
    let mac = key.authentication_tag(&id[..AUTHENTICATED_LENGTH]);
    if id[AUTHENTICATED_LENGTH..] != mac[..LENGTH - AUTHENTICATED_LENGTH] {
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
