//! Messages between processes: what is written is read again, and no bytes do harm.

use std::net::{Ipv4Addr, SocketAddrV4};

use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::message::{
    Announcement, Carry, Held, Load, Message, Reason, Returned, ServiceTag, Standing, Tag, Trail,
};
use proptest::prelude::*;

prop_compose! {
    fn address()(ip in any::<u32>(), port in any::<u16>()) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(ip), port)
    }
}

prop_compose! {
    fn load()(busy in any::<u16>(), flows in any::<u32>(), cold in any::<Option<u16>>()) -> Load {
        Load { busy, mean: busy, slots: 2, flows, wait: cold, cold }
    }
}

prop_compose! {
    fn carry()(
        service in any::<u64>(),
        asks in any::<bool>(),
        tags in prop::collection::vec(any::<u32>(), 0..96),
        queues in any::<bool>(),
    ) -> Carry {
        let refused = tags.into_iter().map(Tag).collect();
        let trail = Trail { refused, queues, ..Trail::default() };
        Carry { service: ServiceTag(service), asks, trail }
    }
}

fn message() -> impl Strategy<Value = Message> {
    let reason = prop_oneof![
        Just(Reason::NotHeld),
        Just(Reason::Busy),
        Just(Reason::DomainOut)
    ];
    let returned = (reason, load(), carry());
    let announcement = (any::<u64>(), "[a-z0-9]{0,40}", load(), any::<bool>());
    prop_oneof![
        carry().prop_map(Message::Carry),
        returned.prop_map(|(reason, load, carry)| {
            Message::Returned(Returned {
                reason,
                load,
                carry,
            })
        }),
        (address(), address(), load()).prop_map(|(caller, service, load)| {
            Message::Held(Held {
                flow: Flow::new(caller, service),
                load,
            })
        }),
        announcement.prop_map(|(run, service, load, hears)| {
            Message::Announcement(Announcement {
                run,
                count: run,
                domain: service.clone(),
                service,
                standing: Standing::Draining,
                load,
                hears,
                asks: hears,
            })
        }),
    ]
}

proptest! {
    #[test]
    fn a_message_and_its_packet_are_read_as_written(
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
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..2_048)) {
        // A length that the bytes claim must not make the reader allocate beyond them.
        if let Ok((_, rest)) = Message::decode(&bytes) {
            prop_assert!(rest.len() <= bytes.len());
        }
    }

    #[test]
    fn a_flow_is_read_as_written(caller in address(), service in address()) {
        let flow = Flow::new(caller, service);
        prop_assert_eq!(flow.to_string().parse::<Flow>().unwrap(), flow);
    }
}

#[test]
fn a_text_that_is_no_flow_is_named() {
    let error = "nonsense".parse::<Flow>().unwrap_err();
    assert!(error.to_string().contains("nonsense"));
}
