//! Conditional writes whose answer may be lost.

use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::platform::{PlatformClient, PutOutcome};

/// Pause before a write is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// When to stop trying.
#[derive(Debug, Clone, Copy)]
pub struct Deadline(Instant);

impl Deadline {
    /// A deadline that is some time away.
    pub fn after(wait: Duration) -> Self {
        Self(Instant::now() + wait)
    }

    /// Whether it has passed.
    pub fn is_over(self) -> bool {
        Instant::now() >= self.0
    }
}

/// What became of a conditional write, for certain.
#[derive(Debug)]
pub enum Settled<T> {
    /// It took effect, as this version.
    Written(u64),
    /// It did not; this is what was there.
    Conflict(u64, T),
}

/// Writes an object if it has the expected version, and finds out whether it did.
///
/// Guards against a write that takes effect while its answer is lost. It shows as an
/// error or as a conflict with the own value. Each try carries the same expected
/// version, so at most one takes effect; after a conflict the object is read back, and
/// `is_ours` tells the own write from another's. A read that is older than the conflict
/// comes from a stale copy and is repeated.
pub fn put_settled<T: Serialize + DeserializeOwned>(
    client: &PlatformClient,
    key: &str,
    expected: u64,
    value: &T,
    deadline: Deadline,
    is_ours: impl Fn(&T) -> bool,
) -> Result<Settled<T>, String> {
    let mut last_error = String::new();
    while !deadline.is_over() {
        match client.put(key, expected, value) {
            Ok(PutOutcome::Written(version)) => return Ok(Settled::Written(version)),
            Ok(PutOutcome::Conflict(at_least)) => match client.get::<T>(key) {
                Ok(Some((version, found))) if version >= at_least => {
                    return Ok(if is_ours(&found) {
                        Settled::Written(version)
                    } else {
                        Settled::Conflict(version, found)
                    });
                }
                Ok(_) => "the platform reads from an old copy".clone_into(&mut last_error),
                Err(error) => last_error = error,
            },
            Err(error) => last_error = error,
        }
        log::info!(key, error = last_error; "write not settled, trying again");
        thread::sleep(RETRY_PAUSE);
    }
    Err(format!("the platform gave no certain answer: {last_error}"))
}
