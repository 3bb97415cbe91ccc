//! Why an app can't be assembled or ended early.

use std::fmt;

/// Why an app can't be assembled or ended early.
#[derive(Debug)]
pub enum Error {
    /// No earlier plugin has inserted the resource; holds its type's name.
    Missing(&'static str),
    /// A plugin can't start.
    Plugin {
        /// The plugin's part.
        part: &'static str,
        /// The cause.
        cause: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A task panicked or failed; holds its name.
    Task(&'static str),
}

impl Error {
    /// An error of a plugin that can't start.
    pub fn plugin(
        part: &'static str,
        cause: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        Self::Plugin {
            part,
            cause: cause.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(resource) => write!(formatter, "no plugin provides {resource}"),
            Self::Plugin { part, cause } => write!(formatter, "{part} can't start: {cause}"),
            Self::Task(name) => write!(formatter, "task {name} ended abnormally"),
        }
    }
}

impl std::error::Error for Error {}
