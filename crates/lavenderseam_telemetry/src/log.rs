//! Logs with a fixed prefix for each part.
//!
//! Warnings and errors are written at once. Other lines are written by a thread of their own and
//! are lost when it can't keep up, so that logging never delays a packet.

use std::fmt::{self, Display};
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use spdlog::formatter::FullFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};

use crate::line;
use crate::trace;

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

/// Writes the log lines of one part, under a trace if given one.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    part: &'static str,
    trace: Option<trace::Id>,
}

/// A text that names no level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownLevel(pub String);

/// Starts logging to standard error; call once, before the first line.
///
/// If the log library can't be set up so, its default logger stays in place and says why.
pub fn start(settings: Settings) {
    match logger(settings) {
        Ok(logger) => spdlog::set_default_logger(Arc::new(logger)),
        Err(error) => Log::new("log").error(error),
    }
}

fn logger(settings: Settings) -> Result<Logger, spdlog::Error> {
    let urgent = stream(settings.format, urgent_filter())?;
    let other = AsyncPoolSink::builder()
        .sink(stream(settings.format, LevelFilter::All)?)
        .level_filter(LevelFilter::MoreVerbose(spdlog::Level::Warn))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_| {})
        .build_arc()?;
    Logger::builder()
        .sink(urgent)
        .sink(other)
        .level_filter(LevelFilter::MoreSevereEqual(settings.level.into()))
        .flush_level_filter(urgent_filter())
        .build()
}

fn urgent_filter() -> LevelFilter {
    LevelFilter::MoreSevereEqual(spdlog::Level::Warn)
}

fn stream(format: Format, filter: LevelFilter) -> Result<Arc<dyn Sink>, spdlog::Error> {
    let builder = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .level_filter(filter);
    let sink = match format {
        Format::Text => builder.formatter(FullFormatter::builder().source_location(false).build()),
        Format::Json => builder.formatter(line::Json),
    };
    Ok(sink.build_arc()?)
}

impl Log {
    /// The log of a part.
    #[must_use]
    pub const fn new(part: &'static str) -> Self {
        Self { part, trace: None }
    }

    /// The same log under a trace.
    #[must_use]
    pub const fn with_trace(self, trace: trace::Id) -> Self {
        Self {
            part: self.part,
            trace: Some(trace),
        }
    }

    /// Logs a failure.
    pub fn error(&self, message: impl Display) {
        self.line(Level::Error, message);
    }

    /// Logs what may lead to a failure.
    pub fn warn(&self, message: impl Display) {
        self.line(Level::Warn, message);
    }

    /// Logs a main event.
    pub fn info(&self, message: impl Display) {
        self.line(Level::Info, message);
    }

    /// Logs a decision.
    pub fn debug(&self, message: impl Display) {
        self.line(Level::Debug, message);
    }

    fn line(&self, level: Level, message: impl Display) {
        let level = spdlog::Level::from(level);
        let part = self.part;
        match self.trace {
            Some(trace) => spdlog::log!(level, "{part}: {message}", kv: { trace: }),
            None => spdlog::log!(level, "{part}: {message}"),
        }
    }
}

impl From<Level> for spdlog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

impl Display for UnknownLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(text) = self;
        write!(
            formatter,
            "a level is error, warn, info or debug, not {text:?}"
        )
    }
}

impl std::error::Error for UnknownLevel {}

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
