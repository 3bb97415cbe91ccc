//! Simulated caller that sends one request, in up to three attempts.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::segment::{Flags, Segment};

use super::{CALLER_LATENCY_US, Event, Simulation, VIRTUAL_ADDRESS};

const REQUEST_BYTES: u16 = 900;
const MAX_RETRIES: u32 = 2;
const RETRY_DELAY_US: u64 = 50_000;
/// Delays from the first SYN of an attempt until its retransmissions and until the caller gives it
/// up, in microseconds.
const SYN_RETRANSMISSION_US: [u64; 2] = [200_000, 600_000];
const SYN_TIMEOUT_US: u64 = 1_400_000;
const DEADLINE_US: u64 = 3_000_000;

/// Outcome of a request, or that it is still pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request is in progress.
    Pending,
    /// The caller has received a response.
    Answered,
    /// All attempts have failed.
    Failed,
}

/// Simulated caller.
#[derive(Debug)]
pub struct Caller {
    pub balancer: usize,
    pub started_at_us: u64,
    pub ended_at_us: Option<u64>,
    pub outcome: Outcome,
    pub flow: Option<Flow>,
    pub attempts: u32,
    request_duration: Duration,
    /// Initial sequence number of the backend server that the caller has connected to.
    server_sequence: Option<u32>,
    syn_retransmissions: u32,
    retransmission_timeout_us: u64,
    /// Number of the current timer; earlier timers are cancelled.
    timer: u64,
}

impl Caller {
    pub fn new(balancer: usize, started_at_us: u64, request_duration: Duration) -> Self {
        Self {
            balancer,
            started_at_us,
            ended_at_us: None,
            outcome: Outcome::Pending,
            flow: None,
            attempts: 0,
            request_duration,
            server_sequence: None,
            syn_retransmissions: 0,
            retransmission_timeout_us: 0,
            timer: 0,
        }
    }

    fn finish(&mut self, outcome: Outcome, now_us: u64) {
        self.outcome = outcome;
        self.ended_at_us = Some(now_us);
        self.timer += 1;
    }
}

impl Simulation {
    pub(super) fn open_flow(&mut self, index: usize) {
        self.next_port += 1;
        let ip = Ipv4Addr::from_bits(0x6440_0000 + (self.next_port >> 14));
        let port = 1_024 + (self.next_port & 0x3fff) as u16;
        let flow = Flow::new(SocketAddrV4::new(ip, port), VIRTUAL_ADDRESS);
        let caller = &mut self.callers[index];
        if self.rotates_balancers && caller.attempts > 0 {
            caller.balancer = (caller.balancer + 1) % self.balancer_nodes.len();
        }
        caller.attempts += 1;
        caller.flow = Some(flow);
        caller.server_sequence = None;
        caller.syn_retransmissions = 0;
        self.send_syn(index);
    }

    pub(super) fn request_duration(&self, flow: Flow) -> Duration {
        let caller = self
            .callers
            .iter()
            .rev()
            .find(|caller| caller.flow == Some(flow));
        caller.map_or(Duration::ZERO, |caller| caller.request_duration)
    }

    pub(super) fn on_caller_segment(&mut self, segment: &Segment) {
        let Some(index) = self.pending_caller(segment.flow) else {
            return;
        };
        let caller = &mut self.callers[index];
        if segment.flags.syn && caller.server_sequence.is_none() {
            caller.server_sequence = Some(segment.sequence);
            caller.retransmission_timeout_us = 200_000;
            self.send_request(index);
        } else if segment.flags.rst {
            self.retry(index);
        } else if segment.payload_length > 0 {
            caller.finish(Outcome::Answered, self.now_us);
            let fin = Flags {
                ack: true,
                fin: true,
                ..Flags::default()
            };
            self.send_segment(index, fin, 0);
        }
    }

    pub(super) fn reset_caller(&mut self, flow: Flow) {
        if let Some(index) = self.pending_caller(flow) {
            self.retry(index);
        }
    }

    pub(super) fn on_timer(&mut self, index: usize, timer: u64) {
        let caller = &mut self.callers[index];
        if caller.timer != timer || caller.outcome != Outcome::Pending {
            return;
        }
        if self.now_us >= caller.started_at_us + DEADLINE_US {
            caller.finish(Outcome::Failed, self.now_us);
        } else if caller.flow.is_none() {
            self.open_flow(index);
        } else if caller.server_sequence.is_some() {
            caller.retransmission_timeout_us *= 2;
            self.send_request(index);
        } else if (caller.syn_retransmissions as usize) < SYN_RETRANSMISSION_US.len() {
            caller.syn_retransmissions += 1;
            self.send_syn(index);
        } else {
            self.retry(index);
        }
    }

    fn retry(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if caller.attempts > MAX_RETRIES {
            caller.finish(Outcome::Failed, self.now_us);
            return;
        }
        caller.flow = None;
        self.set_timer(index, RETRY_DELAY_US);
    }

    fn pending_caller(&self, flow: Flow) -> Option<usize> {
        self.callers
            .iter()
            .rposition(|caller| caller.flow == Some(flow) && caller.outcome == Outcome::Pending)
    }

    fn send_syn(&mut self, index: usize) {
        let syn_retransmissions = self.callers[index].syn_retransmissions;
        let flags = Flags {
            syn: true,
            ..Flags::default()
        };
        self.send_with_acknowledgment(index, flags, syn_retransmissions, 0);
        let next_delay = SYN_RETRANSMISSION_US
            .get(syn_retransmissions as usize)
            .copied()
            .unwrap_or(SYN_TIMEOUT_US);
        let last_delay = match syn_retransmissions {
            0 => 0,
            syn_retransmissions => SYN_RETRANSMISSION_US[syn_retransmissions as usize - 1],
        };
        self.set_timer(index, next_delay - last_delay);
    }

    fn send_request(&mut self, index: usize) {
        let flags = Flags {
            ack: true,
            ..Flags::default()
        };
        self.send_segment(index, flags, REQUEST_BYTES);
        let retransmission_timeout_us = self.callers[index].retransmission_timeout_us;
        self.set_timer(index, retransmission_timeout_us);
    }

    fn send_segment(&mut self, index: usize, flags: Flags, length: u16) {
        let server_sequence = self.callers[index].server_sequence.unwrap_or_default();
        self.send_with_acknowledgment(index, flags, server_sequence.wrapping_add(1), length);
    }

    fn send_with_acknowledgment(
        &mut self,
        index: usize,
        flags: Flags,
        acknowledgment: u32,
        length: u16,
    ) {
        let caller = &self.callers[index];
        let Some(flow) = caller.flow else {
            return;
        };
        let segment = Segment {
            flow,
            flags,
            sequence: 1,
            acknowledgment,
            payload_length: length,
        };
        let balancer = caller.balancer;
        self.schedule(CALLER_LATENCY_US, Event::Packet(balancer, segment));
    }

    fn set_timer(&mut self, index: usize, delay_us: u64) {
        let caller = &mut self.callers[index];
        caller.timer += 1;
        let timer = caller.timer;
        let left_us = (caller.started_at_us + DEADLINE_US).saturating_sub(self.now_us);
        self.schedule(delay_us.min(left_us), Event::Timer(index, timer));
    }
}
