//! History checker: checks the records of callers, stand-ins and hosts against the promises
//! of the system.

mod answers;
mod check;
mod executions;
mod order;
mod record;

pub use check::{CheckOutcome, Promise, Violation, check};
pub use record::{
    Answered, CallRecord, ExecutionRecord, History, LeavingRecord, RulesRecord, ShutdownRecord,
};
