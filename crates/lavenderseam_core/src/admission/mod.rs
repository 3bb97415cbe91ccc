//! Admission control for one backend server: adaptive request concurrency and new flows.
//!
//! A [`Window`] limits the concurrent requests to one backend server and adapts the limit to the
//! outcomes of requests. The limit starts at the configured cold capacity, grows while requests
//! succeed with the window full, and shrinks on refusals, errors, timeouts and latency jumps. A
//! burst of refusals, errors or timeouts, an unreachable backend server or a long period without
//! activity resets it to the cold capacity at once, because a backend server can become cold (by
//! a restart, for example) without reporting it. Load reports can only lower the limit.
//!
//! [`Window::check_admission`] decides whether the backend server accepts another flow.

mod capacity;
mod latency;
mod new_flow;
mod settings;
mod window;

pub use capacity::Capacity;
pub use new_flow::{Admission, NewFlow, Reason};
pub use settings::Settings;
pub use window::{Full, Outcome, Window};
