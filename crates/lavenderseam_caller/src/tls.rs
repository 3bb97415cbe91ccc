//! TLS configuration of callers: the certificates that they trust and the protocol versions.

use std::sync::Arc;

use quinn::crypto::rustls::QuicClientConfig;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;

use crate::{Error, Settings};

/// Builds a TLS 1.3 configuration that trusts only the root certificates in the settings.
pub(crate) fn client_config(settings: &Settings) -> Result<QuicClientConfig, Error> {
    let read_error = |error| Error::RootCertificates(settings.root_file.clone(), error);
    let mut roots = rustls::RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(&settings.root_file).map_err(read_error)? {
        let certificate = certificate.map_err(read_error)?;
        roots.add(certificate).map_err(Error::Tls)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(Error::Tls)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    QuicClientConfig::try_from(tls).map_err(Error::NoInitialCipherSuite)
}
