//! Structured log on standard output, one JSON object per line.
//!
//! Lines are held in a bounded buffer and written without blocking, so a reader that has stopped
//! causes lost lines but never delays the process. Each [`LogKey`] has a limit of lines per
//! second; lines above it are counted, and the count is logged once a second.

mod event;
mod output;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lavenderseam_core::time::Instant;
use serde::Serialize;

pub use event::{DependencyChange, Event, LogKey, PacketAction};
use output::OutputBuffer;

/// Maximum number of lines per rate limit key and interval: enough to show a pattern without
/// flooding the log.
const MAX_LINES_PER_INTERVAL: u32 = 8;
/// Interval over which the lines of a rate limit key are counted.
const RATE_LIMIT_INTERVAL: Duration = Duration::from_secs(1);

/// Rate-limited log of one process.
#[derive(Debug)]
pub struct Log {
    /// Name of the process, which each line contains.
    process: String,
    state: RefCell<LogState>,
}

/// Output buffer, and the lines counted against rate limits in the current interval.
#[derive(Debug, Default)]
struct LogState {
    output: OutputBuffer,
    /// Number of lines per key in the current interval, suppressed ones included.
    line_counts: BTreeMap<LogKey, u32>,
    /// Start of the current interval.
    interval_start: Instant,
}

/// Line of the log, as serialized to JSON.
#[derive(Serialize)]
struct LogLine<'a> {
    /// Unix time in milliseconds; not monotonic.
    time: u64,
    process: &'a str,
    #[serde(flatten)]
    event: &'a Event,
}

impl Log {
    /// Creates the log of the process with this name.
    #[must_use]
    pub fn new(process: impl Into<String>) -> Self {
        Self {
            process: process.into(),
            state: RefCell::default(),
        }
    }

    /// Logs an event, unless the rate limit of its key is reached.
    pub fn write(&self, event: &Event, now: Instant) {
        if event
            .rate_limit_key()
            .is_none_or(|key| self.try_count_line(key))
        {
            let mut state = self.state.borrow_mut();
            self.push_line(&mut state, event);
            if event.rate_limit_key().is_none() {
                state.output.flush();
            }
        }
        self.flush(now);
    }

    /// Logs an event, which is built only if the rate limit of its key isn't reached.
    pub fn write_lazy(&self, key: LogKey, event: impl FnOnce() -> Event, now: Instant) {
        if self.try_count_line(key) {
            let event = event();
            self.push_line(&mut self.state.borrow_mut(), &event);
        }
        self.flush(now);
    }

    /// Counts a line against the rate limit of a key; returns `true` if the line may be logged.
    fn try_count_line(&self, key: LogKey) -> bool {
        let mut state = self.state.borrow_mut();
        let line_count = state.line_counts.entry(key).or_default();
        *line_count += 1;
        *line_count <= MAX_LINES_PER_INTERVAL
    }

    /// Writes buffered lines without blocking.
    ///
    /// Once per interval, logs the numbers of suppressed and lost lines and resets the counts.
    pub fn flush(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        if now.since(state.interval_start) >= RATE_LIMIT_INTERVAL {
            state.interval_start = now;
            for (key, line_count) in std::mem::take(&mut state.line_counts) {
                let lines = line_count.saturating_sub(MAX_LINES_PER_INTERVAL);
                if lines > 0 {
                    let (kind, reason) = (key.kind, key.reason);
                    self.push_line(
                        &mut state,
                        &Event::LinesSuppressed {
                            kind,
                            reason,
                            lines,
                        },
                    );
                }
            }
            let dropped_lines = state.output.take_dropped_lines();
            if dropped_lines > 0 {
                self.push_line(
                    &mut state,
                    &Event::LinesLost {
                        lines: dropped_lines,
                    },
                );
            }
            state.output.flush();
        }
    }

    /// Appends an event with the time and process name to the output buffer.
    fn push_line(&self, state: &mut LogState, event: &Event) {
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = LogLine {
            time: time.map_or(0, |time| {
                u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
            }),
            process: &self.process,
            event,
        };
        state.output.push_line(&line);
    }
}
