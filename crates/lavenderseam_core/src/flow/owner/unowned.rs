//! Flows that nobody seemed to own.
//!
//! A view that lags may not know a target that has just joined, and then a walk ends without its
//! owner. So a flow is reset only after it has stayed without owner for longer than a view lags.

use std::collections::HashMap;
use std::time::Duration;

use crate::flow::Key;
use crate::flow::key::BuildKeyHasher;
use crate::time::Instant;

/// How long a flow must stay without owner before it is reset.
pub const RESET_DELAY: Duration = Duration::from_secs(3);
/// Silence after which a flow counts anew as without owner.
pub const RESET_MEMORY: Duration = Duration::from_secs(10);
/// Flows remembered at once.
const LIMIT: usize = 4_096;

/// When packets of a flow without owner came.
#[derive(Clone, Copy, Debug)]
struct Span {
    first: Instant,
    last: Instant,
}

/// Flows that nobody seemed to own.
#[derive(Clone, Debug, Default)]
pub(super) struct Unowned {
    spans: HashMap<Key, Span, BuildKeyHasher>,
}

impl Unowned {
    /// Notes a packet of a flow without owner; true once the flow is to be reset.
    pub(super) fn persists(&mut self, flow: Key, now: Instant) -> bool {
        if self.spans.len() >= LIMIT && !self.spans.contains_key(&flow) {
            self.forget(now);
        }
        let room = self.spans.len() < LIMIT;
        let started = Span {
            first: now,
            last: now,
        };
        let Some(span) = self.spans.get_mut(&flow) else {
            if room {
                self.spans.insert(flow, started);
            }
            return false;
        };
        if now.since(span.last) >= RESET_MEMORY {
            *span = started;
        }
        span.last = now;
        now.since(span.first) >= RESET_DELAY
    }

    fn forget(&mut self, now: Instant) {
        self.spans
            .retain(|_, span| now.since(span.last) < RESET_MEMORY);
    }
}
