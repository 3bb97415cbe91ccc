//! Certificate and key files in a directory of their own.

use std::path::PathBuf;

pub struct Files {
    directory: PathBuf,
    pub certificate: PathBuf,
    pub private_key: PathBuf,
}

impl Files {
    pub fn new(name: &str) -> Self {
        let unique: u64 = rand::random();
        let directory = std::env::temp_dir().join(format!("lavenderseam-agent-{unique:016x}"));
        std::fs::create_dir(&directory).unwrap();
        let files = Self {
            certificate: directory.join("certificate.pem"),
            private_key: directory.join("private_key.pem"),
            directory,
        };
        files.renew(name);
        files
    }

    /// Writes a new certificate.
    pub fn renew(&self, name: &str) {
        let made = rcgen::generate_simple_self_signed(vec![name.to_owned()]).unwrap();
        std::fs::write(&self.certificate, made.cert.pem()).unwrap();
        std::fs::write(&self.private_key, made.signing_key.serialize_pem()).unwrap();
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.directory).unwrap();
    }
}
