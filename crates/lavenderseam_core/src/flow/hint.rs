//! What an agent tells a balancer of a flow.

use super::Key;
use crate::id::Tag;

value! {
    /// Tells a balancer who owns a flow.
    #[derive(Copy)]
    pub struct Hint {
        /// The flow.
        pub flow: Key,
        /// Its owner.
        pub owner: Tag,
        /// Whether the caller has proved that it follows this owner.
        pub established: bool,
        /// Open flows of the owner, for spreading new ones.
        pub flows: u32,
    }
}
