//! Checks executions by request, by key, by account, and on leaving backend servers.

use std::collections::{HashMap, HashSet};

use super::{ExecutionRecord, History, Promise, Violation};

/// Checks that no request id is executed twice, on the same or on different backend servers.
pub(super) fn check_requests(history: &History, out: &mut Vec<Violation>) {
    let mut seen: HashMap<&str, &ExecutionRecord> = HashMap::new();
    for execution in &history.executions {
        if let Some(first) = seen.insert(&execution.request_id, execution) {
            let detail = format!(
                "request {} ran on {} and on {}",
                execution.request_id, first.backend, execution.backend
            );
            out.push(Violation::new(Promise::DispatchedOnce, detail));
        }
    }
}

/// Checks that no key of a call that must not be repeated is executed twice.
pub(super) fn check_keys(history: &History, out: &mut Vec<Violation>) {
    let calls = history.calls.iter().filter(|call| call.never_repeat);
    let single_run_keys: HashSet<&str> = calls.filter_map(|call| call.key.as_deref()).collect();
    let mut seen: HashMap<&str, &ExecutionRecord> = HashMap::new();
    for execution in &history.executions {
        let key = execution.key.as_str();
        if !single_run_keys.contains(key) {
            continue;
        }
        if let Some(first) = seen.insert(key, execution) {
            let detail = format!(
                "key {key} ran as {} on {} and as {} on {}",
                first.request_id, first.backend, execution.request_id, execution.backend
            );
            out.push(Violation::new(Promise::KeyRunsOnce, detail));
        }
    }
}

/// Checks that each request was executed for the account of its caller.
pub(super) fn check_accounts(history: &History, out: &mut Vec<Violation>) {
    let calls = history.calls.iter();
    let accounts: HashMap<&str, &str> = calls
        .filter_map(|call| Some((call.request_id.as_deref()?, call.account.as_str())))
        .collect();
    for execution in &history.executions {
        let Some(account) = accounts.get(execution.request_id.as_str()) else {
            continue;
        };
        if !execution.account.is_empty() && execution.account != *account {
            let detail = format!(
                "request {} of {account} ran for {}",
                execution.request_id, execution.account
            );
            out.push(Violation::new(Promise::OwnAccount, detail));
        }
    }
}

/// Checks that no execution begins on a backend server while hosts know that it is leaving.
pub(super) fn check_leaving(history: &History, out: &mut Vec<Violation>) {
    for leaving in &history.leaving {
        let late = history.executions.iter().filter(|execution| {
            execution.backend == leaving.backend
                && (leaving.from_ms..leaving.until_ms).contains(&execution.began_ms)
        });
        for execution in late {
            let detail = format!(
                "request {} began on {} {} ms after it had to be known as leaving",
                execution.request_id,
                execution.backend,
                execution.began_ms - leaving.from_ms
            );
            out.push(Violation::new(Promise::LeavingGetsNoWork, detail));
        }
    }
}
