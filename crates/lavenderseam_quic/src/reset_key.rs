//! Key of QUIC stateless reset tokens, the same on all agents.

use lavenderseam_wire::SymmetricKey;
use quinn::crypto::{CryptoError, HmacKey};

/// Length of a stateless reset token, in bytes.
const TOKEN_LENGTH: usize = 16;

/// Derives the stateless reset token of a connection id.
pub(crate) struct ResetKey(SymmetricKey);

impl ResetKey {
    /// Wraps a key that is derived for stateless resets.
    pub(crate) fn new(key: SymmetricKey) -> Self {
        Self(key)
    }
}

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature: &mut [u8]) {
        signature.copy_from_slice(&self.0.authentication_tag(data));
    }

    fn signature_len(&self) -> usize {
        TOKEN_LENGTH
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        if self.0.verify_tag(data, signature) {
            Ok(())
        } else {
            Err(CryptoError)
        }
    }
}
