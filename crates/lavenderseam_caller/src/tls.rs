//! The caller's side of TLS.

use std::sync::Arc;

use quinn::crypto::rustls::QuicClientConfig;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;

use crate::{Error, Settings};

/// TLS 1.3 that trusts the root certificates of the settings only.
pub(crate) fn configuration(settings: &Settings) -> Result<QuicClientConfig, Error> {
    let failed = |error| Error::Roots(settings.root_file.clone(), error);
    let mut roots = rustls::RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(&settings.root_file).map_err(failed)? {
        let certificate = certificate.map_err(failed)?;
        roots.add(certificate).map_err(Error::Tls)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(Error::Tls)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    QuicClientConfig::try_from(tls).map_err(Error::Cipher)
}
