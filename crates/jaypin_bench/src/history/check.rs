//! The checks, and what they found.

use serde::Serialize;

use super::History;
use super::answers::{check_answers, check_not_run, check_shutdowns};
use super::executions::{check_accounts, check_keys, check_leaving, check_requests};
use super::order::{check_rules, check_shed_order};

/// What is promised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A request is dispatched at most once.
    DispatchedOnce,
    /// A call that may not be repeated runs at most once for its key.
    KeyRunsOnce,
    /// A caller gets the whole answer to its own request, or a marked end.
    OwnWholeAnswer,
    /// What is said not to have run did not run.
    NotRunIsNotRun,
    /// A higher tier is never shed while a lower one waits.
    ShedOrder,
    /// Work is done for the account that asked.
    OwnAccount,
    /// A leaving backend server gets no new work.
    LeavingGetsNoWork,
    /// A host that is told to leave cuts no call.
    ShutdownCutsNothing,
    /// A rule version in force never falls.
    RulesNeverRevert,
}

/// A promise that a history breaks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What happened, for a person.
    pub detail: String,
}

impl Violation {
    /// Joins promise and detail.
    pub(super) fn new(promise: Promise, detail: String) -> Self {
        Self { promise, detail }
    }
}

/// What the checks found, and over how much.
#[derive(Debug, Clone, Serialize)]
pub struct CheckOutcome {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Calls that were looked at.
    pub calls: usize,
    /// Executions that were looked at.
    pub executions: usize,
    /// Refusals that said `not-run`.
    pub not_run: usize,
    /// Refusals for want of capacity, on which the order is checked.
    pub shed: usize,
    /// Rule versions that were looked at.
    pub rules: usize,
}

/// Checks a history against every promise.
#[must_use]
pub fn check(history: &History) -> CheckOutcome {
    let mut violations = Vec::new();
    check_requests(history, &mut violations);
    check_keys(history, &mut violations);
    check_accounts(history, &mut violations);
    check_leaving(history, &mut violations);
    check_answers(history, &mut violations);
    check_not_run(history, &mut violations);
    check_shutdowns(history, &mut violations);
    check_shed_order(history, &mut violations);
    check_rules(history, &mut violations);
    CheckOutcome {
        violations,
        calls: history.calls.len(),
        executions: history.executions.len(),
        not_run: history.calls.iter().filter(|call| call.not_run()).count(),
        shed: history.calls.iter().filter(|call| call.shed()).count(),
        rules: history.rules.len(),
    }
}
