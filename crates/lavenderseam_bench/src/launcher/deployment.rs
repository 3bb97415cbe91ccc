//! The deployments and their sizes.

use crate::Error;

/// Balancers of each deployment.
const BALANCERS: usize = 3;

/// A deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Failure domains.
    pub domains: [&'static str; 3],
    /// The services, each with the group of the same name.
    pub groups: [Group; 2],
    /// Number of balancers.
    pub balancers: usize,
    /// Delay from callers to balancers, then on to another failure domain, in microseconds.
    pub delay_in_us: u64,
    /// Delay from agents to callers, in microseconds.
    pub delay_out_us: u64,
}

/// A group of backend servers and the service that it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// Name of the group and of its service.
    pub name: &'static str,
    /// Number of targets.
    pub targets: usize,
    /// Concurrent requests that one target bears.
    pub slots: u32,
    /// Connections that one target bears.
    pub connections: usize,
}

/// One target and where it lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Name of the target.
    pub target: String,
    /// Its group.
    pub group: Group,
    /// Its failure domain.
    pub domain: &'static str,
    /// Its position in the deployment, from 0.
    pub index: usize,
}

/// Names of the deployments.
const NAMES: &str = "\"khangai\" or \"fiji\"";

impl Deployment {
    /// The deployment of a name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Setting`] if no deployment has the name.
    pub fn named(name: &str) -> Result<Self, Error> {
        match name {
            "khangai" => Ok(Self::khangai()),
            "fiji" => Ok(Self::fiji()),
            _ => Err(Error::setting("deployment", name, NAMES)),
        }
    }

    /// Tsagaan Mör Trail Reports: 1 ms to callers, 1.5 ms between failure domains.
    #[must_use]
    pub const fn khangai() -> Self {
        Self {
            name: "khangai",
            domains: ["tsetserleg", "kharkhorin", "tariat"],
            groups: [
                Group::new("trail-status", 7, 4),
                Group::new("map-store", 3, 4),
            ],
            balancers: BALANCERS,
            delay_in_us: 2_500,
            delay_out_us: 1_000,
        }
    }

    /// Koroduct Networks: 1 ms to callers and between failure domains.
    #[must_use]
    pub const fn fiji() -> Self {
        Self {
            name: "fiji",
            domains: ["suva-a", "suva-b", "suva-c"],
            groups: [Group::new("ductview", 7, 9), Group::new("spanfetch", 3, 9)],
            balancers: BALANCERS,
            delay_in_us: 2_000,
            delay_out_us: 1_000,
        }
    }

    /// All targets, spread over the failure domains.
    #[must_use]
    pub fn placements(&self) -> Vec<Placement> {
        let mut placements = Vec::new();
        for group in self.groups {
            for number in 0..group.targets {
                placements.push(Placement {
                    target: format!("{}-{}", group.name, number + 1),
                    group,
                    domain: self.domains[number % self.domains.len()],
                    index: placements.len(),
                });
            }
        }
        placements
    }

    /// Failure domain of a balancer.
    #[must_use]
    pub fn balancer_domain(&self, index: usize) -> &'static str {
        self.domains[index % self.domains.len()]
    }

    /// Name of a balancer.
    #[must_use]
    pub fn balancer_name(index: usize) -> String {
        format!("balancer-{}", index + 1)
    }
}

impl Group {
    const fn new(name: &'static str, targets: usize, slots: u32) -> Self {
        Self {
            name,
            targets,
            slots,
            connections: 2_000,
        }
    }
}
