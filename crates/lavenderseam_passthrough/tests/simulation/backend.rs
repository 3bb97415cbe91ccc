//! Simulated backend server with slots, a request queue and flows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lavenderseam_passthrough::agent::Heartbeat;
use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::segment::{Flags, Segment};

use super::{Event, SERVICE, Simulation, TargetNode};

/// Requests that the backend server queues per slot.
const QUEUE_PER_SLOT: usize = 4;
/// Factor by which requests take longer while the backend server is cold.
const COLD_FACTOR: f64 = 1.6;
const RESPONSE_BYTES: u16 = 600;
/// Duration of a failed request, in microseconds.
const FAILURE_US: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct FlowState {
    initial_sequence: u32,
    open: bool,
    requested: bool,
    answered: bool,
}

/// Simulated backend server.
#[derive(Debug)]
pub struct Backend {
    pub service: String,
    slots: usize,
    seed: u32,
    /// Number of the current run; 0 while the backend server is stopped.
    pub run: u64,
    runs: u64,
    started_at: u64,
    heartbeats: u64,
    pub draining: bool,
    /// `true` if the backend server fails every request at once.
    pub fails_requests: bool,
    /// `true` if the backend server resets every request without a response.
    pub resets_requests: bool,
    /// Requests that the backend server has failed or reset.
    pub failed_requests: u64,
    warm_at_us: u64,
    flows: BTreeMap<Flow, FlowState>,
    running: usize,
    waiting: VecDeque<Flow>,
    /// Times at which the backend server accepted a SYN, in microseconds.
    pub syn_times: Vec<u64>,
    /// Requests that the backend server has completed.
    pub completed_requests: u64,
}

impl Backend {
    pub fn new(slots: usize, seed: u32) -> Self {
        let mut backend = Self {
            service: SERVICE.to_owned(),
            slots,
            seed,
            run: 0,
            runs: 0,
            started_at: 0,
            heartbeats: 0,
            draining: false,
            fails_requests: false,
            resets_requests: false,
            failed_requests: 0,
            warm_at_us: 0,
            flows: BTreeMap::new(),
            running: 0,
            waiting: VecDeque::new(),
            syn_times: Vec::new(),
            completed_requests: 0,
        };
        backend.start(0, Duration::ZERO);
        backend
    }

    pub fn start(&mut self, now_us: u64, cold: Duration) {
        self.runs += 1;
        self.run = self.runs;
        self.started_at = now_us;
        self.heartbeats = 0;
        self.draining = false;
        self.warm_at_us = now_us + cold.as_micros() as u64;
        self.running = 0;
    }

    pub fn stop(&mut self) {
        self.run = 0;
        self.flows.clear();
        self.waiting.clear();
    }

    pub fn holds_open(&self, flow: Flow) -> bool {
        self.run != 0 && self.flows.get(&flow).is_some_and(|state| state.open)
    }

    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    fn initial_sequence(&self, flow: Flow) -> u32 {
        (flow.rendezvous_key() as u32).wrapping_mul(self.seed) ^ self.run as u32
    }
}

impl TargetNode {
    /// Returns the next heartbeat of the backend server, or `None` if it is stopped.
    pub(super) fn next_heartbeat(&mut self, now_us: u64) -> Option<Heartbeat> {
        let backend = &mut self.backend;
        if backend.run == 0 {
            return None;
        }
        backend.heartbeats += 1;
        Some(Heartbeat {
            id: format!("backend-{}-{}", backend.seed, backend.run),
            started_at_ms: backend.started_at,
            sequence: backend.heartbeats,
            service: backend.service.clone(),
            address: self.address,
            domain: self.domain.clone(),
            draining: backend.draining,
            slots: backend.slots as u16,
            cold_remaining: Duration::from_micros(backend.warm_at_us.saturating_sub(now_us)),
        })
    }
}

