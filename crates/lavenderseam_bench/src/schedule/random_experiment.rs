//! Random experiments, reproducible from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::experiment::DEFAULT_WARM_UP_SECONDS;
use super::{Action, Bound, Expectation, Experiment, Fault, ServiceLoad, Subject};
use crate::launcher::Deployment;
use crate::stand_ins::backend::FalseReport;

/// Length of the load of a random experiment, in seconds.
const LOAD_SECONDS: u64 = 14;
/// Range of the start times of faults, in milliseconds from the start of the load.
const FAULT_START_MS: std::ops::Range<u64> = 2_000..6_000;
/// Range of the durations of faults, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 1_000..4_000;
/// Measures that must be 0 under any combination of faults.
const MEASURES_EXPECTED_ZERO: [&str; 5] = [
    "answers_wrong",
    "ran_twice",
    "refused_but_ran",
    "wrong_service",
    "config_reverts",
];

/// Returns an experiment with two random faults, which may overlap; equal seeds give equal
/// experiments.
#[must_use]
pub fn random_experiment(deployment: Deployment, seed: u64) -> Experiment {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = vec![
        random_fault(&deployment, &mut rng),
        random_fault(&deployment, &mut rng),
    ];
    faults.sort_by_key(|fault| fault.at_ms);
    let groups = deployment.groups.iter();
    let load = groups
        .map(|group| (group.name.to_owned(), ServiceLoad::default()))
        .collect();
    let expect_zero = |measure: &&str| Expectation {
        measure: (*measure).to_owned(),
        bound: Bound::AtMost(0.0),
    };
    Experiment {
        about: format!("two faults drawn by seed {seed}"),
        ci: false,
        deployment,
        warm_up_seconds: DEFAULT_WARM_UP_SECONDS,
        seconds: LOAD_SECONDS,
        load,
        faults,
        expectations: MEASURES_EXPECTED_ZERO.iter().map(expect_zero).collect(),
    }
}

/// Draws a fault with a random action, subject, start time and duration.
fn random_fault(deployment: &Deployment, rng: &mut StdRng) -> Fault {
    let (action, _) = Action::ALL[rng.random_range(0..Action::ALL.len())];
    Fault {
        at_ms: rng.random_range(FAULT_START_MS),
        action,
        subject: random_subject(action, deployment, rng),
        for_ms: rng.random_range(FAULT_DURATION_MS),
    }
}

/// Draws a subject that an action allows.
fn random_subject(action: Action, deployment: &Deployment, rng: &mut StdRng) -> Subject {
    match action {
        Action::Kill | Action::Freeze | Action::Restart | Action::Stop => {
            Subject::Process(random_process(deployment, rng))
        }
        Action::Cut => random_cut_subject(deployment, rng),
        Action::Cold | Action::Drain => Subject::Target(random_target(deployment, rng)),
        Action::Lie => Subject::Lie {
            target: random_target(deployment, rng),
            lie: [
                FalseReport::Healthy,
                FalseReport::Unhealthy,
                FalseReport::Idle,
                FalseReport::Full,
            ][rng.random_range(0..4)],
        },
        Action::StoreDown => Subject::Store,
        Action::StoreRestore => Subject::AgeMs(rng.random_range(1_000..5_000)),
        Action::StoreSlow => Subject::DelayMs(rng.random_range(100..1_000)),
        Action::StoreLoseAnswers => Subject::Percent(rng.random_range(20..=100)),
        Action::DomainOut | Action::DomainIn | Action::Race => {
            let domains = deployment.domains;
            Subject::Domain(domains[rng.random_range(0..domains.len())].to_owned())
        }
    }
}

/// Draws a number of flows to drop, or a service and a balancer to separate.
fn random_cut_subject(deployment: &Deployment, rng: &mut StdRng) -> Subject {
    if rng.random_bool(0.5) {
        return Subject::Flows(rng.random_range(1..5));
    }
    let group = deployment.groups[rng.random_range(0..deployment.groups.len())];
    let balancer = rng.random_range(0..deployment.balancers);
    Subject::Link {
        service: group.name.to_owned(),
        process: Deployment::balancer_name(balancer),
    }
}

/// Draws the name of a balancer, an agent or a backend server.
fn random_process(deployment: &Deployment, rng: &mut StdRng) -> String {
    match rng.random_range(0..3) {
        0 => Deployment::balancer_name(rng.random_range(0..deployment.balancers)),
        1 => format!("agent-{}", random_target(deployment, rng)),
        _ => format!("backend-{}", random_target(deployment, rng)),
    }
}

/// Draws the name of a target of the deployment.
fn random_target(deployment: &Deployment, rng: &mut StdRng) -> String {
    let placements = deployment.placements();
    placements[rng.random_range(0..placements.len())]
        .target
        .clone()
}
