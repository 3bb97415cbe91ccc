//! Errors when assembling and running an app.

use std::fmt;

/// Error when assembling or running an app.
#[derive(Debug)]
pub enum Error {
    /// No earlier plugin has inserted the resource; holds the name of its type.
    MissingResource(&'static str),
    /// A plugin can't start.
    Plugin {
        /// Name of the plugin.
        name: &'static str,
        /// Reason for the failure.
        cause: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A task panicked; holds its name.
    TaskPanicked(&'static str),
}

impl Error {
    /// Creates the error of a plugin that can't start.
    pub fn plugin(
        name: &'static str,
        cause: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        Self::Plugin {
            name,
            cause: cause.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingResource(resource) => write!(
                formatter,
                "no earlier plugin inserted the resource {resource}"
            ),
            Self::Plugin { name, cause } => write!(formatter, "{name} can't start: {cause}"),
            Self::TaskPanicked(name) => write!(formatter, "task {name} panicked"),
        }
    }
}

impl std::error::Error for Error {}
