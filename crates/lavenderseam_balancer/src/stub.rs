//! Stands in for the control plane's plugin: an empty view and an open gate.

use std::str::FromStr;

use lavenderseam_app::{App, Error, Plugin};
use lavenderseam_control::{Gate, Identity, Methods, Role, Views};
use lavenderseam_core::id::Incarnation;
use lavenderseam_telemetry::Metrics;
use lavenderseam_wire::Key;

use crate::Settings;

/// Stands in for the control plane's plugin.
pub struct ControlStub {
    settings: Settings,
}

impl ControlStub {
    /// The stub with the balancer's settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.clone(),
        }
    }
}

impl Plugin for ControlStub {
    fn build(&self, app: &mut App) -> Result<(), Error> {
        let control = &self.settings.control;
        let text = std::fs::read_to_string(&control.key_file);
        let text = text.map_err(|cause| Error::plugin("control", cause))?;
        let key = Key::from_str(&text).map_err(|cause| Error::plugin("control", cause))?;
        app.insert(Identity {
            role: Role::Balancer(self.settings.name.clone()),
            domain: control.domain.clone(),
            region: control.region.clone(),
            peer: control.peer,
            rpc: control.rpc,
            incarnation: Incarnation(u64::from(std::process::id())),
            key,
        });
        app.insert(Views::new());
        app.insert(Gate::default()).set(true);
        app.insert(Methods::default());
        app.insert(Metrics::new("lavenderseam"));
        Ok(())
    }
}
