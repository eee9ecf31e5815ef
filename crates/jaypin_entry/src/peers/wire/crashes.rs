//! Wire format of crashes of backend servers.

use std::time::Duration;

use jaypin_router::{BackendRun, ClearedSuspect, Crash, RunEnd};

use super::{WireError, milliseconds};

/// Key of the backend server, start time of its process, state from 0 to 2, age in milliseconds,
/// fingerprints of contents and parts of prompts.
pub type WireCrash = (u32, u64, u8, u64, Vec<u64>);
/// Fingerprint of a content or part, age in milliseconds.
pub type WireCompletion = (u64, u64);

const SUSPECTED: u8 = 0;
const REFUTED: u8 = 1;
const CONFIRMED: u8 = 2;

pub fn wire_crash(crash: &Crash) -> WireCrash {
    let state = match crash.end {
        RunEnd::Suspected => SUSPECTED,
        RunEnd::Refuted => REFUTED,
        RunEnd::Confirmed => CONFIRMED,
    };
    let BackendRun { key, started } = crash.run;
    let age = milliseconds(crash.age);
    (key, started, state, age, crash.suspects.clone())
}

pub fn read_crash((key, started, state, age, suspects): WireCrash) -> Result<Crash, WireError> {
    let end = match state {
        SUSPECTED => RunEnd::Suspected,
        REFUTED => RunEnd::Refuted,
        CONFIRMED => RunEnd::Confirmed,
        _ => return Err(WireError::Crash { state }),
    };
    Ok(Crash {
        run: BackendRun { key, started },
        end,
        age: Duration::from_millis(age),
        suspects,
    })
}

pub fn wire_completion(completed: &ClearedSuspect) -> WireCompletion {
    (completed.suspect, milliseconds(completed.age))
}

pub fn read_completion((suspect, age): WireCompletion) -> ClearedSuspect {
    ClearedSuspect {
        suspect,
        age: Duration::from_millis(age),
    }
}
