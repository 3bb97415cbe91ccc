//! Keys and certificates of a deployment.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use rand::RngExt;
use rcgen::CertifiedKey;

use crate::Error;

/// Name that callers verify.
pub const SERVER_NAME: &str = "localhost";

/// Files with keys and certificates.
#[derive(Clone, Debug)]
pub(crate) struct Credentials {
    pub(crate) key_file: PathBuf,
    pub(crate) certificate_file: PathBuf,
    pub(crate) private_key_file: PathBuf,
}

impl Credentials {
    /// Writes fresh ones into a directory.
    pub(crate) fn new(directory: &Path) -> Result<Self, Error> {
        let credentials = Self {
            key_file: directory.join("shared.key"),
            certificate_file: directory.join("certificate.pem"),
            private_key_file: directory.join("private_key.pem"),
        };
        let names = vec![SERVER_NAME.to_owned()];
        let CertifiedKey { cert, signing_key } =
            rcgen::generate_simple_self_signed(names).map_err(Error::Certificate)?;
        write(&credentials.key_file, &shared_key())?;
        write(&credentials.certificate_file, &cert.pem())?;
        write(&credentials.private_key_file, &signing_key.serialize_pem())?;
        Ok(credentials)
    }
}

fn shared_key() -> String {
    let bytes: [u8; 32] = rand::rng().random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Writes a new file; one that exists belongs to another process.
pub(crate) fn write(path: &Path, content: &str) -> Result<(), Error> {
    let failed = |cause| Error::file(path, cause);
    let mut file = File::create_new(path).map_err(failed)?;
    file.write_all(content.as_bytes()).map_err(failed)
}
