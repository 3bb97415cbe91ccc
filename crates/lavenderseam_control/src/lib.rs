//! The control plane that balancers and agents share: identity, records, membership, liveness.
//!
//! [`ControlPlugin`] is the first plugin of every daemon; the others use the resources that it
//! inserts: [`Identity`], [`Views`], [`Gate`], [`Methods`], [`Announcement`], [`Echoes`], [`Remote`] and the
//! metrics.

mod announce;
mod clock;
mod echoes;
mod gate;
mod identity;
mod methods;
mod phase;
mod plugin;
mod probe;
mod publish;
pub mod remote;
mod server;
mod settings;
mod shared;
mod status;
mod views;

pub use echoes::Echoes;
pub use gate::Gate;
pub use identity::{Identity, Role};
pub use methods::Methods;
pub use phase::Announcement;
pub use plugin::ControlPlugin;
pub use remote::Remote;
pub use settings::Settings;
pub use status::Status;
pub use views::Views;
