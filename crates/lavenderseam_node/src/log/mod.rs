//! Structured logs on standard output: a JSON object a line.
//!
//! Lines are kept in a bounded buffer and written when the reader has room, so a reader that has
//! stopped costs lines and never time. Each kind of event, with the reason that it names, has a budget of lines a second; what
//! exceeds it is counted, and the count is logged once a second.

mod event;
mod output;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lavenderseam_core::time::Instant;
use serde::Serialize;

pub use event::{Change, Event, Key, Measure};
use output::Output;

/// Lines a second for each key: enough to see a pattern, little to write.
const BUDGET: u32 = 8;
/// Span of a budget.
const SPAN: Duration = Duration::from_secs(1);

/// The log of one process.
#[derive(Debug)]
pub struct Log {
    process: String,
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    output: Output,
    spent: BTreeMap<Key, u32>,
    since: Instant,
}

#[derive(Serialize)]
struct Line<'a> {
    /// Time of day in milliseconds since the epoch; it may jump.
    time: u64,
    process: &'a str,
    #[serde(flatten)]
    event: &'a Event,
}

impl Log {
    /// The log of a process with a name.
    #[must_use]
    pub fn new(process: impl Into<String>) -> Self {
        Self {
            process: process.into(),
            inner: RefCell::default(),
        }
    }

    /// Logs an event, unless the budget that it shares is spent.
    pub fn write(&self, event: &Event, now: Instant) {
        if event.key().is_none_or(|key| self.spend(key)) {
            let mut inner = self.inner.borrow_mut();
            self.line(&mut inner, event);
            if event.key().is_none() {
                inner.output.flush();
            }
        }
        self.flush(now);
    }

    /// Logs an event that is made only if the budget of its key isn't spent.
    pub fn write_with(&self, key: Key, event: impl FnOnce() -> Event, now: Instant) {
        if self.spend(key) {
            let event = event();
            self.line(&mut self.inner.borrow_mut(), &event);
        }
        self.flush(now);
    }

    /// Takes a line of a budget; returns whether there was one left.
    fn spend(&self, key: Key) -> bool {
        let mut inner = self.inner.borrow_mut();
        let spent = inner.spent.entry(key).or_default();
        *spent += 1;
        *spent <= BUDGET
    }

    /// Writes what is buffered as far as the reader has room, and begins new budgets.
    pub fn flush(&self, now: Instant) {
        let mut inner = self.inner.borrow_mut();
        if now.since(inner.since) >= SPAN {
            inner.since = now;
            for (key, spent) in std::mem::take(&mut inner.spent) {
                let lines = spent.saturating_sub(BUDGET);
                if lines > 0 {
                    let (of, reason) = (key.kind, key.reason);
                    self.line(&mut inner, &Event::Suppressed { of, reason, lines });
                }
            }
            let lost = inner.output.take_lost();
            if lost > 0 {
                self.line(&mut inner, &Event::Lost { lines: lost });
            }
            inner.output.flush();
        }
    }

    fn line(&self, inner: &mut Inner, event: &Event) {
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = Line {
            time: time.map_or(0, |time| {
                u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
            }),
            process: &self.process,
            event,
        };
        inner.output.line(&line);
    }
}
