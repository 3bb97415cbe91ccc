//! Connection ids that name this agent as the owner.

use std::time::Duration;

use lavenderseam_core::flow::Token;
use lavenderseam_core::id::Tag;
use lavenderseam_wire::{Key, connection};
use quinn::{ConnectionId, ConnectionIdGenerator};

/// Hands out connection ids that name one target.
///
/// Ids of every target count as valid: a packet that reaches an agent without such a connection is
/// answered with a stateless reset, whoever handed the id out.
pub(crate) struct Generator {
    key: Key,
    owner: Tag,
}

impl Generator {
    /// `key` is derived for connection ids.
    pub(crate) fn new(key: Key, owner: Tag) -> Self {
        Self { key, owner }
    }
}

impl ConnectionIdGenerator for Generator {
    fn generate_cid(&mut self) -> ConnectionId {
        let token = Token {
            owner: self.owner,
            nonce: rand::random(),
        };
        ConnectionId::new(&connection::encode(&self.key, token))
    }

    fn cid_len(&self) -> usize {
        connection::LENGTH
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
