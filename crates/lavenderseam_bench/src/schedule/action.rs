//! Faults and planned changes of a schedule.

use std::fmt;

use super::table_reader::TableReader;
use crate::Error;
use crate::launcher::Deployment;
use crate::stand_ins::backend::FalseReport;

/// Kind of a fault or planned change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Kills a process with `SIGKILL`; the process is started again after the duration, if one is
    /// given.
    Kill,
    /// Pauses a process with `SIGSTOP` for the duration.
    Freeze,
    /// Stops a process gracefully with `SIGTERM` and starts it again as soon as it has exited.
    Restart,
    /// Stops a process gracefully with `SIGTERM`; the process is started again after the duration,
    /// if one is given.
    Stop,
    /// Drops the packets of a process, or between a service and a process, or makes the fabric
    /// drop flows that are in progress.
    Cut,
    /// Makes a backend server cold, so that it has the reduced capacity of one that has just
    /// started.
    Cold,
    /// Makes a backend server report false health or load.
    Lie,
    /// Makes the object API unavailable.
    StoreDown,
    /// Delays the responses of the object API.
    StoreSlow,
    /// Drops responses of the object API to writes that have taken effect.
    StoreLoseAnswers,
    /// Makes the object API unavailable for the duration, after which it returns with an older copy
    /// of its objects.
    StoreRestore,
    /// Takes a failure domain out of service.
    DomainOut,
    /// Brings a failure domain back into service.
    DomainIn,
    /// Drains a target; the drain is cancelled after the duration, if one is given.
    Drain,
    /// Has several operators edit the record of a failure domain concurrently.
    Race,
}

/// Subject of an action: what the action applies to, or its parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The object API.
    Store,
    /// Name of a process.
    Process(String),
    /// Name of a target.
    Target(String),
    /// Name of a failure domain.
    Domain(String),
    /// A service and a process; the packets between them are dropped.
    Link {
        /// Name of the service.
        service: String,
        /// Name of the process.
        process: String,
    },
    /// Number of flows to drop, oldest first.
    Flows(usize),
    /// A target whose backend server reports false health or load.
    Lie {
        /// Name of the target.
        target: String,
        /// False report that the backend server gives.
        lie: FalseReport,
    },
    /// Delay of each response, in milliseconds.
    DelayMs(u64),
    /// Age of the copy that the object API returns with, in milliseconds.
    AgeMs(u64),
    /// Share of the writes whose responses are dropped, in percent.
    Percent(u8),
}

/// One scheduled fault or planned change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Time at which the fault begins, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// Kind of the fault.
    pub action: Action,
    /// Subject of the fault.
    pub subject: Subject,
    /// Duration of the fault, in milliseconds; 0 if it is not undone.
    pub for_ms: u64,
}

impl Action {
    /// All actions with their names in experiment files.
    pub const ALL: [(Self, &'static str); 15] = [
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
        (Self::StoreRestore, "store_restore"),
        (Self::DomainOut, "domain_out"),
        (Self::DomainIn, "domain_in"),
        (Self::Drain, "drain"),
        (Self::Race, "race"),
    ];

    /// Returns the name of the action in experiment files.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        let entry = Self::ALL.iter().find(|(action, _)| *action == self);
        entry.map_or("", |(_, name)| name)
    }

    /// Returns the action with a name in experiment files; `None` if there is none.
    fn from_name(text: &str) -> Option<Self> {
        let entry = Self::ALL.iter().find(|(_, name)| *name == text);
        entry.map(|(action, _)| *action)
    }

    /// Describes the subjects that the action allows, for error messages.
    const fn subjects(self) -> &'static str {
        match self {
            Self::Kill | Self::Freeze | Self::Restart | Self::Stop => {
                "a process: balancer-N, agent-TARGET or backend-TARGET"
            }
            Self::Cut => "SERVICE/PROCESS, a process by itself, or flows:N",
            Self::Cold | Self::Drain => "a target of the deployment",
            Self::Lie => "TARGET:healthy, TARGET:unhealthy, TARGET:idle or TARGET:full",
            Self::StoreDown => "no subject",
            Self::StoreSlow => "a delay such as \"300ms\"",
            Self::StoreRestore => "the age of the copy such as \"4000ms\"",
            Self::StoreLoseAnswers => "a share such as \"50%\", at most 100%",
            Self::DomainOut | Self::DomainIn | Self::Race => "a failure domain of the deployment",
        }
    }
}

