//! Flows: which target a packet belongs to.

mod key;
mod token;

pub use key::Key;
pub use token::Token;
