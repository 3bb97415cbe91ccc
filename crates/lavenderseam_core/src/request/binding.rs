//! Binding of a request to one incarnation of one agent.

use std::fmt;
use std::str::FromStr;

use crate::id::{Incarnation, Tag};
use crate::time::Instant;

/// Restricts a request to one incarnation of one agent.
///
/// The text form is `<incarnation>-<tag>-<issued>`, with decimal numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Binding {
    /// Incarnation of the agent process that issued the binding.
    pub incarnation: Incarnation,
    /// Target that the agent serves.
    pub target: Tag,
    /// When the binding was issued, by the agent's clock; unique within the incarnation.
    pub issued_at: Instant,
}

/// Error returned when a text isn't a valid [`Binding`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseBindingError;

impl fmt::Display for Binding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}-{}-{}",
            self.incarnation, self.target, self.issued_at
        )
    }
}

impl FromStr for Binding {
    type Err = ParseBindingError;

    fn from_str(text: &str) -> Result<Self, ParseBindingError> {
        let mut parts = text.split('-');
        let mut next = || parts.next()?.parse().ok();
        let binding = (|| {
            Some(Self {
                incarnation: Incarnation(next()?),
                target: Tag(next()?),
                issued_at: Instant(next()?),
            })
        })();
        match (binding, parts.next()) {
            (Some(binding), None) => Ok(binding),
            _ => Err(ParseBindingError),
        }
    }
}

impl fmt::Display for ParseBindingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .write_str("invalid request binding: expected three decimal numbers separated by '-'")
    }
}

impl std::error::Error for ParseBindingError {}