impl Simulation {
    pub(super) fn on_backend_segment(&mut self, node: usize, segment: Segment, mark: u32) {
        let backend = &mut self.target_nodes[node].backend;
        if backend.run == 0 {
            return;
        }
        let flow = segment.flow;
        if segment.is_syn() {
            let initial_sequence = backend.initial_sequence(flow);
            let full = backend.waiting.len() >= backend.slots * QUEUE_PER_SLOT;
            if full && !backend.flows.contains_key(&flow) {
                self.schedule(0, Event::FromBackend(node, segment, Some(mark)));
                return;
            }
            backend.syn_times.push(self.now_us);
            backend.flows.entry(flow).or_insert(FlowState {
                initial_sequence,
                open: false,
                requested: false,
                answered: false,
            });
            let flags = Flags {
                syn: true,
                ack: true,
                ..Flags::default()
            };
            self.send_from_backend(node, flow, flags, initial_sequence, 0);
            return;
        }
        let initial_sequence = backend.flows.get(&flow).map(|state| state.initial_sequence);
        let acknowledged =
            initial_sequence.is_some_and(|initial_sequence| segment.acknowledges(initial_sequence));
        let Some(state) = backend.flows.get_mut(&flow).filter(|_| acknowledged) else {
            self.schedule(0, Event::FromBackend(node, segment, Some(mark)));
            return;
        };
        state.open = true;
        if segment.flags.fin {
            backend.flows.remove(&flow);
            let flags = Flags {
                ack: true,
                fin: true,
                ..Flags::default()
            };
            self.send_from_backend(node, flow, flags, 2, 0);
            return;
        }
        if segment.payload_length > 0 && backend.resets_requests {
            backend.failed_requests += 1;
            backend.flows.remove(&flow);
            let flags = Flags {
                rst: true,
                ..Flags::default()
            };
            self.send_from_backend(node, flow, flags, 1, 0);
            return;
        }
        if segment.payload_length > 0 && !state.requested {
            state.requested = true;
            if backend.running < backend.slots {
                self.run_request(node, flow);
            } else {
                backend.waiting.push_back(flow);
            }
        } else if state.answered {
            self.send_response(node, flow);
        }
    }

    pub(super) fn on_request_done(&mut self, node: usize, flow: Flow, run: u64) {
        let backend = &mut self.target_nodes[node].backend;
        if backend.run != run {
            return;
        }
        backend.running -= 1;
        backend.completed_requests += 1;
        if let Some(state) = backend.flows.get_mut(&flow) {
            state.answered = true;
            self.send_response(node, flow);
        }
        if let Some(next) = self.target_nodes[node].backend.waiting.pop_front() {
            self.run_request(node, next);
        }
    }

    fn run_request(&mut self, node: usize, flow: Flow) {
        let duration = self.request_duration(flow);
        let backend = &mut self.target_nodes[node].backend;
        backend.running += 1;
        let cold = if self.now_us < backend.warm_at_us {
            COLD_FACTOR
        } else {
            1.0
        };
        let run = backend.run;
        let duration = duration.mul_f64(cold).as_micros() as u64;
        let duration = if backend.fails_requests {
            FAILURE_US
        } else {
            duration
        };
        backend.failed_requests += u64::from(backend.fails_requests);
        self.schedule(duration, Event::RequestDone(node, flow, run));
    }

    fn send_response(&mut self, node: usize, flow: Flow) {
        let flags = Flags {
            ack: true,
            ..Flags::default()
        };
        self.send_from_backend(node, flow, flags, 1, RESPONSE_BYTES);
    }

    fn send_from_backend(
        &mut self,
        node: usize,
        flow: Flow,
        flags: Flags,
        sequence: u32,
        length: u16,
    ) {
        let segment = Segment {
            flow,
            flags,
            sequence,
            acknowledgment: 0,
            payload_length: length,
        };
        self.schedule(0, Event::FromBackend(node, segment, None));
    }
}
