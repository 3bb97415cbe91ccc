//! Experiments with two faults drawn by a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::experiment::WARM_UP_SECONDS;
use super::{Action, Bound, Expectation, Experiment, Fault, Load, Subject};
use crate::launcher::Deployment;
use crate::standins::backend::Lie;

/// Length of a drawn experiment, in seconds.
const SECONDS: u64 = 14;
/// Earliest and latest start of a fault, in milliseconds.
const START: std::ops::Range<u64> = 2_000..6_000;
/// Shortest and longest duration of a fault, in milliseconds.
const DURATION: std::ops::Range<u64> = 1_000..4_000;
/// Measures that must be 0 whatever happens.
const ZERO: [&str; 5] = [
    "answers_wrong",
    "ran_twice",
    "refused_but_ran",
    "wrong_service",
    "config_reverts",
];

/// The experiment of a seed: two faults that may overlap.
#[must_use]
pub fn mixed(deployment: Deployment, seed: u64) -> Experiment {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = vec![
        fault(&deployment, &mut random),
        fault(&deployment, &mut random),
    ];
    faults.sort_by_key(|fault| fault.at_ms);
    let groups = deployment.groups.iter();
    let load = groups
        .map(|group| (group.name.to_owned(), Load::default()))
        .collect();
    let zero = |measure: &&str| Expectation {
        measure: (*measure).to_owned(),
        bound: Bound::Most(0.0),
    };
    Experiment {
        about: format!("two faults drawn by seed {seed}"),
        ci: false,
        deployment,
        warm_up_seconds: WARM_UP_SECONDS,
        seconds: SECONDS,
        load,
        faults,
        expectations: ZERO.iter().map(zero).collect(),
    }
}

fn fault(deployment: &Deployment, random: &mut StdRng) -> Fault {
    let (action, _) = Action::ALL[random.random_range(0..Action::ALL.len())];
    Fault {
        at_ms: random.random_range(START),
        action,
        subject: subject(action, deployment, random),
        for_ms: random.random_range(DURATION),
    }
}

fn subject(action: Action, deployment: &Deployment, random: &mut StdRng) -> Subject {
    match action {
        Action::Kill | Action::Freeze | Action::Restart | Action::Stop => {
            Subject::Process(process(deployment, random))
        }
        Action::Cut => cut(deployment, random),
        Action::Cold | Action::Drain => Subject::Target(target(deployment, random)),
        Action::Lie => Subject::Lie {
            target: target(deployment, random),
            lie: [Lie::Healthy, Lie::Unhealthy, Lie::Idle, Lie::Full][random.random_range(0..4)],
        },
        Action::StoreDown => Subject::Store,
        Action::StoreSlow => Subject::Delay(random.random_range(100..1_000)),
        Action::StoreLoseAnswers => Subject::Percent(random.random_range(20..=100)),
        Action::DomainOut | Action::DomainIn | Action::Race => {
            let domains = deployment.domains;
            Subject::Domain(domains[random.random_range(0..domains.len())].to_owned())
        }
    }
}

fn cut(deployment: &Deployment, random: &mut StdRng) -> Subject {
    if random.random_bool(0.5) {
        return Subject::Flows(random.random_range(1..5));
    }
    let group = deployment.groups[random.random_range(0..deployment.groups.len())];
    let balancer = random.random_range(0..deployment.balancers);
    Subject::Pair {
        service: group.name.to_owned(),
        process: Deployment::balancer_name(balancer),
    }
}

fn process(deployment: &Deployment, random: &mut StdRng) -> String {
    match random.random_range(0..3) {
        0 => Deployment::balancer_name(random.random_range(0..deployment.balancers)),
        1 => format!("agent-{}", target(deployment, random)),
        _ => format!("backend-{}", target(deployment, random)),
    }
}

fn target(deployment: &Deployment, random: &mut StdRng) -> String {
    let placements = deployment.placements();
    placements[random.random_range(0..placements.len())]
        .target
        .clone()
}
