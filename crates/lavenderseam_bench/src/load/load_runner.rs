//! Runs the callers of all services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::arrivals::{ArrivalGenerator, PlannedRequest};
use super::check;
use super::client::{Client, Feed, RequestError, Session};
use super::edit_result::EditOutcome;
use super::feed::{self, SequenceTracker};
use super::flow_tracker::FlowTracker;
use super::request_kind::RequestKind;
use super::statistics::{LoadStatistics, RequestResult};
use crate::schedule::ServiceLoad;
use crate::stand_ins::unix_time_ms;

/// Interval at which the flows of a session are polled.
const FLOW_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time without an event after which a gap in a feed is counted.
const FEED_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the end of the load during which responses still count.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_secs(9);

/// Runs the callers of all services and collects what they observe.
pub struct LoadRunner<C: Client> {
    client: C,
    statistics: Arc<LoadStatistics>,
    flow_tracker: Arc<FlowTracker>,
    seed: u64,
}

/// A service that is under load.
#[derive(Clone)]
struct LoadedService {
    name: Arc<str>,
    /// Names of the other services, to recognise their responses.
    other_services: Arc<[String]>,
    load: ServiceLoad,
}

/// One caller with its session, shared by the tasks that use the session.
struct CallerSession<S> {
    /// Number of the caller, unique in the run.
    number: usize,
    session: S,
    service: LoadedService,
    statistics: Arc<LoadStatistics>,
    flow_tracker: Arc<FlowTracker>,
    /// Start of the load.
    start: Instant,
    /// Seed of the run, which is part of the ids of edits.
    seed: u64,
}

impl<C: Client> LoadRunner<C> {
    /// Returns a runner whose callers use a client; the seed determines the times of the requests.
    #[must_use]
    pub fn new(client: C, seed: u64) -> Self {
        Self {
            client,
            statistics: Arc::default(),
            flow_tracker: Arc::default(),
            seed,
        }
    }

    /// Returns the statistics of the requests and feeds, which are updated during the run.
    #[must_use]
    pub fn statistics(&self) -> Arc<LoadStatistics> {
        Arc::clone(&self.statistics)
    }

    /// Returns the tracker of the callers' flows, which is updated during the run.
    #[must_use]
    pub fn flow_tracker(&self) -> Arc<FlowTracker> {
        Arc::clone(&self.flow_tracker)
    }

