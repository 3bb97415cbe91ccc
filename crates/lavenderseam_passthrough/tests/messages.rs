//! Messages between processes survive a round trip through their encoding, and arbitrary bytes are
//! decoded or rejected safely.

use std::net::{Ipv4Addr, SocketAddrV4};

use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::message::{
    Announcement, AttemptedTargets, FlowConfirmation, FlowReport, ForwardHeader, KnownFlow, Load,
    MAX_FLOWS_PER_REPORT, Message, Reason, ReturnHeader, RunQuery, RunReply, ServiceId, TargetId,
    TargetState, TargetsQuery, TargetsReply,
};
use proptest::prelude::*;

prop_compose! {
    fn address()(ip in any::<u32>(), port in any::<u16>()) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(ip), port)
    }
}

prop_compose! {
    fn load()(busy in any::<u16>(), flows in any::<u32>(), cold in any::<Option<u16>>()) -> Load {
        Load {
            busy_slots: busy,
            mean_busy_hundredths: busy,
            slots: 2,
            flows,
            mean_response_tenths_ms: cold,
            cold_flows_left: cold,
        }
    }
}

prop_compose! {
    fn header()(
        service in any::<u64>(),
        wants_confirmation in any::<bool>(),
        tags in prop::collection::vec(any::<u32>(), 0..96),
        may_queue in any::<bool>(),
    ) -> ForwardHeader {
        let refused = tags.into_iter().map(TargetId).collect();
        let attempted = AttemptedTargets { refused, may_queue, ..AttemptedTargets::default() };
        ForwardHeader { service: ServiceId(service), wants_confirmation, attempted }
    }
}

fn message() -> impl Strategy<Value = Message> {
    let reason = prop_oneof![
        Just(Reason::NotHeld),
        Just(Reason::Busy),
        Just(Reason::DomainOut)
    ];
    let returned = (reason, load(), header());
    let announcement = (any::<u64>(), "[a-z0-9]{0,40}", load(), any::<bool>());
    prop_oneof![
        header().prop_map(Message::Forward),
        any::<u64>().prop_map(|number| Message::TargetsQuery(TargetsQuery { number })),
        (any::<u64>(), any::<u64>(), any::<bool>()).prop_map(|(number, digest, is_complete)| {
            Message::TargetsReply(TargetsReply {
                number,
                digest,
                is_complete,
            })
        }),
        any::<u64>().prop_map(|run| Message::RunQuery(RunQuery { run })),
        Just(Message::FlowsKnown),
        (any::<u64>(), any::<bool>()).prop_map(|(run, has_predecessor)| {
            Message::RunReply(RunReply {
                run,
                has_predecessor,
            })
        }),
        returned.prop_map(|(reason, load, header)| {
            Message::Return(ReturnHeader {
                reason,
                load,
                header,
            })
        }),
        (address(), address(), load()).prop_map(|(caller, service, load)| {
            Message::FlowHeld(FlowConfirmation {
                flow: Flow::new(caller, service),
                load,
            })
        }),
        announcement.prop_map(|(run, service, load, receives)| {
            Message::Announcement(Announcement {
                run,
                sequence: run,
                domain: service.clone(),
                service,
                state: TargetState::Draining,
                load,
                hears_recipient: receives,
                wants_balancers: receives,
            })
        }),
    ]
}

proptest! {
    #[test]
    fn message_and_packet_round_trip(
        message in message(),
        packet in prop::collection::vec(any::<u8>(), 0..1_300),
    ) {
        let mut buffer = Vec::new();
        message.encode(&packet, &mut buffer).unwrap();
        let (read, rest) = Message::decode(&buffer).unwrap();
        prop_assert_eq!(read, message);
        prop_assert_eq!(rest, packet.as_slice());
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(
        bytes in prop::collection::vec(any::<u8>(), 0..2_048),
    ) {
        // A length field in the input must not make the decoder allocate more than the input
        // justifies.
        if let Ok((_, rest)) = Message::decode(&bytes) {
            prop_assert!(rest.len() <= bytes.len());
        }
    }

    #[test]
    fn flow_text_round_trip(caller in address(), service in address()) {
        let flow = Flow::new(caller, service);
        prop_assert_eq!(flow.to_string().parse::<Flow>().unwrap(), flow);
    }
}

#[test]
fn flow_parse_error_contains_input() {
    let error = "nonsense".parse::<Flow>().unwrap_err();
    assert!(error.to_string().contains("nonsense"));
}

/// A report that exceeds a datagram would be fragmented or lost.
#[test]
fn a_full_report_of_flows_fits_into_a_datagram() {
    let address = SocketAddrV4::new(Ipv4Addr::BROADCAST, u16::MAX);
    let known = KnownFlow {
        flow: Flow::new(address, address),
        target: TargetId(u32::MAX),
        acknowledgment: u32::MAX,
    };
    let message = Message::FlowReport(FlowReport {
        round: u64::MAX,
        writes: true,
        flows: vec![known; MAX_FLOWS_PER_REPORT],
    });
    let mut buffer = Vec::new();
    message.encode(&[], &mut buffer).unwrap();
    assert!(buffer.len() <= 1_400, "{} bytes", buffer.len());
    assert_eq!(Message::decode(&buffer), Ok((message, &[][..])));
}
