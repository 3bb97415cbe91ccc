//! Generates connection ids that encode this agent's target as the owner.

use std::time::Duration;

use lavenderseam_core::flow::Token;
use lavenderseam_core::id::Tag;
use lavenderseam_wire::{SymmetricKey, connection_id};
use quinn::{ConnectionId, ConnectionIdGenerator};

/// Generates connection ids that encode one target as the owner.
///
/// Accepts the ids of all targets as valid: a packet for a connection that the agent doesn't have
/// is answered with a stateless reset, whichever agent issued the id.
pub(crate) struct OwnerIdGenerator {
    key: SymmetricKey,
    owner: Tag,
}

impl OwnerIdGenerator {
    /// Creates a generator for a target's tag; `key` is derived for connection ids.
    pub(crate) fn new(key: SymmetricKey, owner: Tag) -> Self {
        Self { key, owner }
    }
}

impl ConnectionIdGenerator for OwnerIdGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let token = Token {
            owner: self.owner,
            nonce: rand::random(),
        };
        ConnectionId::new(&connection_id::encode(&self.key, token))
    }

    fn cid_len(&self) -> usize {
        connection_id::LENGTH
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
