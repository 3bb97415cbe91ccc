//! Certificate and key files in a temporary directory.

use std::path::PathBuf;

/// Files of a self-signed certificate; the directory is deleted on drop.
pub struct CertificateFiles {
    directory: PathBuf,
    pub certificate: PathBuf,
    pub private_key: PathBuf,
}

impl CertificateFiles {
    pub fn new(server_name: &str) -> Self {
        let unique: u64 = rand::random();
        let directory = std::env::temp_dir().join(format!("lavenderseam-agent-{unique:016x}"));
        std::fs::create_dir(&directory).unwrap();
        let files = Self {
            certificate: directory.join("certificate.pem"),
            private_key: directory.join("private_key.pem"),
            directory,
        };
        files.regenerate(server_name);
        files
    }

    /// Generates a certificate for a server name and replaces the files with it.
    pub fn regenerate(&self, server_name: &str) {
        let generated = rcgen::generate_simple_self_signed(vec![server_name.to_owned()]).unwrap();
        std::fs::write(&self.certificate, generated.cert.pem()).unwrap();
        std::fs::write(&self.private_key, generated.signing_key.serialize_pem()).unwrap();
    }
}

impl Drop for CertificateFiles {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.directory).unwrap();
    }
}
