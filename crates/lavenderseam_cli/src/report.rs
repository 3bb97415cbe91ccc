//! Results of commands.

use serde_json::Value;

use crate::Output;

/// Result of a command, as text and as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Human-readable text.
    pub text: String,
    /// Machine-readable value.
    pub json: Value,
}

impl Report {
    /// Creates a report from its text and its JSON value.
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
        }
    }

    /// Renders the report in the given format.
    #[must_use]
    pub fn render(&self, output: Output) -> String {
        match output {
            Output::Text => self.text.trim_end().to_owned(),
            Output::Json => format!("{:#}", self.json),
        }
    }
}
