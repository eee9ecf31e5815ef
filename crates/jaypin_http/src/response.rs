//! Checks of responses.

use hyper::StatusCode;

/// Returns whether a status can be that of a final response (RFC 9110, section 15). Callers of this crate
/// ask for no other protocol, so that `101` is none.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
