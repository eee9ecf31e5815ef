//! Changes of the rules: a conditional write whose outcome is confirmed, and the audit trail.
//!
//! The operator's command writes directly to the platform. With a host in between, the outcome
//! of a write would be unknown when that host crashes, and the first rules couldn't be written,
//! since no host is ready without rules.

mod audit_trail;
mod confirmed_put;
mod parts;
mod store;

pub use audit_trail::AuditTrail;
pub use confirmed_put::Deadline;
pub use parts::read_parts;
pub use store::{Applied, NewRules, RulesStore};

/// Returns the current time in seconds since the Unix epoch.
pub fn unix_seconds() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}
