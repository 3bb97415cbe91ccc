//! The owner's mark that packets of an established flow carry where the transport has room.

use crate::id;

/// Names the target that owns a flow; carried in the connection ids that the target hands out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Token {
    /// The target that handed it out.
    pub owner: id::Tag,
    /// Distinguishes the connections of one target.
    pub nonce: u32,
}
