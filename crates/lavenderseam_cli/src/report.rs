//! What a command has to say.

use serde_json::Value;

use crate::Output;

/// What a command has to say, in both forms.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
}

impl Report {
    /// A report in both forms.
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
        }
    }

    /// The report in one form.
    #[must_use]
    pub fn print(&self, output: Output) -> String {
        match output {
            Output::Text => self.text.trim_end().to_owned(),
            Output::Json => format!("{:#}", self.json),
        }
    }
}
