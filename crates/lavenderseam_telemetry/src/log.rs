//! Logging, with the name of the component at the start of each line.
//!
//! Warnings and errors are written synchronously. Lines of the other levels are queued for a
//! background thread and dropped while its queue is full, so that logging never delays a packet.

use std::fmt::{self, Display};
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use spdlog::formatter::FullFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};

use crate::json_formatter;
use crate::trace;

/// Severity of a log line; as a setting, the minimum severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Failures.
    Error,
    /// Conditions that may lead to failures.
    Warn,
    /// Main events.
    #[default]
    Info,
    /// Details, such as single decisions.
    Debug,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Minimum severity that is logged.
    pub level: Level,
    /// Format of the lines.
    pub format: Format,
}

/// Writes the log lines of one component, with a trace ID if one is set.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Component that writes the lines; the field `part` of a JSON line.
    part: &'static str,
    trace: Option<trace::Id>,
}

/// Error when parsing a [`Level`]; holds the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseLevelError(pub String);

/// Configures logging to standard error. Must be called once, before the first line is logged.
///
/// If this fails, the error is logged with the default logger of the library, which stays in use.
pub fn init(settings: Settings) {
    match build_logger(settings) {
        Ok(logger) => spdlog::set_default_logger(Arc::new(logger)),
        Err(error) => Log::new("log").error(error),
    }
}

/// Creates a logger with a synchronous sink for warnings and errors, and an asynchronous one for
/// the rest.
fn build_logger(settings: Settings) -> Result<Logger, spdlog::Error> {
    let synchronous = stderr_sink(settings.format, synchronous_filter())?;
    let asynchronous = AsyncPoolSink::builder()
        .sink(stderr_sink(settings.format, LevelFilter::All)?)
        .level_filter(LevelFilter::MoreVerbose(spdlog::Level::Warn))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_| {})
        .build_arc()?;
    Logger::builder()
        .sink(synchronous)
        .sink(asynchronous)
        .level_filter(LevelFilter::MoreSevereEqual(settings.level.into()))
        .flush_level_filter(synchronous_filter())
        .build()
}

/// Returns the filter for the lines that are written synchronously.
fn synchronous_filter() -> LevelFilter {
    LevelFilter::MoreSevereEqual(spdlog::Level::Warn)
}

/// Creates a sink that writes lines of some levels to standard error.
fn stderr_sink(format: Format, filter: LevelFilter) -> Result<Arc<dyn Sink>, spdlog::Error> {
    let builder = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .level_filter(filter);
    let sink = match format {
        Format::Text => builder.formatter(FullFormatter::builder().source_location(false).build()),
        Format::Json => builder.formatter(json_formatter::JsonFormatter),
    };
    Ok(sink.build_arc()?)
}

impl Log {
    /// Creates the log of a component.
    #[must_use]
    pub const fn new(component: &'static str) -> Self {
        Self {
            part: component,
            trace: None,
        }
    }

    /// Returns this log with the trace ID added to every line.
    #[must_use]
    pub const fn with_trace(self, trace: trace::Id) -> Self {
        Self {
            part: self.part,
            trace: Some(trace),
        }
    }

    /// Logs a failure.
    pub fn error(&self, message: impl Display) {
        self.write(Level::Error, message);
    }

    /// Logs a condition that may lead to a failure.
    pub fn warn(&self, message: impl Display) {
        self.write(Level::Warn, message);
    }

    /// Logs a main event.
    pub fn info(&self, message: impl Display) {
        self.write(Level::Info, message);
    }

    /// Logs a detail, such as a single decision.
    pub fn debug(&self, message: impl Display) {
        self.write(Level::Debug, message);
    }

    /// Writes a line; the component becomes the field `part` of a JSON line.
    fn write(&self, level: Level, message: impl Display) {
        let level = spdlog::Level::from(level);
        let component = self.part;
        match self.trace {
            Some(trace) => spdlog::log!(level, "{component}: {message}", kv: { trace: }),
            None => spdlog::log!(level, "{component}: {message}"),
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

impl Display for ParseLevelError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(text) = self;
        write!(
            formatter,
            "invalid log level {text:?}, expected error, warn, info or debug"
        )
    }
}

impl std::error::Error for ParseLevelError {}

impl FromStr for Level {
    type Err = ParseLevelError;

    fn from_str(text: &str) -> Result<Self, ParseLevelError> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(ParseLevelError(text.to_owned())),
        }
    }
}
