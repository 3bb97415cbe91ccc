//! The certificate that callers see.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicServerConfig};
use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

/// Protocol that callers negotiate.
const PROTOCOL: &[u8] = b"h3";

/// Files of a certificate chain and its private key, both PEM.
#[derive(Clone, Debug)]
pub struct Certificate {
    /// File of the chain.
    pub chain: PathBuf,
    /// File of the private key.
    pub private_key: PathBuf,
}

/// Why a certificate can't be used.
#[derive(Debug)]
pub enum Error {
    /// A file can't be read as PEM.
    Pem(PathBuf, pem::Error),
    /// The chain and the key don't fit.
    Tls(rustls::Error),
    /// The library lacks the cipher that QUIC starts with.
    Cipher(NoInitialCipherSuite),
}

impl Certificate {
    /// When each file was last changed; none for one that can't be looked at.
    #[must_use]
    pub fn modified(&self) -> [Option<SystemTime>; 2] {
        [&self.chain, &self.private_key].map(|file| file.metadata().ok()?.modified().ok())
    }

    /// Reads the files into a TLS 1.3 configuration without early data.
    pub(crate) fn load(&self) -> Result<QuicServerConfig, Error> {
        let chain = read_chain(&self.chain)?;
        let key = PrivateKeyDer::from_pem_file(&self.private_key)
            .map_err(|error| Error::Pem(self.private_key.clone(), error))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(Error::Tls)?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(Error::Tls)?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        // Early data could be replayed, and requests that may not be repeated would run twice.
        tls.max_early_data_size = 0;
        tls.send_tls13_tickets = 0;
        QuicServerConfig::try_from(tls).map_err(Error::Cipher)
    }
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let failed = |error| Error::Pem(path.to_owned(), error);
    CertificateDer::pem_file_iter(path)
        .map_err(failed)?
        .collect::<Result<_, _>>()
        .map_err(failed)
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pem(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::Tls(error) => write!(formatter, "certificate and key don't fit: {error}"),
            Self::Cipher(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for Error {}
