//! Control plane of balancers and agents: replication of the records, registration in the store,
//! membership and health probes.
//!
//! [`ControlPlugin`] must be the first plugin of a daemon. It inserts the resources that the other
//! plugins use: [`Identity`], [`CurrentView`], [`ForwardingGate`], [`MethodRegistry`],
//! [`AnnouncedPhase`], [`ProbeReplies`], [`RpcClient`] and the
//! [`Metrics`](lavenderseam_telemetry::Metrics).

mod announced_phase;
mod clock;
mod control_state;
mod current_view;
mod forwarding_gate;
mod identity;
mod method_registry;
mod plugin;
mod probe;
mod probe_replies;
mod registration;
pub mod rpc;
mod server;
mod settings;
mod status;
mod view_publisher;

pub use announced_phase::AnnouncedPhase;
pub use current_view::CurrentView;
pub use forwarding_gate::ForwardingGate;
pub use identity::{Identity, Role};
pub use method_registry::MethodRegistry;
pub use plugin::ControlPlugin;
pub use probe_replies::ProbeReplies;
pub use rpc::RpcClient;
pub use settings::Settings;
pub use status::Status;
