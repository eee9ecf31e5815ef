//! The history checker: what callers, stand-ins and hosts logged, against the promises.

mod answers;
mod check;
mod executions;
mod order;
mod record;

pub use check::{CheckOutcome, Promise, Violation, check};
pub use record::{
    Answered, CallRecord, ExecutionRecord, History, LeavingRecord, RulesRecord, ShutdownRecord,
};
