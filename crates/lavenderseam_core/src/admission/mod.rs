//! What a backend server is given.
//!
//! A [`Window`] bounds the concurrent requests to one backend server by what it is observed to
//! bear. It starts at what a cold backend server bears, grows while requests succeed at the bound,
//! and shrinks on refusals, errors, timeouts and latency jumps. A burst of these, an unreachable
//! backend server or a long silence make it cold again at once, because a backend server may
//! lose its warmth without telling anyone. Reported load only ever lowers the bound.
//!
//! [`Window::admits`] decides whether another flow may be opened.

mod bounds;
mod latency;
mod opener;
mod settings;
mod window;

pub use bounds::Bounds;
pub use opener::{Admission, Opener, Reason};
pub use settings::Settings;
pub use window::{Full, Outcome, Window};
