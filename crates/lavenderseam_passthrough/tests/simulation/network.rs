//! Simulated network between processes, which delays messages and drops those between disconnected
//! addresses.

use std::net::SocketAddrV4;

use lavenderseam_core::rank::score;
use lavenderseam_passthrough::agent::{self, OutboundVerdict};
use lavenderseam_passthrough::balancer::{Balancer, SearchAction, Verdict};
use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::message::{Message, ReturnHeader};
use lavenderseam_passthrough::segment::Segment;

use super::{
    CALLER_LATENCY_US, CROSS_DOMAIN_LATENCY_US, Event, LOCAL_LATENCY_US, Simulation, TargetNode,
};

/// Seed of the choice of lost messages.
const LOSS_SEED: u64 = 0x4c4f_5353;
/// Size of a packet without its payload.
const PACKET_HEADER_BYTES: u64 = 32;

impl Simulation {
    pub(super) fn packet_to_balancer(&mut self, balancer_node: usize, segment: &Segment) {
        let now = self.instant();
        let Some(balancer) = &mut self.balancer_nodes[balancer_node].balancer else {
            return;
        };
        let verdict = balancer.on_caller_packet(segment, now);
        self.apply_verdict(balancer_node, verdict, segment);
    }

    fn apply_verdict(&mut self, balancer_node: usize, verdict: Verdict, segment: &Segment) {
        let from = self.balancer_nodes[balancer_node].address;
        match verdict {
            Verdict::Hold => {
                let held = &mut self.balancer_nodes[balancer_node].held_packets;
                held.entry(segment.flow).or_default().push(*segment);
                self.schedule_search(balancer_node);
            }
            Verdict::Forward { agent, header } => {
                self.send(from, agent, Message::Forward(header), Some(*segment));
            }
            Verdict::Reset(_) => self.reset_flow(segment.flow),
            Verdict::Drop(_) => {}
        }
    }

    fn reset_flow(&mut self, flow: Flow) {
        self.resets += 1;
        let holds_flow = |node: &TargetNode| node.backend.holds_open(flow);
        if self.target_nodes.iter().any(holds_flow) {
            self.resets_of_held_flows.push(flow);
        }
        self.schedule(CALLER_LATENCY_US, Event::Reset(flow));
    }

    /// Advances the searches of a balancer.
    pub(super) fn poll_searches(&mut self, index: usize) {
        let now = self.instant();
        if let Some(balancer) = &mut self.balancer_nodes[index].balancer {
            let actions = balancer.poll_searches(now);
            self.apply_search(index, actions);
        }
    }

    fn apply_search(&mut self, index: usize, actions: Vec<SearchAction>) {
        let from = self.balancer_nodes[index].address;
        for action in actions {
            match action {
                SearchAction::Query { agent, query } => {
                    self.queries += 1;
                    self.send(from, agent, Message::LocationQuery(query), None);
                }
                SearchAction::AskBalancer { balancer, query } => {
                    self.send(from, balancer, Message::TargetsQuery(query), None);
                }
                SearchAction::Verify { flow, agents } => {
                    let held = &self.balancer_nodes[index].held_packets;
                    let packet = held.get(&flow).and_then(|packets| packets.last()).copied();
                    for agent in agents {
                        self.verifications += 1;
                        self.send(from, agent, Message::Verify, packet);
                    }
                }
                SearchAction::Resolve { flow, resolution } => {
                    let held = &mut self.balancer_nodes[index].held_packets;
                    for segment in held.remove(&flow).unwrap_or_default() {
                        match resolution.verdict(&segment) {
                            Some(verdict) => self.apply_verdict(index, verdict, &segment),
                            None => self.packet_to_balancer(index, &segment),
                        }
                    }
                }
                SearchAction::ResetIdle { flow, .. } => self.reset_flow(flow),
            }
        }
        self.schedule_search(index);
    }

    fn schedule_search(&mut self, index: usize) {
        let balancer = self.balancer_nodes[index].balancer.as_ref();
        if let Some(at) = balancer.and_then(Balancer::next_search_at) {
            let delay_us = at.0.saturating_sub(self.now_us);
            self.schedule(delay_us, Event::PollSearches(index));
        }
    }

