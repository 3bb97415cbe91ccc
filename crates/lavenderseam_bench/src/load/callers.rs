//! The callers of all services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::check;
use super::client::{Client, Failure, Feed, Session};
use super::edit::EditOutcome;
use super::feed::{self, Sequence};
use super::flows::Flows;
use super::generator::{Generator, Plan};
use super::kind::Kind;
use super::tally::{Outcome, Tally};
use crate::schedule::Load;
use crate::standins::now_ms;

/// Time between two looks at the flows of a session.
const OBSERVE: Duration = Duration::from_millis(50);
/// Time that a feed may be silent.
const SILENCE: Duration = Duration::from_secs(2);
/// Time after the run in which answers still count.
const GRACE: Duration = Duration::from_secs(9);

/// The load of a run and what its callers see.
pub struct Callers<C: Client> {
    client: C,
    tally: Arc<Tally>,
    flows: Arc<Flows>,
    seed: u64,
}

/// One service as its callers know it.
#[derive(Clone)]
struct Service {
    name: Arc<str>,
    others: Arc<[String]>,
    load: Load,
}

/// What the tasks of one session share.
struct Caller<S> {
    number: usize,
    session: S,
    service: Service,
    tally: Arc<Tally>,
    flows: Arc<Flows>,
    start: Instant,
    seed: u64,
}

impl<C: Client> Callers<C> {
    /// Callers that use a client under a seed.
    #[must_use]
    pub fn new(client: C, seed: u64) -> Self {
        Self {
            client,
            tally: Arc::default(),
            flows: Arc::default(),
            seed,
        }
    }

    /// What the callers have seen.
    #[must_use]
    pub fn tally(&self) -> Arc<Tally> {
        Arc::clone(&self.tally)
    }

    /// The flows of the callers.
    #[must_use]
    pub fn flows(&self) -> Arc<Flows> {
        Arc::clone(&self.flows)
    }

    /// Runs the load of all services for a time and waits for the last answers.
    pub async fn run(
        &self,
        services: &[(String, SocketAddr)],
        load: &BTreeMap<String, Load>,
        length: Duration,
    ) {
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        let mut first = 0;
        for (index, (name, address)) in services.iter().enumerate() {
            let load = load.get(name).copied().unwrap_or_default();
            let others = services.iter().map(|(other, _)| other.clone());
            let service = Service {
                name: name.as_str().into(),
                others: others.filter(|other| other != name).collect(),
                load,
            };
            let callers = usize::try_from(load.callers).unwrap_or(1);
            let feeds = usize::try_from(load.feeds).unwrap_or(0);
            let open = |number| self.caller(number, *address, &service, start);
            let sharing: Vec<_> = (first..first + callers).map(open).collect();
            first += callers;
            let alone: Vec<_> = (first..first + feeds).map(open).collect();
            first += feeds;
            for caller in sharing.iter().chain(&alone) {
                tasks.spawn(observe(Arc::clone(caller), start + length));
            }
            for caller in alone {
                tasks.spawn(follow(caller, start + length));
            }
            let requests = Generator::new(&load, self.seed.wrapping_add(index as u64));
            tasks.spawn(send(requests, sharing, start, length));
        }
        while tasks.join_next().await.is_some() {}
    }

    fn caller(
        &self,
        number: usize,
        address: SocketAddr,
        service: &Service,
        start: Instant,
    ) -> Arc<Caller<C::Session>> {
        Arc::new(Caller {
            number,
            session: self.client.open(address),
            service: service.clone(),
            tally: Arc::clone(&self.tally),
            flows: Arc::clone(&self.flows),
            start,
            seed: self.seed,
        })
    }
}

/// Sends the requests of one service at their times.
async fn send<S: Session>(
    requests: Generator,
    callers: Vec<Arc<Caller<S>>>,
    start: Instant,
    length: Duration,
) {
    let mut tasks = JoinSet::new();
    for plan in requests.take_while(|plan| plan.at < length) {
        sleep_until(start + plan.at).await;
        let caller = Arc::clone(&callers[plan.caller]);
        tasks.spawn(async move { caller.request(plan).await });
        while tasks.try_join_next().is_some() {}
    }
    let rest = async { while tasks.join_next().await.is_some() {} };
    // What is still open after the longest deadline counts as unknown by its own timeout.
    let _ = timeout_at(start + length + GRACE, rest).await;
}

