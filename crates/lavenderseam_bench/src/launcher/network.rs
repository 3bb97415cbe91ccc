//! Addresses of a deployment: one loopback address per process, from a block of 256.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

use rand::RngExt;

use crate::Error;

/// Port of the services.
const SERVICE_PORT: u16 = 4433;
/// Port on which balancers receive packets from the fabric, and of the fabric's sockets towards
/// balancers and agents.
const FABRIC_PORT: u16 = 6000;
/// Port on which balancers and agents receive sealed frames.
const PEER_PORT: u16 = 7000;
/// Port on which balancers and agents receive remote calls.
const RPC_PORT: u16 = 7001;
/// Port of the backend servers.
const BACKEND_PORT: u16 = 8080;
/// Port of the object API.
const STORE_PORT: u16 = 8000;
/// Port of the control API of the stand-ins.
const CONTROL_PORT: u16 = 9000;

/// Last byte of the first service's address; the others follow.
const SERVICE_HOST: usize = 1;
/// Last byte of the address at which the fabric receives packets from agents.
const EGRESS_HOST: usize = 8;
/// Last byte of the address from which the fabric sends packets to balancers.
const INGRESS_HOST: usize = 9;
/// Last byte of the platform's address.
const STORE_HOST: usize = 10;
/// Last byte of the first balancer's address; the others follow.
const BALANCER_HOST: usize = 20;
/// Last byte of the first hashing baseline's address; the others follow.
const HASHING_HOST: usize = 40;
/// Last byte of the first target's address; the others follow.
const TARGET_HOST: usize = 60;
/// Maximum number of address blocks to try.
const MAX_ATTEMPTS: usize = 50;

/// Block of loopback addresses of one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    block: [u8; 2],
}

impl Network {
    /// Finds a block that no other deployment on the machine uses.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`] if no block is free.
    pub fn find_free() -> Result<Self, Error> {
        let mut rng = rand::rng();
        let mut last_error = None;
        for _ in 0..MAX_ATTEMPTS {
            let block = [rng.random_range(16..250), rng.random_range(0..250)];
            let network = Self { block };
            match UdpSocket::bind(network.egress()) {
                Ok(_) => return Ok(network),
                Err(source) => last_error = Some(source),
            }
        }
        let source = last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
        Err(Error::Bind {
            address: SocketAddr::from(([127, 0, 0, 0], FABRIC_PORT)),
            source,
        })
    }

    /// Returns the address of a service, which callers send to.
    #[must_use]
    pub fn service(&self, index: usize) -> SocketAddr {
        self.socket_address(SERVICE_HOST + index, SERVICE_PORT)
    }

    /// Returns the address at which the fabric receives packets from agents.
    #[must_use]
    pub fn egress(&self) -> SocketAddr {
        self.socket_address(EGRESS_HOST, FABRIC_PORT)
    }

    /// Returns the address from which the fabric sends packets to balancers.
    #[must_use]
    pub fn ingress(&self) -> SocketAddr {
        self.socket_address(INGRESS_HOST, FABRIC_PORT)
    }

    /// Returns the address of the control API of the fabric.
    #[must_use]
    pub fn fabric_control(&self) -> SocketAddr {
        self.socket_address(EGRESS_HOST, CONTROL_PORT)
    }

    /// Returns the address of the object API.
    #[must_use]
    pub fn object_api(&self) -> SocketAddr {
        self.socket_address(STORE_HOST, STORE_PORT)
    }

    /// Returns the address of the control API of the platform.
    #[must_use]
    pub fn platform_control(&self) -> SocketAddr {
        self.socket_address(STORE_HOST, CONTROL_PORT)
    }

    /// Returns the address at which a balancer receives packets from the fabric.
    #[must_use]
    pub fn balancer_fabric(&self, index: usize) -> SocketAddr {
        self.socket_address(BALANCER_HOST + index, FABRIC_PORT)
    }

    /// Returns the address at which a hashing baseline receives packets from the fabric.
    #[must_use]
    pub fn hashing(&self, index: usize) -> SocketAddr {
        self.socket_address(HASHING_HOST + index, FABRIC_PORT)
    }

    /// Returns the address at which a balancer receives sealed frames.
    #[must_use]
    pub fn balancer_peer(&self, index: usize) -> SocketAddr {
        self.socket_address(BALANCER_HOST + index, PEER_PORT)
    }

    /// Returns the address at which a balancer receives remote calls.
    #[must_use]
    pub fn balancer_rpc(&self, index: usize) -> SocketAddr {
        self.socket_address(BALANCER_HOST + index, RPC_PORT)
    }

    /// Returns the address at which an agent receives sealed frames.
    #[must_use]
    pub fn agent_peer(&self, index: usize) -> SocketAddr {
        self.socket_address(TARGET_HOST + index, PEER_PORT)
    }

    /// Returns the address at which an agent receives remote calls.
    #[must_use]
    pub fn agent_rpc(&self, index: usize) -> SocketAddr {
        self.socket_address(TARGET_HOST + index, RPC_PORT)
    }

    /// Returns the address of a backend server.
    #[must_use]
    pub fn backend(&self, index: usize) -> SocketAddr {
        self.socket_address(TARGET_HOST + index, BACKEND_PORT)
    }

    /// Returns the address of the control API of a backend server.
    #[must_use]
    pub fn backend_control(&self, index: usize) -> SocketAddr {
        self.socket_address(TARGET_HOST + index, CONTROL_PORT)
    }

    /// Returns the ports of remote calls and of the object API, which carry control traffic.
    #[must_use]
    pub const fn control_plane_ports(&self) -> [u16; 2] {
        [RPC_PORT, STORE_PORT]
    }

    fn socket_address(&self, last_byte: usize, port: u16) -> SocketAddr {
        let last_byte = u8::try_from(last_byte).unwrap_or(u8::MAX);
        let address = Ipv4Addr::new(127, self.block[0], self.block[1], last_byte);
        SocketAddr::new(IpAddr::V4(address), port)
    }
}
