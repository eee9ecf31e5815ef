//! Digests of credentials. The rule file contains only digests, so that it discloses no
//! credential.

use sha2::{Digest, Sha256};

/// Lower-case hexadecimal SHA-256 of a caller's credential.
pub type CredentialDigest = String;

/// Returns the digest of a caller's credential, as written in the rule file.
#[must_use]
pub fn digest_credential(credential: &str) -> CredentialDigest {
    hex::encode(Sha256::digest(credential.as_bytes()))
}
