//! Changing the rules: a conditional write that is settled, and its audit trail.
//!
//! The process that holds the file writes straight to the platform. No host stands in
//! between whose death would leave the write open, and the first rules need no ready
//! host.

mod parts;
mod settle;
mod store;
mod trail;

pub use parts::read_parts;
pub use settle::Deadline;
pub use store::{Applied, NewRules, RulesStore};
pub use trail::Trail;

/// Time now, in seconds since the Unix epoch.
pub fn unix_seconds() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
