//! Checks the order of shedding by tier and of rule versions by time.

use std::collections::HashMap;

use super::{CallRecord, History, Promise, Violation};

/// Logged times that differ by no more than this are treated as unordered.
const CLOCK_TOLERANCE_MS: u64 = 50;

/// Checks that no call is shed while a call of a lower tier waits for the same service.
///
/// The exact time at which a call was shed is not logged. A waiting call therefore counts
/// only if it waited for the whole duration of the shed call; shorter waits are ignored.
pub(super) fn check_shed_order(history: &History, out: &mut Vec<Violation>) {
    let executions = history.executions.iter();
    let began: HashMap<&str, u64> = executions
        .map(|execution| (execution.request_id.as_str(), execution.began_ms))
        .collect();
    let waited: Vec<(&CallRecord, u64)> = history
        .calls
        .iter()
        .filter_map(|call| Some((call, *began.get(call.request_id.as_deref()?)?)))
        .collect();
    for shed in history.calls.iter().filter(|call| call.shed()) {
        let lower = waited.iter().find(|(other, began)| {
            other.service == shed.service
                && other.rank > shed.rank
                && other.began_ms + CLOCK_TOLERANCE_MS < shed.began_ms
                && *began > shed.ended_ms + CLOCK_TOLERANCE_MS
        });
        if let Some((other, _)) = lower {
            let detail = format!(
                "{} of rank {} was shed while {} of rank {} waited, which ran later",
                shed.name(),
                shed.rank,
                other.name(),
                other.rank
            );
            out.push(Violation::new(Promise::ShedOrder, detail));
        }
    }
}

/// Checks that the active rule version of a host never decreases, including across restarts.
pub(super) fn check_rules(history: &History, out: &mut Vec<Violation>) {
    let mut records: Vec<_> = history.rules.iter().collect();
    records.sort_by_key(|record| record.at_ms);
    let mut greatest: HashMap<&str, u64> = HashMap::new();
    for record in records.into_iter().filter(|record| record.version > 0) {
        let before = greatest.entry(&record.host).or_default();
        if record.version < *before {
            let detail = format!(
                "{} had version {before} in force and then {}",
                record.host, record.version
            );
            out.push(Violation::new(Promise::RulesNeverRevert, detail));
        }
        *before = record.version.max(*before);
    }
}