    pub(super) fn deliver_message(
        &mut self,
        to: SocketAddrV4,
        from: SocketAddrV4,
        message: Message,
        packet: Option<Segment>,
    ) {
        if let Some(index) = self.balancer_index(to) {
            self.message_to_balancer(index, from, message, packet);
        } else if let Some(index) = self.target_nodes.iter().position(|node| node.address == to) {
            self.message_to_agent(index, from, message, packet);
        }
    }

    fn message_to_balancer(
        &mut self,
        index: usize,
        from: SocketAddrV4,
        message: Message,
        packet: Option<Segment>,
    ) {
        let now = self.instant();
        let balancer_node = &mut self.balancer_nodes[index];
        balancer_node.messages += 1;
        let own = balancer_node.address;
        let Some(balancer) = &mut balancer_node.balancer else {
            return;
        };
        match message {
            Message::Return(returned) => {
                let segment = packet.unwrap();
                let verdict = balancer.on_returned_packet(&segment, returned, from, now);
                self.returned += 1;
                self.apply_verdict(index, verdict, &segment);
            }
            Message::LocationReply(reply) => {
                let actions = balancer.on_location_reply(&reply, from, now);
                self.apply_search(index, actions);
            }
            Message::FlowHeld(confirmation) => {
                let actions = balancer.on_flow_held(&confirmation, from, now);
                self.apply_search(index, actions);
            }
            Message::FlowDenied(denial) => {
                let actions = balancer.on_flow_denied(&denial, from, now);
                self.apply_search(index, actions);
            }
            Message::Announcement(announcement) => {
                let announced = balancer.on_announcement(&announcement, from, now);
                self.send(own, from, Message::Hello(announced.reply), None);
                self.apply_search(index, announced.actions);
            }
            Message::FlowReport(report) => balancer.on_flow_report(&report, from, now),
            Message::Gossip(gossip) => balancer.on_gossip(&gossip, from, now),
            Message::TargetsQuery(query) => {
                let reply = balancer.on_targets_query(query, from, now);
                self.send(own, from, Message::TargetsReply(reply), None);
            }
            Message::TargetsReply(reply) => {
                let actions = balancer.on_targets_reply(&reply, from, now);
                self.apply_search(index, actions);
            }
            Message::FlowsKnown => {
                let actions = balancer.on_flows_known(from, now);
                self.apply_search(index, actions);
            }
            Message::RunQuery(query) => {
                let reply = balancer.on_run_query(query, from);
                self.send(own, from, Message::RunReply(reply), None);
            }
            Message::Forward(_)
            | Message::Hello(_)
            | Message::LocationQuery(_)
            | Message::RunReply(_)
            | Message::Verify => {
                panic!("balancer: unexpected message")
            }
        }
    }

    fn message_to_agent(
        &mut self,
        index: usize,
        from: SocketAddrV4,
        message: Message,
        packet: Option<Segment>,
    ) {
        let now = self.instant();
        let own = self.target_nodes[index].address;
        let Some(agent) = &mut self.target_nodes[index].agent else {
            return;
        };
        match message {
            Message::Forward(header) => {
                let segment = packet.unwrap();
                match agent.on_forwarded_packet(&segment, header, from, now) {
                    agent::Verdict::Deliver { mark, confirmation } => {
                        self.schedule(0, Event::ToBackend(index, segment, mark));
                        if let Some(confirmation) = confirmation {
                            self.send(own, from, Message::FlowHeld(confirmation), None);
                        }
                    }
                    agent::Verdict::Return(returned) => {
                        self.return_packet(own, from, returned, segment);
                    }
                    agent::Verdict::Drop => {}
                }
            }
            Message::Hello(hello) => agent.on_balancer_hello(&hello, from, now),
            Message::RunReply(reply) => {
                let actions = agent.on_run_reply(reply, from, now);
                self.announce(own, actions);
            }
            Message::LocationQuery(query) => {
                let reply = agent.on_location_query(&query, from, now);
                self.send(own, from, Message::LocationReply(reply), None);
            }
            Message::Verify => {
                let segment = packet.unwrap();
                let answer = match agent.on_verification(&segment, from, now) {
                    agent::Verification::Held { mark, confirmation } => {
                        self.schedule(0, Event::ToBackend(index, segment, mark));
                        Message::FlowHeld(confirmation)
                    }
                    agent::Verification::Deliver { mark } => {
                        return self.schedule(0, Event::ToBackend(index, segment, mark));
                    }
                    agent::Verification::Denied(denial) => Message::FlowDenied(denial),
                };
                self.send(own, from, answer, None);
            }
            _ => panic!("agent: unexpected message"),
        }
    }

