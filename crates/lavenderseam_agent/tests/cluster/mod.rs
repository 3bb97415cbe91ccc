//! Test cluster: agents inside the test process, backend servers, and a relay that stands in for
//! the fabric and a balancer.

#![allow(dead_code, missing_docs, unused_imports, clippy::unwrap_used)]

mod agent;
mod backend;
mod files;
mod relay;

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderseam_caller::{Caller, Settings};
use lavenderseam_wire::{Frame, FrameHeader, Probe, ProbeReply, SymmetricKey};
use tokio::net::UdpSocket;

pub use agent::{Agent, PublishedState};
pub use backend::TestBackend;
pub use files::CertificateFiles;
pub use relay::FabricRelay;

/// Name of the service and server name of its certificate.
pub const SERVICE: &str = "trail-status";

/// A service with the relay that reaches its agents.
pub struct Cluster {
    pub key: SymmetricKey,
    pub certificate_files: Arc<CertificateFiles>,
    pub relay: Arc<FabricRelay>,
}

impl Cluster {
    pub async fn new() -> Self {
        let key = SymmetricKey::new([7; 32]);
        Self {
            certificate_files: Arc::new(CertificateFiles::new(SERVICE)),
            relay: FabricRelay::start(key.clone()).await,
            key,
        }
    }

    /// Starts an agent for a backend server. The relay sends packets of new flows to the agent that
    /// was started last.
    pub async fn start_agent(&self, name: &str, backend: &TestBackend) -> Agent {
        let agent = Agent::start(self, name, backend).await;
        self.relay.add_agent(agent.tag, agent.peer);
        agent
    }

    /// Sends a probe to an agent, as balancers do, and returns the reply.
    pub async fn probe(&self, agent: &Agent) -> ProbeReply {
        let key = self.key.derive("frames");
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let mut buffer = Vec::new();
        let probe = Frame::new(FrameHeader::Probe(Probe { nonce: 7 }));
        probe.seal(&key, &mut buffer).unwrap();
        socket.send_to(&buffer, agent.peer).await.unwrap();
        buffer.resize(2048, 0);
        let length = socket.recv(&mut buffer).await.unwrap();
        match Frame::open(&key, &buffer[..length]).unwrap().header {
            FrameHeader::Echo(reply) => reply,
            other => panic!("not a probe reply: {other:?}"),
        }
    }

    pub fn service_address(&self) -> SocketAddr {
        self.relay.service
    }

    pub fn new_caller(&self) -> Caller {
        let mut settings = Settings::new(
            self.service_address(),
            SERVICE,
            self.certificate_files.certificate.clone(),
        );
        settings.local_address = self.service_address().ip();
        Caller::new(settings).unwrap()
    }
}

/// Waits until a condition holds; panics after 10 seconds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let condition_met = async {
        while !condition() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    let limit = std::time::Duration::from_secs(10);
    tokio::time::timeout(limit, condition_met).await.unwrap();
}
