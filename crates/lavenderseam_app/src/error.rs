//! Errors of assembling and running an app.

use std::fmt;

/// Error of assembling or running an app.
#[derive(Debug)]
pub enum Error {
    /// No earlier plugin has inserted the resource; holds the name of its type.
    Missing(&'static str),
    /// A plugin can't start.
    Plugin {
        /// Name of the plugin.
        part: &'static str,
        /// Reason for the failure.
        cause: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A task panicked; holds its name.
    Task(&'static str),
}

impl Error {
    /// Creates the error of a plugin that can't start.
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
            Self::Missing(resource) => write!(
                formatter,
                "no earlier plugin inserted the resource {resource}"
            ),
            Self::Plugin { part, cause } => write!(formatter, "{part} can't start: {cause}"),
            Self::Task(name) => write!(formatter, "task {name} panicked"),
        }
    }
}

impl std::error::Error for Error {}
