//! A backend server with slots, a queue and flows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lavenderseam_passthrough::agent::Heartbeat;
use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::segment::{Flags, Segment};

use super::{Event, SERVICE, World};

/// Requests that it queues for each slot.
const QUEUE: usize = 4;
/// How much longer its work takes while it is cold.
const COLD: f64 = 1.6;
const ANSWER: u16 = 600;
/// Microseconds that a failure takes.
const FAILURE: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct Held {
    number: u32,
    open: bool,
    asked: bool,
    answered: bool,
}

/// A backend server.
#[derive(Debug)]
pub struct Backend {
    slots: usize,
    seed: u32,
    /// Counts its starts; 0 while it doesn't run.
    pub boot: u64,
    boots: u64,
    born: u64,
    beats: u64,
    pub draining: bool,
    /// Fails every request at once.
    pub fails: bool,
    /// Ends the flow of every request without an answer.
    pub breaks: bool,
    /// Requests that it failed or broke off.
    pub failed: u64,
    warm: u64,
    flows: BTreeMap<Flow, Held>,
    running: usize,
    waiting: VecDeque<Flow>,
    /// Openers that it took, and when.
    pub openers: Vec<u64>,
    /// Requests that it ran.
    pub ran: u64,
}

impl Backend {
    pub fn new(slots: usize, seed: u32) -> Self {
        let mut backend = Self {
            slots,
            seed,
            boot: 0,
            boots: 0,
            born: 0,
            beats: 0,
            draining: false,
            fails: false,
            breaks: false,
            failed: 0,
            warm: 0,
            flows: BTreeMap::new(),
            running: 0,
            waiting: VecDeque::new(),
            openers: Vec::new(),
            ran: 0,
        };
        backend.start(0, Duration::ZERO);
        backend
    }

    pub fn start(&mut self, now: u64, cold: Duration) {
        self.boots += 1;
        self.boot = self.boots;
        self.born = now;
        self.beats = 0;
        self.draining = false;
        self.warm = now + cold.as_micros() as u64;
        self.running = 0;
    }

    pub fn stop(&mut self) {
        self.boot = 0;
        self.flows.clear();
        self.waiting.clear();
    }

    pub fn holds_open(&self, flow: Flow) -> bool {
        self.boot != 0 && self.flows.get(&flow).is_some_and(|held| held.open)
    }

    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    pub(super) fn beat(&mut self, now: u64) -> Option<Heartbeat> {
        if self.boot == 0 {
            return None;
        }
        self.beats += 1;
        Some(Heartbeat {
            id: format!("backend-{}-{}", self.seed, self.boot),
            born: Some(self.born),
            sequence: self.beats,
            service: SERVICE.to_owned(),
            draining: self.draining,
            slots: self.slots as u16,
            cold: Duration::from_micros(self.warm.saturating_sub(now)),
        })
    }

    fn number(&self, flow: Flow) -> u32 {
        (flow.word() as u32).wrapping_mul(self.seed) ^ self.boot as u32
    }
}

impl World {
    pub(super) fn backend_receives(&mut self, node: usize, segment: Segment, mark: u32) {
        let backend = &mut self.nodes[node].backend;
        if backend.boot == 0 {
            return;
        }
        let flow = segment.flow;
        if segment.is_opener() {
            let number = backend.number(flow);
            let full = backend.waiting.len() >= backend.slots * QUEUE;
            if full && !backend.flows.contains_key(&flow) {
                self.at(0, Event::FromBackend(node, segment, Some(mark)));
                return;
            }
            backend.openers.push(self.now);
            backend.flows.entry(flow).or_insert(Held {
                number,
                open: false,
                asked: false,
                answered: false,
            });
            let flags = Flags {
                syn: true,
                ack: true,
                ..Flags::default()
            };
            self.reply(node, flow, flags, number, 0);
            return;
        }
        let number = backend.flows.get(&flow).map(|held| held.number);
        let fits = number.is_some_and(|number| segment.acknowledges(number));
        let Some(held) = backend.flows.get_mut(&flow).filter(|_| fits) else {
            self.at(0, Event::FromBackend(node, segment, Some(mark)));
            return;
        };
        held.open = true;
        if segment.flags.fin {
            backend.flows.remove(&flow);
            let flags = Flags {
                ack: true,
                fin: true,
                ..Flags::default()
            };
            self.reply(node, flow, flags, 2, 0);
            return;
        }
        if segment.length > 0 && backend.breaks {
            backend.failed += 1;
            backend.flows.remove(&flow);
            let flags = Flags {
                rst: true,
                ..Flags::default()
            };
            self.reply(node, flow, flags, 1, 0);
            return;
        }
        if segment.length > 0 && !held.asked {
            held.asked = true;
            if backend.running < backend.slots {
                self.run_request(node, flow);
            } else {
                backend.waiting.push_back(flow);
            }
        } else if held.answered {
            self.answer(node, flow);
        }
    }

    pub(super) fn done(&mut self, node: usize, flow: Flow, boot: u64) {
        let backend = &mut self.nodes[node].backend;
        if backend.boot != boot {
            return;
        }
        backend.running -= 1;
        backend.ran += 1;
        if let Some(held) = backend.flows.get_mut(&flow) {
            held.answered = true;
            self.answer(node, flow);
        }
        if let Some(next) = self.nodes[node].backend.waiting.pop_front() {
            self.run_request(node, next);
        }
    }

    fn run_request(&mut self, node: usize, flow: Flow) {
        let work = self.work(flow);
        let backend = &mut self.nodes[node].backend;
        backend.running += 1;
        let cold = if self.now < backend.warm { COLD } else { 1.0 };
        let boot = backend.boot;
        let work = work.mul_f64(cold).as_micros() as u64;
        let work = if backend.fails { FAILURE } else { work };
        backend.failed += u64::from(backend.fails);
        self.at(work, Event::Done(node, flow, boot));
    }

    fn answer(&mut self, node: usize, flow: Flow) {
        let flags = Flags {
            ack: true,
            ..Flags::default()
        };
        self.reply(node, flow, flags, 1, ANSWER);
    }

    fn reply(&mut self, node: usize, flow: Flow, flags: Flags, sequence: u32, length: u16) {
        let segment = Segment {
            flow,
            flags,
            sequence,
            acknowledgment: 0,
            length,
        };
        self.at(0, Event::FromBackend(node, segment, None));
    }
}
