//! The operators' bearer token.

use jaypin_rules::digest_credential;
use subtle::ConstantTimeEq;
use tiny_http::Request;

/// Whether a request may see and do what operators may.
///
/// The digest of what was sent is compared in constant time, so timing tells nothing of
/// the token. Without a digest in the settings everyone on the loopback may.
pub fn is_allowed(req: &Request, digest: Option<&str>) -> bool {
    let Some(digest) = digest else {
        return true;
    };
    let headers = req.headers().iter();
    let sent = headers
        .filter(|header| header.field.equiv("authorization"))
        .find_map(|header| header.value.as_str().strip_prefix("Bearer "));
    let sent = sent.map(digest_credential).unwrap_or_default();
    sent.as_bytes().ct_eq(digest.as_bytes()).into()
}
