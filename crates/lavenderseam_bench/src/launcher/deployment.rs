//! Descriptions of the deployments that the bench can start.

use crate::Error;

/// Number of balancers of each deployment.
const BALANCERS: usize = 3;

/// Size, names and network delays of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Names of the failure domains.
    pub domains: [&'static str; 3],
    /// Groups of backend servers; each serves the service of the same name.
    pub groups: [Group; 2],
    /// Number of balancers.
    pub balancers: usize,
    /// Delay from callers through a balancer to another failure domain, in microseconds.
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
    /// Maximum number of concurrent requests of one target.
    pub slots: u32,
    /// Maximum number of connections of one target.
    pub connections: usize,
}

/// A target with its group and failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Name of the target.
    pub target: String,
    /// Group that the target belongs to.
    pub group: Group,
    /// Failure domain that the target runs in.
    pub domain: &'static str,
    /// Index of the target in the deployment.
    pub index: usize,
}

/// Description of the expected value in errors about the name of a deployment.
const EXPECTED_NAMES: &str = "\"khangai\" or \"fiji\"";

impl Deployment {
    /// Returns the deployment with a name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidSetting`] if no deployment has the name.
    pub fn by_name(name: &str) -> Result<Self, Error> {
        match name {
            "khangai" => Ok(Self::khangai()),
            "fiji" => Ok(Self::fiji()),
            _ => Err(Error::setting("deployment", name, EXPECTED_NAMES)),
        }
    }

    /// Deployment of Tsagaan Mör Trail Reports: 1 ms to callers, 1.5 ms between failure domains.
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

    /// Deployment of Koroduct Networks: 1 ms to callers, 1 ms between failure domains.
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

    /// Returns all targets, spread over the failure domains.
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

    /// Returns the failure domain of a balancer.
    #[must_use]
    pub fn balancer_domain(&self, index: usize) -> &'static str {
        self.domains[index % self.domains.len()]
    }

    /// Returns the name of a balancer.
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
