//! Control plane of balancers and agents: replication of the records, registration in the store,
//! membership and health probes.
//!
//! [`ControlPlugin`] must be the first plugin of a daemon. It inserts the resources that the other
//! plugins use: [`Identity`], [`Views`], [`Gate`], [`Methods`], [`Announcement`], [`Echoes`],
//! [`Remote`] and the [`Metrics`](lavenderseam_telemetry::Metrics).

mod announcement;
mod clock;
mod control_state;
mod echoes;
mod gate;
mod identity;
mod methods;
mod plugin;
mod probe;
mod registration;
pub mod remote;
mod server;
mod settings;
mod status;
mod view_publisher;
mod views;

pub use announcement::Announcement;
pub use echoes::Echoes;
pub use gate::Gate;
pub use identity::{Identity, Role};
pub use methods::Methods;
pub use plugin::ControlPlugin;
pub use remote::Remote;
pub use settings::Settings;
pub use status::Status;
pub use views::Views;
