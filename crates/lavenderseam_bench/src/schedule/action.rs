//! Faults and planned changes that a schedule can hold.

use std::fmt;

use super::reader::Reader;
use crate::Error;
use crate::launcher::Deployment;
use crate::standins::backend::Lie;

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Kills a process; it is started again after the duration, if one is given.
    Kill,
    /// Pauses a process for the duration.
    Freeze,
    /// Stops a process as planned and starts it again as soon as it has ended.
    Restart,
    /// Stops a process as planned; it is started again after the duration, if one is given.
    Stop,
    /// Drops packets between two processes, or forgets flows midway.
    Cut,
    /// Turns a backend server cold.
    Cold,
    /// Makes an endpoint of a backend server lie.
    Lie,
    /// Takes the object API down.
    StoreDown,
    /// Slows the object API.
    StoreSlow,
    /// Loses answers of the object API.
    StoreLoseAnswers,
    /// Takes a failure domain out.
    DomainOut,
    /// Brings a failure domain back.
    DomainIn,
    /// Drains a target; it serves again after the duration, if one is given.
    Drain,
    /// Has several operators edit one record at once.
    Race,
}

/// What it is done to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Nothing in particular: the object API.
    Store,
    /// A process by its name.
    Process(String),
    /// A target by its name.
    Target(String),
    /// A failure domain by its name.
    Domain(String),
    /// A service and a process between which packets are dropped.
    Pair {
        /// The service.
        service: String,
        /// The process.
        process: String,
    },
    /// A number of flows, the longest established first.
    Flows(usize),
    /// A target and the lie that it tells.
    Lie {
        /// The target.
        target: String,
        /// The lie.
        lie: Lie,
    },
    /// A delay in milliseconds.
    Delay(u64),
    /// A share of writes, in percent.
    Percent(u8),
}

/// One entry of a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// What is done.
    pub action: Action,
    /// What it is done to.
    pub subject: Subject,
    /// How long it holds, in milliseconds; 0 if it isn't undone.
    pub for_ms: u64,
}

impl Action {
    /// All actions with their names.
    pub const ALL: [(Self, &'static str); 14] = [
        (Self::Kill, "kill"),
        (Self::Freeze, "freeze"),
        (Self::Restart, "restart"),
        (Self::Stop, "stop"),
        (Self::Cut, "cut"),
        (Self::Cold, "cold"),
        (Self::Lie, "lie"),
        (Self::StoreDown, "store_down"),
        (Self::StoreSlow, "store_slow"),
        (Self::StoreLoseAnswers, "store_lose_answers"),
        (Self::DomainOut, "domain_out"),
        (Self::DomainIn, "domain_in"),
        (Self::Drain, "drain"),
        (Self::Race, "race"),
    ];

    /// The action's name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        let named = Self::ALL.iter().find(|(action, _)| *action == self);
        named.map_or("", |(_, name)| name)
    }

    fn named(text: &str) -> Option<Self> {
        let known = Self::ALL.iter().find(|(_, name)| *name == text);
        known.map(|(action, _)| *action)
    }

    /// What a subject of the action looks like.
    const fn allowed(self) -> &'static str {
        match self {
            Self::Kill | Self::Freeze | Self::Restart | Self::Stop => {
                "a process: balancer-N, agent-TARGET or backend-TARGET"
            }
            Self::Cut => "SERVICE/PROCESS, a process by itself, or flows:N",
            Self::Cold | Self::Drain => "a target of the deployment",
            Self::Lie => "TARGET:healthy, TARGET:unhealthy, TARGET:idle or TARGET:full",
            Self::StoreDown => "no subject",
            Self::StoreSlow => "a delay such as \"300ms\"",
            Self::StoreLoseAnswers => "a share such as \"50%\", at most 100%",
            Self::DomainOut | Self::DomainIn | Self::Race => "a failure domain of the deployment",
        }
    }
}

