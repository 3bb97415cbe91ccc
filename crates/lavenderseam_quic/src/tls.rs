//! Loads the TLS certificate that the agent presents to callers.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicServerConfig};
use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

/// ALPN protocol id of HTTP/3.
const ALPN_PROTOCOL: &[u8] = b"h3";

/// Paths of the PEM files with the certificate chain and its private key.
#[derive(Clone, Debug)]
pub struct CertificateFiles {
    /// PEM file with the certificate chain.
    pub chain: PathBuf,
    /// PEM file with the private key.
    pub private_key: PathBuf,
}

/// Why the certificate files can't be loaded.
#[derive(Debug)]
pub enum Error {
    /// The file can't be read or isn't valid PEM.
    Pem(PathBuf, pem::Error),
    /// TLS rejects the certificate chain or the key, for example because they don't match.
    Tls(rustls::Error),
    /// The TLS library lacks the cipher suite of QUIC Initial packets.
    NoInitialCipher(NoInitialCipherSuite),
}

impl CertificateFiles {
    /// Returns the modification times of chain and private key; `None` for a file that can't be
    /// accessed.
    #[must_use]
    pub fn modification_times(&self) -> [Option<SystemTime>; 2] {
        [&self.chain, &self.private_key].map(|file| file.metadata().ok()?.modified().ok())
    }

    /// Loads the files into a TLS 1.3 server configuration without early data.
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
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        // Early data can be replayed, which would run non-idempotent requests twice.
        tls.max_early_data_size = 0;
        tls.send_tls13_tickets = 0;
        QuicServerConfig::try_from(tls).map_err(Error::NoInitialCipher)
    }
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let pem_error = |error| Error::Pem(path.to_owned(), error);
    CertificateDer::pem_file_iter(path)
        .map_err(pem_error)?
        .collect::<Result<_, _>>()
        .map_err(pem_error)
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pem(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::Tls(error) => write!(
                formatter,
                "certificate chain and private key don't fit: {error}"
            ),
            Self::NoInitialCipher(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for Error {}