    fn return_packet(
        &mut self,
        own: SocketAddrV4,
        to: SocketAddrV4,
        returned: ReturnHeader,
        segment: Segment,
    ) {
        self.send(own, to, Message::Return(returned), Some(segment));
    }

    pub(super) fn packet_from_backend(
        &mut self,
        index: usize,
        segment: &Segment,
        bounced: Option<u32>,
    ) {
        let now = self.instant();
        let own = self.target_nodes[index].address;
        let Some(agent) = &mut self.target_nodes[index].agent else {
            return;
        };
        match agent.on_backend_packet(segment, bounced, now) {
            OutboundVerdict::Deny { balancer, denial } => {
                self.send(own, balancer, Message::FlowDenied(denial), None);
            }
            OutboundVerdict::SendToCaller { confirmation, .. } => {
                if let Some((balancer, confirmation)) = confirmation {
                    self.send(own, balancer, Message::FlowHeld(confirmation), None);
                }
                self.schedule(CALLER_LATENCY_US, Event::ToCaller(*segment));
            }
            OutboundVerdict::Return { balancer, returned } => {
                self.return_packet(own, balancer, returned, *segment);
            }
            OutboundVerdict::Drop => {}
        }
    }

    pub(super) fn send(
        &mut self,
        from: SocketAddrV4,
        to: SocketAddrV4,
        message: Message,
        packet: Option<Segment>,
    ) {
        self.count_search(&message, packet.as_ref());
        let is_lost = score(self.last_event_id, LOSS_SEED) % 100 < self.loss_percent;
        if is_lost || self.is_disconnected(from, to) {
            // Each message needs its own chance to arrive.
            self.last_event_id += 1;
            return;
        }
        let delay = if self.domain(from) == self.domain(to) {
            LOCAL_LATENCY_US
        } else {
            CROSS_DOMAIN_LATENCY_US
        };
        let event = Event::Message {
            to,
            from,
            message,
            packet,
        };
        self.schedule(delay, event);
    }

    /// Counts messages that belong to the search for the owner of an open flow.
    fn count_search(&mut self, message: &Message, packet: Option<&Segment>) {
        let is_search = match message {
            Message::LocationQuery(_)
            | Message::LocationReply(_)
            | Message::TargetsQuery(_)
            | Message::TargetsReply(_)
            | Message::Verify
            | Message::FlowHeld(_)
            | Message::FlowDenied(_) => true,
            Message::Forward(header) => header.wants_confirmation,
            Message::Return(_) => true,
            _ => false,
        };
        if is_search && packet.is_none_or(|packet| !packet.is_syn()) {
            let mut buffer = Vec::new();
            message.encode(&[], &mut buffer).unwrap();
            let payload = packet.map_or(0, |packet| {
                PACKET_HEADER_BYTES + u64::from(packet.payload_length)
            });
            self.search_cost.messages += 1;
            self.search_cost.bytes += buffer.len() as u64 + payload;
        }
    }

    fn domain(&self, address: SocketAddrV4) -> Option<&str> {
        let balancer_node = self
            .balancer_nodes
            .iter()
            .find(|balancer_node| balancer_node.address == address);
        let node = self
            .target_nodes
            .iter()
            .find(|node| node.address == address);
        balancer_node
            .map(|balancer_node| balancer_node.domain.as_str())
            .or(node.map(|node| node.domain.as_str()))
    }
}