impl Fault {
    pub(crate) fn read(mut reader: Reader, deployment: &Deployment) -> Result<Self, Error> {
        let at_ms = reader.mandatory_count("at_ms")?;
        let names: Vec<&str> = Action::ALL.iter().map(|(_, name)| *name).collect();
        let names = names.join(", ");
        let text = reader.text("action", &names)?;
        let action = Action::named(&text)
            .ok_or_else(|| Error::setting(reader.key("action"), &text, &names))?;
        let text = reader.optional_text("subject", action.allowed())?;
        let subject = subject(action, &text, deployment)
            .ok_or_else(|| Error::setting(reader.key("subject"), &text, action.allowed()))?;
        let for_ms = reader.count("for_ms", 0)?;
        reader.finish("at_ms, action, subject, for_ms")?;
        Ok(Self {
            at_ms,
            action,
            subject,
            for_ms,
        })
    }
}

fn subject(action: Action, text: &str, deployment: &Deployment) -> Option<Subject> {
    match action {
        Action::Kill | Action::Freeze | Action::Restart | Action::Stop => {
            process(text, deployment).map(Subject::Process)
        }
        Action::Cut => cut(text, deployment),
        Action::Cold | Action::Drain => target(text, deployment).map(Subject::Target),
        Action::Lie => {
            let (name, lie) = text.split_once(':')?;
            let target = target(name, deployment)?;
            let lie = lie_named(lie)?;
            Some(Subject::Lie { target, lie })
        }
        Action::StoreDown => text.is_empty().then_some(Subject::Store),
        Action::StoreSlow => text.strip_suffix("ms")?.parse().ok().map(Subject::Delay),
        Action::StoreLoseAnswers => {
            let percent: u8 = text.strip_suffix('%')?.parse().ok()?;
            (percent <= 100).then_some(Subject::Percent(percent))
        }
        Action::DomainOut | Action::DomainIn | Action::Race => {
            let known = deployment.domains.contains(&text);
            known.then(|| Subject::Domain(text.to_owned()))
        }
    }
}

fn cut(text: &str, deployment: &Deployment) -> Option<Subject> {
    if let Some(count) = text.strip_prefix("flows:") {
        return count.parse().ok().map(Subject::Flows);
    }
    let Some((service, name)) = text.split_once('/') else {
        return process(text, deployment).map(Subject::Process);
    };
    let mut services = deployment.groups.iter();
    services.find(|group| group.name == service)?;
    Some(Subject::Pair {
        service: service.to_owned(),
        process: process(name, deployment)?,
    })
}

fn process(text: &str, deployment: &Deployment) -> Option<String> {
    let balancers = 0..deployment.balancers;
    let is_balancer = balancers
        .map(Deployment::balancer_name)
        .any(|name| name == text);
    let beside = text
        .strip_prefix("agent-")
        .or(text.strip_prefix("backend-"));
    let is_beside = beside.is_some_and(|name| target(name, deployment).is_some());
    (is_balancer || is_beside).then(|| text.to_owned())
}

fn target(text: &str, deployment: &Deployment) -> Option<String> {
    let known = deployment.placements().into_iter();
    known
        .map(|placement| placement.target)
        .find(|name| name == text)
}

fn lie_named(text: &str) -> Option<Lie> {
    match text {
        "healthy" => Some(Lie::Healthy),
        "unhealthy" => Some(Lie::Unhealthy),
        "idle" => Some(Lie::Idle),
        "full" => Some(Lie::Full),
        _ => None,
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Process(name) | Self::Target(name) | Self::Domain(name) => {
                formatter.write_str(name)
            }
            Self::Pair { service, process } => write!(formatter, "{service}/{process}"),
            Self::Flows(count) => write!(formatter, "flows:{count}"),
            Self::Lie { target, lie } => write!(formatter, "{target}:{lie:?}"),
            Self::Delay(milliseconds) => write!(formatter, "{milliseconds}ms"),
            Self::Percent(percent) => write!(formatter, "{percent}%"),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.action.as_str(), self.subject)
    }
}
