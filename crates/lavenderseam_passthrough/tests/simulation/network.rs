//! Simulated network between processes, which delays messages and drops those between disconnected
//! addresses.

use std::net::SocketAddrV4;

use lavenderseam_passthrough::agent::{self, OutboundVerdict};
use lavenderseam_passthrough::balancer::Verdict;
use lavenderseam_passthrough::message::{Message, ReturnHeader};
use lavenderseam_passthrough::segment::Segment;

use super::{
    CALLER_LATENCY_US, CROSS_DOMAIN_LATENCY_US, Event, LOCAL_LATENCY_US, Simulation, TargetNode,
};

impl Simulation {
    pub(super) fn packet_to_balancer(&mut self, balancer_node: usize, segment: &Segment) {
        let now = self.instant();
        let from = self.balancer_nodes[balancer_node].address;
        let Some(balancer) = &mut self.balancer_nodes[balancer_node].balancer else {
            return;
        };
        let verdict = balancer.on_caller_packet(segment, now);
        self.apply_verdict(from, verdict, segment);
    }

    fn apply_verdict(&mut self, from: SocketAddrV4, verdict: Verdict, segment: &Segment) {
        match verdict {
            Verdict::Forward { agent, header } => {
                self.send(from, agent, Message::Forward(header), Some(*segment));
            }
            Verdict::Reset(_) => {
                self.resets += 1;
                let holds_flow = |node: &TargetNode| node.backend.holds_open(segment.flow);
                if self.target_nodes.iter().any(holds_flow) {
                    self.resets_of_held_flows.push(segment.flow);
                }
                self.schedule(CALLER_LATENCY_US, Event::Reset(segment.flow));
            }
            Verdict::Drop(_) => {}
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
                self.apply_verdict(own, verdict, &segment);
            }
            Message::FlowHeld(confirmation) => balancer.on_flow_held(&confirmation, from, now),
            Message::Announcement(announcement) => {
                let announced = balancer.on_announcement(&announcement, from, now);
                self.send(own, from, Message::Hello(announced.reply), None);
            }
            Message::Gossip(gossip) => balancer.on_gossip(&gossip, from, now),
            Message::Forward(_) | Message::Hello(_) => panic!("balancer: unexpected message"),
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
            OutboundVerdict::SendToCaller { .. } => {
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
        if self.is_disconnected(from, to) {
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
