//! Re-exports of the most commonly used types.

pub use lavenderseam_agent::AgentPlugin;
pub use lavenderseam_app::{App, Plugin};
pub use lavenderseam_balancer::BalancerPlugin;
pub use lavenderseam_caller::Caller;
pub use lavenderseam_control::ControlPlugin;
pub use lavenderseam_core::catalog::{Catalog, Entry, Revision};
pub use lavenderseam_core::flow::{Owner, Router};
pub use lavenderseam_core::record::{Document, Record};
pub use lavenderseam_core::time::Instant;
pub use lavenderseam_core::view::View;
pub use lavenderseam_platform::Store;
pub use lavenderseam_telemetry::{Log, Metrics};