/// Looks at the flows of a session until the end.
async fn observe<S: Session>(caller: Arc<Caller<S>>, end: Instant) {
    while Instant::now() < end {
        sleep(OBSERVE).await;
        let counts = caller.session.flows();
        let broken = caller.session.broken();
        caller
            .flows
            .observe(caller.number, counts, &broken, now_ms());
    }
}

/// Follows a live feed until the end.
async fn follow<S: Session>(caller: Arc<Caller<S>>, end: Instant) {
    let mut feed = caller.session.feed("/feed");
    let mut sequence = Sequence::default();
    let mut heard = Instant::now();
    caller.tally.feeds(|counts| counts.opened += 1);
    while Instant::now() < end {
        let next = timeout_at(end, feed.next(SILENCE)).await;
        match next {
            Err(_) => break,
            Ok(Err(_)) => caller.tally.feeds(|counts| counts.silences += 1),
            Ok(Ok(event)) => {
                caller.event(&event.data, &mut sequence, heard.elapsed());
                heard = Instant::now();
            }
        }
    }
    let silence = millis(end.duration_since(heard));
    caller.tally.feeds(|counts| counts.silent(silence));
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl<S: Session> Caller<S> {
    fn event(&self, data: &str, sequence: &mut Sequence, silence: Duration) {
        let said = feed::read(data).filter(|said| said.service == *self.service.name);
        self.tally.feeds(|counts| {
            counts.silent(millis(silence));
            match said {
                Some(said) => sequence.take(said.sequence, counts),
                None => counts.wrong += 1,
            }
        });
    }

    async fn request(&self, plan: Plan) {
        let service = &self.service.name;
        self.tally.sent(plan.kind, service, plan.at);
        let sent = Instant::now();
        let outcome = match plan.kind {
            Kind::Lookup => self.look_up(plan.number).await,
            Kind::Edit => self.edit(plan.number).await,
            Kind::Download => self.download().await,
        };
        // Latency counts from the planned time, so a stalled sender doesn't hide it.
        let late = sent.duration_since(self.start).saturating_sub(plan.at);
        let took = sent.elapsed() + late;
        self.tally.ended(plan.kind, service, plan.at, took, outcome);
    }

    async fn look_up(&self, n: u64) -> Outcome {
        let path = format!("/lookup/{n}");
        match self.session.get(&path, Kind::Lookup.deadline()).await {
            Err(failure) => Outcome::Failed(failure),
            Ok(answer) if !check::is_answered(&answer) => Outcome::Failed(Failure::Unknown),
            Ok(answer) => judge(check::lookup(&answer, &self.service.name, n)),
        }
    }

    async fn edit(&self, n: u64) -> Outcome {
        let id = format!("{}-{}-{n}", self.service.name, self.seed);
        let body = Bytes::from(id.clone());
        let deadline = Kind::Edit.deadline();
        let outcome = match self.session.post("/edits", &id, body, deadline).await {
            Err(failure) => Outcome::Failed(failure),
            Ok(answer) if !check::is_answered(&answer) => Outcome::Failed(Failure::Unknown),
            Ok(answer) => judge(check::edit(&answer, &self.service.name, &id)),
        };
        let told = match outcome {
            Outcome::Answered | Outcome::Wrong(_) => EditOutcome::Answered,
            Outcome::Failed(Failure::NotRun) => EditOutcome::NotRun,
            Outcome::Failed(Failure::Unknown) => EditOutcome::Unknown,
        };
        self.tally.edit(id, told);
        outcome
    }

    async fn download(&self) -> Outcome {
        let bytes = self.service.load.download_bytes;
        let path = format!("/files/{bytes}");
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let others: Vec<&str> = self.service.others.iter().map(String::as_str).collect();
        match self.session.get(&path, Kind::Download.deadline()).await {
            Err(failure) => Outcome::Failed(failure),
            Ok(answer) if !check::is_answered(&answer) => Outcome::Failed(Failure::Unknown),
            Ok(answer) => judge(check::download(&answer, &self.service.name, &others, bytes)),
        }
    }
}

fn judge(checked: Result<(), check::Fault>) -> Outcome {
    match checked {
        Ok(()) => Outcome::Answered,
        Err(fault) => Outcome::Wrong(fault),
    }
}