impl Fault {
    /// Parses one entry of the `fault` array of an experiment file.
    pub(crate) fn parse(mut reader: TableReader, deployment: &Deployment) -> Result<Self, Error> {
        let at_ms = reader.take_required_count("at_ms")?;
        let names: Vec<&str> = Action::ALL.iter().map(|(_, name)| *name).collect();
        let names = names.join(", ");
        let text = reader.take_string("action", &names)?;
        let action = Action::from_name(&text)
            .ok_or_else(|| Error::setting(reader.full_key("action"), &text, &names))?;
        let text = reader.take_optional_string("subject", action.subjects())?;
        let subject = parse_subject(action, &text, deployment)
            .ok_or_else(|| Error::setting(reader.full_key("subject"), &text, action.subjects()))?;
        let for_ms = reader.take_count("for_ms", 0)?;
        reader.finish("at_ms, action, subject, for_ms")?;
        Ok(Self {
            at_ms,
            action,
            subject,
            for_ms,
        })
    }
}

/// Parses the subject of an action; returns `None` if the action doesn't allow it.
fn parse_subject(action: Action, text: &str, deployment: &Deployment) -> Option<Subject> {
    match action {
        Action::Kill | Action::Freeze | Action::Restart | Action::Stop => {
            parse_process(text, deployment).map(Subject::Process)
        }
        Action::Cut => parse_cut_subject(text, deployment),
        Action::Cold | Action::Drain => parse_target(text, deployment).map(Subject::Target),
        Action::Lie => {
            let (name, lie) = text.split_once(':')?;
            let target = parse_target(name, deployment)?;
            let lie = parse_lie(lie)?;
            Some(Subject::Lie { target, lie })
        }
        Action::StoreDown => text.is_empty().then_some(Subject::Store),
        Action::StoreRestore => text.strip_suffix("ms")?.parse().ok().map(Subject::AgeMs),
        Action::StoreSlow => text.strip_suffix("ms")?.parse().ok().map(Subject::DelayMs),
        Action::StoreLoseAnswers => {
            let percent: u8 = text.strip_suffix('%')?.parse().ok()?;
            (percent <= 100).then_some(Subject::Percent(percent))
        }
        Action::DomainOut | Action::DomainIn | Action::Race => {
            let is_known = deployment.domains.contains(&text);
            is_known.then(|| Subject::Domain(text.to_owned()))
        }
    }
}

/// Parses the subject of the action `cut`: a number of flows, a service and a process, or a
/// process.
fn parse_cut_subject(text: &str, deployment: &Deployment) -> Option<Subject> {
    if let Some(count) = text.strip_prefix("flows:") {
        return count.parse().ok().map(Subject::Flows);
    }
    let Some((service, name)) = text.split_once('/') else {
        return parse_process(text, deployment).map(Subject::Process);
    };
    let mut services = deployment.groups.iter();
    services.find(|group| group.name == service)?;
    Some(Subject::Link {
        service: service.to_owned(),
        process: parse_process(name, deployment)?,
    })
}

/// Parses the name of a process; returns `None` if the deployment has no such process.
fn parse_process(text: &str, deployment: &Deployment) -> Option<String> {
    let balancers = 0..deployment.balancers;
    let is_balancer = balancers
        .map(Deployment::balancer_name)
        .any(|name| name == text);
    let target_name = text
        .strip_prefix("agent-")
        .or(text.strip_prefix("backend-"));
    let is_at_target = target_name.is_some_and(|name| parse_target(name, deployment).is_some());
    (is_balancer || is_at_target).then(|| text.to_owned())
}

/// Parses the name of a target; returns `None` if the deployment has no such target.
fn parse_target(text: &str, deployment: &Deployment) -> Option<String> {
    let placements = deployment.placements().into_iter();
    placements
        .map(|placement| placement.target)
        .find(|name| name == text)
}

/// Parses the false report of a backend server.
fn parse_lie(text: &str) -> Option<FalseReport> {
    match text {
        "healthy" => Some(FalseReport::Healthy),
        "unhealthy" => Some(FalseReport::Unhealthy),
        "idle" => Some(FalseReport::Idle),
        "full" => Some(FalseReport::Full),
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
            Self::Link { service, process } => write!(formatter, "{service}/{process}"),
            Self::Flows(count) => write!(formatter, "flows:{count}"),
            Self::Lie { target, lie } => write!(formatter, "{target}:{lie:?}"),
            Self::DelayMs(milliseconds) | Self::AgeMs(milliseconds) => {
                write!(formatter, "{milliseconds}ms")
            }
            Self::Percent(percent) => write!(formatter, "{percent}%"),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.action.as_str(), self.subject)
    }
}
