//! Flow routing: which target a packet is delivered to.
//!
//! A [`Router`] is the part that runs in balancers, an [`Owner`] the part that runs in agents.

mod hint;
mod key;
mod order;
pub mod owner;
mod packet;
pub mod router;
mod token;

pub use hint::Hint;
pub use key::Key;
pub use owner::Owner;
pub use packet::{Kind, MAX_VISITED_TARGETS, Packet, Reason};
pub use router::Router;
pub use token::Token;
