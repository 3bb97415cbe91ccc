//! The control plane that balancers and agents share: identity, records, membership, liveness.

mod gate;
mod identity;
mod methods;
mod phase;
mod settings;
mod views;

pub use gate::Gate;
pub use identity::{Identity, Role};
pub use methods::Methods;
pub use phase::Announcement;
pub use settings::Settings;
pub use views::Views;
