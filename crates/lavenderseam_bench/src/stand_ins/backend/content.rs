//! Deterministic file contents.

use xxhash_rust::xxh3::xxh3_64;

/// Increment of the linear congruential generator.
const LCG_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the content of a file. Files of different services or lengths have different contents.
#[must_use]
pub fn file(service: &str, bytes: usize) -> Vec<u8> {
    let mut state = xxh3_64(service.as_bytes()) ^ bytes as u64;
    let mut content = Vec::with_capacity(bytes + 8);
    while content.len() < bytes {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(LCG_INCREMENT);
        content.extend_from_slice(&state.to_be_bytes());
    }
    content.truncate(bytes);
    content
}

/// Returns the hash of a content, in the format of the header `x-content-hash`.
#[must_use]
pub fn hash(content: &[u8]) -> String {
    format!("{:016x}", xxh3_64(content))
}
