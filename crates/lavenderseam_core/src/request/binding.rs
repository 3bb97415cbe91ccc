//! The agent that a request is bound to.

use std::fmt;
use std::str::FromStr;

use crate::id::{Incarnation, Tag};
use crate::time::Instant;

/// Binds a request to one run of one agent; written `<incarnation>-<tag>-<issued>`, in decimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Binding {
    /// The agent's run.
    pub incarnation: Incarnation,
    /// The agent's target.
    pub target: Tag,
    /// When the agent issued the binding, on its own clock; unique within the run.
    pub issued: Instant,
}

/// A text that is no binding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Binding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}-{}-{}",
            self.incarnation, self.target, self.issued
        )
    }
}

impl FromStr for Binding {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut parts = text.split('-');
        let mut next = || parts.next()?.parse().ok();
        let binding = (|| {
            Some(Self {
                incarnation: Incarnation(next()?),
                target: Tag(next()?),
                issued: Instant(next()?),
            })
        })();
        match (binding, parts.next()) {
            (Some(binding), None) => Ok(binding),
            _ => Err(Malformed),
        }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a binding is three decimal numbers joined by '-'")
    }
}

impl std::error::Error for Malformed {}