    /// Puts load on all services for a given time and waits for the last responses.
    pub async fn run(
        &self,
        services: &[(String, SocketAddr)],
        load: &BTreeMap<String, ServiceLoad>,
        duration: Duration,
    ) {
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        let mut next_caller = 0;
        for (index, (name, address)) in services.iter().enumerate() {
            let load = load.get(name).copied().unwrap_or_default();
            let other_names = services.iter().map(|(other, _)| other.clone());
            let service = LoadedService {
                name: name.as_str().into(),
                other_services: other_names.filter(|other| other != name).collect(),
                load,
            };
            let callers = usize::try_from(load.callers).unwrap_or(1);
            let feeds = usize::try_from(load.feeds).unwrap_or(0);
            let open = |number| self.open_caller(number, *address, &service, start);
            let request_callers: Vec<_> = (next_caller..next_caller + callers).map(open).collect();
            next_caller += callers;
            let feed_callers: Vec<_> = (next_caller..next_caller + feeds).map(open).collect();
            next_caller += feeds;
            for caller in request_callers.iter().chain(&feed_callers) {
                tasks.spawn(poll_flows(Arc::clone(caller), start + duration));
            }
            for caller in feed_callers {
                tasks.spawn(receive_feed(caller, start + duration));
            }
            let requests = ArrivalGenerator::new(&load, self.seed.wrapping_add(index as u64));
            tasks.spawn(send_requests(requests, request_callers, start, duration));
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Returns a caller with a new session to a service.
    fn open_caller(
        &self,
        number: usize,
        address: SocketAddr,
        service: &LoadedService,
        start: Instant,
    ) -> Arc<CallerSession<C::Session>> {
        Arc::new(CallerSession {
            number,
            session: self.client.open_session(address),
            service: service.clone(),
            statistics: Arc::clone(&self.statistics),
            flow_tracker: Arc::clone(&self.flow_tracker),
            start,
            seed: self.seed,
        })
    }
}

/// Sends the requests of one service at their planned times.
async fn send_requests<S: Session>(
    requests: ArrivalGenerator,
    callers: Vec<Arc<CallerSession<S>>>,
    start: Instant,
    duration: Duration,
) {
    let mut tasks = JoinSet::new();
    for request in requests.take_while(|request| request.offset < duration) {
        sleep_until(start + request.offset).await;
        let caller = Arc::clone(&callers[request.caller]);
        tasks.spawn(async move { caller.send_request(request).await });
        while tasks.try_join_next().is_some() {}
    }
    let remaining = async { while tasks.join_next().await.is_some() {} };
    // A request without a response after the longest deadline has timed out by itself, and counts
    // as a request with unknown outcome.
    let _ = timeout_at(start + duration + RESPONSE_GRACE_PERIOD, remaining).await;
}

/// Polls the flows of a session until the end of the load.
async fn poll_flows<S: Session>(caller: Arc<CallerSession<S>>, end: Instant) {
    while Instant::now() < end {
        sleep(FLOW_POLL_INTERVAL).await;
        let counts = caller.session.flow_counts();
        let broken = caller.session.broken_flow_addresses();
        caller
            .flow_tracker
            .record_session(caller.number, counts, &broken, unix_time_ms());
    }
}

/// Receives the events of a live feed until the end of the load.
async fn receive_feed<S: Session>(caller: Arc<CallerSession<S>>, end: Instant) {
    let mut feed = caller.session.open_feed("/feed");
    let mut sequence = SequenceTracker::default();
    let mut last_event_at = Instant::now();
    caller.statistics.update_feeds(|counts| counts.opened += 1);
    while Instant::now() < end {
        let next = timeout_at(end, feed.next(FEED_SILENCE_TIMEOUT)).await;
        match next {
            Err(_) => break,
            Ok(Err(_)) => caller
                .statistics
                .update_feeds(|counts| counts.silences += 1),
            Ok(Ok(event)) => {
                caller.record_event(&event.data, &mut sequence, last_event_at.elapsed());
                last_event_at = Instant::now();
            }
        }
    }
    let silence = as_millis(end.duration_since(last_event_at));
    caller
        .statistics
        .update_feeds(|counts| counts.record_silence(silence));
}

/// Returns a duration in whole milliseconds.
fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl<S: Session> CallerSession<S> {
    /// Records an event that the caller's feed received after a period without events.
    fn record_event(&self, data: &str, sequence: &mut SequenceTracker, silence: Duration) {
        let event = feed::parse_event(data).filter(|event| event.service == *self.service.name);
        self.statistics.update_feeds(|counts| {
            counts.record_silence(as_millis(silence));
            match event {
                Some(event) => sequence.record(event.sequence, counts),
                None => counts.wrong += 1,
            }
        });
    }

    /// Sends a request, checks its response and records the result.
    async fn send_request(&self, request: PlannedRequest) {
        let service = &self.service.name;
        self.statistics
            .record_sent(request.kind, service, request.offset);
        let sent_at = Instant::now();
        let result = match request.kind {
            RequestKind::Lookup => self.look_up(request.sequence_number).await,
            RequestKind::Edit => self.send_edit(request.sequence_number).await,
            RequestKind::Download => self.download().await,
        };
        // Latency is measured from the planned time, so that a stalled sender doesn't hide it
        // (coordinated omission).
        let send_delay = sent_at
            .duration_since(self.start)
            .saturating_sub(request.offset);
        let latency = sent_at.elapsed() + send_delay;
        self.statistics
            .record_result(request.kind, service, request.offset, latency, result);
    }

    /// Sends a lookup and checks the response.
    async fn look_up(&self, n: u64) -> RequestResult {
        let path = format!("/lookup/{n}");
        match self
            .session
            .get(&path, RequestKind::Lookup.deadline())
            .await
        {
            Err(error) => RequestResult::Error(error),
            Ok(response) if !check::is_ok(&response) => RequestResult::Error(RequestError::Unknown),
            Ok(response) => classify(check::lookup(&response, &self.service.name, n)),
        }
    }

    /// Sends an edit, checks the response and records the outcome that is reported to its caller.
    async fn send_edit(&self, n: u64) -> RequestResult {
        let id = format!("{}-{}-{n}", self.service.name, self.seed);
        let body = Bytes::from(id.clone());
        let deadline = RequestKind::Edit.deadline();
        let result = match self.session.post("/edits", &id, body, deadline).await {
            Err(error) => RequestResult::Error(error),
            Ok(response) if !check::is_ok(&response) => RequestResult::Error(RequestError::Unknown),
            Ok(response) => classify(check::edit(&response, &self.service.name, &id)),
        };
        let outcome = match result {
            RequestResult::Answered | RequestResult::Invalid(_) => EditOutcome::Answered,
            RequestResult::Error(RequestError::NotExecuted) => EditOutcome::NotRun,
            RequestResult::Error(RequestError::Unknown) => EditOutcome::Unknown,
        };
        self.statistics.record_edit(id, outcome);
        result
    }

    /// Downloads a file and checks the response.
    async fn download(&self) -> RequestResult {
        let bytes = self.service.load.download_bytes;
        let path = format!("/files/{bytes}");
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let others: Vec<&str> = self
            .service
            .other_services
            .iter()
            .map(String::as_str)
            .collect();
        match self
            .session
            .get(&path, RequestKind::Download.deadline())
            .await
        {
            Err(error) => RequestResult::Error(error),
            Ok(response) if !check::is_ok(&response) => RequestResult::Error(RequestError::Unknown),
            Ok(response) => classify(check::download(
                &response,
                &self.service.name,
                &others,
                bytes,
            )),
        }
    }
}

/// Returns the result of a request whose response has been checked.
fn classify(result: Result<(), check::ResponseError>) -> RequestResult {
    match result {
        Ok(()) => RequestResult::Answered,
        Err(error) => RequestResult::Invalid(error),
    }
}
