//! Credentials are kept as digests only, so that the rule file gives none away.

use sha2::{Digest, Sha256};

/// Lower-case hexadecimal SHA-256 of a caller's credential.
pub type CredentialDigest = String;

/// Digests a caller's credential the way the rule file stores it.
#[must_use]
pub fn digest_credential(credential: &str) -> CredentialDigest {
    hex::encode(Sha256::digest(credential.as_bytes()))
}
