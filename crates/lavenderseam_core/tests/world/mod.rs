//! Small deployment for tests of flows: groups of targets, failure domains and services.

#![allow(dead_code, reason = "each test file uses its share")]

use std::net::SocketAddr;
use std::time::Duration;

use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::flow::{Key, Kind, Packet};
use lavenderseam_core::id::{self, Incarnation, Tag};
use lavenderseam_core::record::{
    self, Document, DomainState, DownTarget, Kind as RecordKind, Phase, Record, Schema, Slots,
};
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::View;

/// Records of a deployment, each written at its own revision.
#[derive(Clone, Default)]
pub struct Deployment {
    catalog: Catalog,
    revision: u64,
}

pub fn group(index: usize) -> id::Group {
    id::Group::new(&format!("group-{index}")).unwrap()
}

pub fn domain(index: usize) -> id::Domain {
    id::Domain::new(&format!("domain-{index}")).unwrap()
}

pub fn target(index: usize) -> id::Target {
    id::Target::new(&format!("target-{index}")).unwrap()
}

pub fn tag(index: usize) -> Tag {
    Tag::new(&target(index))
}

pub fn service_address(index: usize) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, 1 + u8::try_from(index).unwrap()], 443))
}

pub fn flow_key(index: u32) -> Key {
    let [a, b, c, d] = index.to_be_bytes();
    Key::new(
        7,
        SocketAddr::from(([10, b, c, d], 4000 + u16::from(a))),
        service_address(0),
    )
}

pub fn opener_packet(flow: Key, service: SocketAddr) -> Packet {
    Packet {
        flow,
        service,
        kind: Kind::Opener,
        token: None,
    }
}

pub fn continuing_packet(flow: Key, service: SocketAddr) -> Packet {
    Packet {
        kind: Kind::Continuing,
        ..opener_packet(flow, service)
    }
}

pub fn instant_ms(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

impl Deployment {
    /// Creates a deployment with `targets` targets in each of the groups 0 and 1, spread over three
    /// failure domains; group 0 serves service 0, and group 1 serves service 1.
    pub fn new(targets: usize) -> Self {
        let mut world = Self::default();
        for index in 0..2 {
            let limits = record::Group {
                slots: Slots(4),
                connections: 2_000,
                cold_slots: Slots(1),
                drain_timeout: Duration::from_secs(30),
            };
            world.put(group(index).as_str(), &limits);
            world.set_service(index, index);
        }
        for index in 0..2 * targets {
            world.add_target(index, index / targets);
        }
        world
    }

    pub fn view(&self) -> View {
        View::new(&self.catalog)
    }

    pub fn set_service(&mut self, index: usize, of: usize) {
        let addresses = vec![service_address(index)];
        let group = group(of);
        self.put(
            &format!("service-{index}"),
            &record::Service { addresses, group },
        );
    }

    pub fn add_target(&mut self, index: usize, of: usize) {
        let peer = SocketAddr::from(([127, 0, 0, 1], 10_000 + u16::try_from(index).unwrap()));
        let target_record = record::Target {
            group: group(of),
            domain: domain(index % 3),
            region: id::Region::new("region").unwrap(),
            peer,
            rpc: peer,
            incarnation: Incarnation(1),
            phase: Phase::Serving,
        };
        self.put(target(index).as_str(), &target_record);
    }

    pub fn remove_target(&mut self, index: usize) {
        self.delete(RecordKind::Target, target(index).as_str());
    }

    pub fn set_domain_out(&mut self, index: usize, out: bool) {
        let state = if out {
            DomainState::Out
        } else {
            DomainState::In
        };
        let reason = None;
        self.put(domain(index).as_str(), &record::Domain { state, reason });
    }

    pub fn set_draining(&mut self, index: usize, draining: bool) {
        let name = format!("drain-{index}");
        if draining {
            let target = target(index);
            self.put(&name, &record::Drain { target });
        } else {
            self.delete(RecordKind::Drain, &name);
        }
    }

    pub fn set_down(&mut self, index: usize, is_down: bool) {
        let down = DownTarget {
            target: target(index),
            incarnation: Incarnation(1),
        };
        let down = if is_down { vec![down] } else { Vec::new() };
        for balancer in 0..2 {
            let verdict = record::Verdict { down: down.clone() };
            self.put(&format!("balancer-{balancer}-{index}"), &verdict);
        }
    }

    fn put<R: Record>(&mut self, name: &str, record: &R) {
        let mut document = Document::new(R::KIND, name, Schema(1));
        record.write(&mut document);
        self.revision += 1;
        let revision = Revision(self.revision);
        self.catalog.apply(Entry::written(revision, document));
    }

    fn delete(&mut self, kind: RecordKind, name: &str) {
        self.revision += 1;
        let id = record::Id::new(kind, name);
        self.catalog
            .apply(Entry::deletion(id, Revision(self.revision)));
    }
}
