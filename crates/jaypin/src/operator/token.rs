//! Check of the operators' bearer token.

use jaypin_rules::digest_credential;
use subtle::ConstantTimeEq;
use tiny_http::Request;

/// Returns whether a request is authorized to use the operators' listener.
///
/// The digest of the received token is compared in constant time, so that the response time
/// reveals nothing about the expected one. Without a digest in the settings, every request is
/// authorized; the settings then require a loopback address for the listener.
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
