//! Flows: which target a packet belongs to.

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
pub use packet::{Kind, Packet, Reason, TRAIL_LIMIT};
pub use router::Router;
pub use token::Token;
