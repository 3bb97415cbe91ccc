//! Addresses of one deployment: a block of 256 loopback addresses, one per process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

use rand::RngExt;

use crate::Error;

/// Port of the services.
const SERVICE_PORT: u16 = 4433;
/// Port for packets from the fabric, and of the fabric's two inner sockets.
const FABRIC_PORT: u16 = 6000;
/// Port for sealed frames.
const PEER_PORT: u16 = 7000;
/// Port for remote calls.
const RPC_PORT: u16 = 7001;
/// Port of the backend servers.
const BACKEND_PORT: u16 = 8080;
/// Port of the object API.
const STORE_PORT: u16 = 8000;
/// Port for faults and counts of the stand-ins.
const CONTROL_PORT: u16 = 9000;

/// Last byte of the addresses of the services, counted up.
const SERVICE: usize = 1;
/// Last byte of the fabric's address towards agents.
const EGRESS: usize = 8;
/// Last byte of the fabric's address towards balancers.
const INGRESS: usize = 9;
/// Last byte of the platform's address.
const STORE: usize = 10;
/// Last byte of the balancers' addresses, counted up.
const BALANCER: usize = 20;
/// Last byte of the addresses of the hashing baseline, counted up.
const HASHING: usize = 40;
/// Last byte of the targets' addresses, counted up.
const TARGET: usize = 60;
/// Blocks tried before giving up.
const ATTEMPTS: usize = 50;

/// Addresses of one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    block: [u8; 2],
}

impl Network {
    /// A block that no other deployment on the machine uses.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`] if no free block was found.
    pub fn free() -> Result<Self, Error> {
        let mut random = rand::rng();
        let mut failure = None;
        for _ in 0..ATTEMPTS {
            let block = [random.random_range(16..250), random.random_range(0..250)];
            let network = Self { block };
            match UdpSocket::bind(network.egress()) {
                Ok(_) => return Ok(network),
                Err(cause) => failure = Some(cause),
            }
        }
        let cause = failure.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
        Err(Error::Bind {
            address: SocketAddr::from(([127, 0, 0, 0], FABRIC_PORT)),
            cause,
        })
    }

    /// Address that callers reach a service at.
    #[must_use]
    pub fn service(&self, index: usize) -> SocketAddr {
        self.at(SERVICE + index, SERVICE_PORT)
    }

    /// Address that agents send answers to.
    #[must_use]
    pub fn egress(&self) -> SocketAddr {
        self.at(EGRESS, FABRIC_PORT)
    }

    /// Address that the fabric hands packets to balancers from.
    #[must_use]
    pub fn ingress(&self) -> SocketAddr {
        self.at(INGRESS, FABRIC_PORT)
    }

    /// Address for the faults and counts of the fabric.
    #[must_use]
    pub fn fabric_control(&self) -> SocketAddr {
        self.at(EGRESS, CONTROL_PORT)
    }

    /// Address of the object API.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.at(STORE, STORE_PORT)
    }

    /// Address for the faults and counts of the platform.
    #[must_use]
    pub fn store_control(&self) -> SocketAddr {
        self.at(STORE, CONTROL_PORT)
    }

    /// Address at which a balancer takes packets from the fabric.
    #[must_use]
    pub fn balancer_fabric(&self, index: usize) -> SocketAddr {
        self.at(BALANCER + index, FABRIC_PORT)
    }

    /// Address at which a hashing baseline takes packets from the fabric.
    #[must_use]
    pub fn hashing(&self, index: usize) -> SocketAddr {
        self.at(HASHING + index, FABRIC_PORT)
    }

    /// Address of a balancer for sealed frames.
    #[must_use]
    pub fn balancer_peer(&self, index: usize) -> SocketAddr {
        self.at(BALANCER + index, PEER_PORT)
    }

    /// Address of a balancer for remote calls.
    #[must_use]
    pub fn balancer_rpc(&self, index: usize) -> SocketAddr {
        self.at(BALANCER + index, RPC_PORT)
    }

    /// Address of an agent for sealed frames.
    #[must_use]
    pub fn agent_peer(&self, index: usize) -> SocketAddr {
        self.at(TARGET + index, PEER_PORT)
    }

    /// Address of an agent for remote calls.
    #[must_use]
    pub fn agent_rpc(&self, index: usize) -> SocketAddr {
        self.at(TARGET + index, RPC_PORT)
    }

    /// Address of a backend server.
    #[must_use]
    pub fn backend(&self, index: usize) -> SocketAddr {
        self.at(TARGET + index, BACKEND_PORT)
    }

    /// Address for the faults and counts of a backend server.
    #[must_use]
    pub fn backend_control(&self, index: usize) -> SocketAddr {
        self.at(TARGET + index, CONTROL_PORT)
    }

    /// Ports of remote calls and of the object API.
    #[must_use]
    pub const fn control_ports(&self) -> [u16; 2] {
        [RPC_PORT, STORE_PORT]
    }

    fn at(&self, last: usize, port: u16) -> SocketAddr {
        let last = u8::try_from(last).unwrap_or(u8::MAX);
        let address = Ipv4Addr::new(127, self.block[0], self.block[1], last);
        SocketAddr::new(IpAddr::V4(address), port)
    }
}
