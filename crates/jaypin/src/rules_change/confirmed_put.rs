//! Conditional writes whose outcome is confirmed even if a response is lost.

use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::platform::{PlatformClient, PutOutcome};

/// Pause before a write is attempted again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The time after which an operation is no longer attempted.
#[derive(Debug, Clone, Copy)]
pub struct Deadline(Instant);

impl Deadline {
    /// Creates a deadline that passes after the given time.
    pub fn after(timeout: Duration) -> Self {
        Self(Instant::now() + timeout)
    }

    /// Returns whether the deadline has passed.
    pub fn has_passed(self) -> bool {
        Instant::now() >= self.0
    }
}

/// The confirmed outcome of a conditional write.
#[derive(Debug)]
pub enum ConfirmedPut<T> {
    /// The write took effect and created this version.
    Written(u64),
    /// The write did not take effect; version and value of the stored object.
    Conflict(u64, T),
}

/// Writes an object if the stored one has the expected version, and confirms the outcome.
///
/// A write may take effect although its response is lost. The client then sees an error, or, on
/// the next attempt, a conflict with its own value. All attempts have the same expected version,
/// so at most one takes effect. After a conflict the object is read back, and `is_own_write`
/// distinguishes the client's own write from another one. A read of an older version than that
/// of the conflict comes from a stale replica and is repeated.
pub fn put_confirmed<T: Serialize + DeserializeOwned>(
    client: &PlatformClient,
    key: &str,
    expected: u64,
    value: &T,
    deadline: Deadline,
    is_own_write: impl Fn(&T) -> bool,
) -> Result<ConfirmedPut<T>, String> {
    let mut last_error = String::new();
    while !deadline.has_passed() {
        match client.put(key, expected, value) {
            Ok(PutOutcome::Written(version)) => return Ok(ConfirmedPut::Written(version)),
            Ok(PutOutcome::Conflict(at_least)) => match client.get::<T>(key) {
                Ok(Some((version, found))) if version >= at_least => {
                    return Ok(if is_own_write(&found) {
                        ConfirmedPut::Written(version)
                    } else {
                        ConfirmedPut::Conflict(version, found)
                    });
                }
                Ok(_) => "the platform returned an outdated version".clone_into(&mut last_error),
                Err(error) => last_error = error,
            },
            Err(error) => last_error = error,
        }
        log::info!(
            key, error = last_error;
            "outcome of a write to the platform not confirmed; retrying"
        );
        thread::sleep(RETRY_PAUSE);
    }
    Err(format!(
        "the outcome of the write to the platform could not be confirmed in time: {last_error}"
    ))
}
