//! Ownership hints, which agents send to balancers.

use super::Key;
use crate::id::Tag;

value! {
    /// Message by which an agent informs a balancer which target owns a flow.
    #[derive(Copy)]
    pub struct Hint {
        /// Flow that the hint is about.
        pub flow: Key,
        /// Target that owns the flow.
        pub owner: Tag,
        /// `true` if a packet from the caller has confirmed the connection with this owner.
        pub established: bool,
        /// Number of open flows at the owner, as input to load balancing.
        pub flows: u32,
    }
}
