//! Generated keys and certificates of a deployment.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use rand::RngExt;
use rcgen::CertifiedKey;

use crate::Error;

/// Server name that callers verify in the certificate.
pub const SERVER_NAME: &str = "localhost";

/// Paths of the files with keys and certificates.
#[derive(Clone, Debug)]
pub(crate) struct Credentials {
    pub(crate) key_file: PathBuf,
    pub(crate) certificate_file: PathBuf,
    pub(crate) private_key_file: PathBuf,
}

impl Credentials {
    /// Generates keys and a certificate, and writes them to a directory.
    pub(crate) fn new(directory: &Path) -> Result<Self, Error> {
        let credentials = Self {
            key_file: directory.join("shared.key"),
            certificate_file: directory.join("certificate.pem"),
            private_key_file: directory.join("private_key.pem"),
        };
        let names = vec![SERVER_NAME.to_owned()];
        let CertifiedKey { cert, signing_key } =
            rcgen::generate_simple_self_signed(names).map_err(Error::GenerateCertificate)?;
        write_new_file(&credentials.key_file, &shared_key())?;
        write_new_file(&credentials.certificate_file, &cert.pem())?;
        write_new_file(&credentials.private_key_file, &signing_key.serialize_pem())?;
        Ok(credentials)
    }
}

fn shared_key() -> String {
    let bytes: [u8; 32] = rand::rng().random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Writes a new file; fails if it exists, because the file then belongs to another process.
pub(crate) fn write_new_file(path: &Path, content: &str) -> Result<(), Error> {
    let file_error = |source| Error::file(path, source);
    let mut file = File::create_new(path).map_err(file_error)?;
    file.write_all(content.as_bytes()).map_err(file_error)
}
