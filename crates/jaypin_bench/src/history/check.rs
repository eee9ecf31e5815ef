//! Runs every check and collects the violations.

use serde::Serialize;

use super::History;
use super::answers::{check_answers, check_not_run, check_shutdowns};
use super::executions::{check_accounts, check_keys, check_leaving, check_requests};
use super::order::{check_rules, check_shed_order};

/// A guarantee of the system towards callers and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A request is dispatched at most once.
    DispatchedOnce,
    /// A call that must not be repeated runs at most once for its key.
    KeyRunsOnce,
    /// A caller gets the whole answer to its own request, or a marked end.
    OwnWholeAnswer,
    /// A request that was refused as `not-run` did not run.
    NotRunIsNotRun,
    /// A higher tier is never shed while a lower one waits.
    ShedOrder,
    /// Work is executed for the account that requested it.
    OwnAccount,
    /// A leaving backend server gets no new work.
    LeavingGetsNoWork,
    /// A host that shuts down cuts no call.
    ShutdownCutsNothing,
    /// The active rule version of a host never decreases.
    RulesNeverRevert,
}

/// A broken promise in a history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The promise that was broken.
    pub promise: Promise,
    /// Human-readable description of what happened.
    pub detail: String,
}

impl Violation {
    /// Creates a violation of a promise.
    pub(super) fn new(promise: Promise, detail: String) -> Self {
        Self { promise, detail }
    }
}

/// Violations found by the checks, and the number of records checked.
#[derive(Debug, Clone, Serialize)]
pub struct CheckOutcome {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Number of calls checked.
    pub calls: usize,
    /// Number of executions checked.
    pub executions: usize,
    /// Number of refusals with the outcome `not-run`.
    pub not_run: usize,
    /// Number of calls shed for lack of capacity; the shedding order is checked on them.
    pub shed: usize,
    /// Number of rule version records checked.
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
