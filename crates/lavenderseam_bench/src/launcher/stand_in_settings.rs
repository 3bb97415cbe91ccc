//! Builds the settings of a cluster's stand-ins.

use super::{Cluster, Deployment, Options, Placement, System};
use crate::stand_ins::{backend, fabric, hashing};

impl Cluster {
    pub(super) fn fabric_settings(&self, options: &Options) -> fabric::Settings {
        let services = 0..self.deployment.groups.len();
        let balancers = 0..self.deployment.balancers;
        fabric::Settings {
            services: services.map(|index| self.network.service(index)).collect(),
            ingress: self.network.ingress(),
            egress: self.network.egress(),
            control: self.network.fabric_control(),
            balancers: balancers
                .map(|index| fabric::Balancer {
                    name: Deployment::balancer_name(index),
                    address: match options.system {
                        System::Lavenderseam => self.network.balancer_fabric(index),
                        System::Hashing => self.network.hashing(index),
                    },
                })
                .collect(),
            delay_in_us: self.deployment.delay_in_us,
            delay_out_us: self.deployment.delay_out_us,
            seed: options.seed,
        }
    }

    pub(super) fn hashing_settings(&self, index: usize) -> hashing::Settings {
        let services = self.deployment.groups.iter().enumerate();
        let target = |placement: &Placement| hashing::Target {
            name: placement.target.clone(),
            group: placement.group.name.to_owned(),
            domain: placement.domain.to_owned(),
            peer: self.network.agent_peer(placement.index),
            backend: self.network.backend(placement.index),
        };
        hashing::Settings {
            address: self.network.hashing(index),
            key_file: self.credentials.key_file.clone(),
            store: self.network.object_api(),
            services: services
                .map(|(index, group)| hashing::Service {
                    address: self.network.service(index),
                    group: group.name.to_owned(),
                })
                .collect(),
            targets: self.placements.iter().map(target).collect(),
        }
    }

    pub(super) fn backend_settings(
        &self,
        placement: &Placement,
        options: &Options,
    ) -> backend::Settings {
        backend::Settings {
            target: placement.target.clone(),
            service: placement.group.name.to_owned(),
            address: self.network.backend(placement.index),
            control: self.network.backend_control(placement.index),
            slots: placement.group.slots,
            connections: placement.group.connections,
            cold_ms: options.cold_ms,
            ramp_ms: options.ramp_ms,
            work_ms: options.work_ms,
            cold: false,
            journal: self.journal_path(placement),
        }
    }
}
