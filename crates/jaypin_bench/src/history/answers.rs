//! Checks answers against their requests, `not-run` refusals against the executions, and
//! shutdowns against broken connections.

use std::collections::HashMap;

use super::{Answered, CallRecord, ExecutionRecord, History, Promise, Violation};

/// A call that began less than this before a shutdown may not have reached the host.
const ARRIVAL_TOLERANCE_MS: u64 = 100;

impl CallRecord {
    /// Returns whether the call was refused with the outcome `not-run`.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(&self.answered, Answered::Refused { outcome, .. } if outcome == "not-run")
    }

    /// Returns whether the call was shed, that is refused for lack of capacity.
    #[must_use]
    pub fn shed(&self) -> bool {
        matches!(&self.answered, Answered::Refused { reason, .. } if reason == "shed")
    }

    /// Returns the text that identifies the call in a violation.
    pub(super) fn name(&self) -> String {
        let id = self.request_id.as_deref().unwrap_or("without id");
        match &self.key {
            Some(key) => format!("request {id} (key {key})"),
            None => format!("request {id}"),
        }
    }
}

/// Checks that a whole answer equals the expected one, and that a partial answer is a
/// prefix of it and is marked as incomplete.
pub(super) fn check_answers(history: &History, out: &mut Vec<Violation>) {
    for call in &history.calls {
        let fault = match &call.answered {
            Answered::Whole { text } => (*text != call.expected).then_some("is not the whole own"),
            Answered::QuietEnd { .. } => Some("ends without a mark"),
            Answered::Refused { text, .. } | Answered::Broken { text } => {
                (!call.expected.starts_with(text.as_str())).then_some("is no part of the own")
            }
            Answered::Nothing => None,
        };
        if let Some(fault) = fault {
            let detail = format!("the answer to {} {fault}", call.name());
            out.push(Violation::new(Promise::OwnWholeAnswer, detail));
        }
    }
}

/// Checks that nothing ran under the id of a request refused as `not-run`, and that nothing
/// had run under its key before the call began. An execution that began later belongs to
/// another call.
pub(super) fn check_not_run(history: &History, out: &mut Vec<Violation>) {
    let mut by_id: HashMap<&str, &ExecutionRecord> = HashMap::new();
    let mut by_key: HashMap<&str, &ExecutionRecord> = HashMap::new();
    for execution in &history.executions {
        by_id.insert(&execution.request_id, execution);
        if !execution.key.is_empty() {
            by_key.insert(&execution.key, execution);
        }
    }
    for call in history.calls.iter().filter(|call| call.not_run()) {
        let id = call.request_id.as_deref();
        if let Some(execution) = id.and_then(|id| by_id.get(id)) {
            let detail = format!("{} ran on {}", call.name(), execution.backend);
            out.push(Violation::new(Promise::NotRunIsNotRun, detail));
        }
        let key = call.key.as_deref().filter(|_| call.never_repeat);
        let earlier = key
            .and_then(|key| by_key.get(key))
            .filter(|execution| execution.began_ms < call.began_ms);
        if let Some(execution) = earlier {
            let detail = format!(
                "{} was told not-run, but its key had run on {} {} ms before",
                call.name(),
                execution.backend,
                call.began_ms - execution.began_ms
            );
            out.push(Violation::new(Promise::NotRunIsNotRun, detail));
        }
    }
}

/// Checks that a host that shuts down breaks no connection of a call that began before.
pub(super) fn check_shutdowns(history: &History, out: &mut Vec<Violation>) {
    for shutdown in &history.shutdowns {
        let cut = history.calls.iter().filter(|call| {
            call.host == shutdown.host
                && matches!(call.answered, Answered::Broken { .. })
                && call.began_ms + ARRIVAL_TOLERANCE_MS < shutdown.from_ms
                && (shutdown.from_ms..=shutdown.until_ms).contains(&call.ended_ms)
        });
        for call in cut {
            let detail = format!(
                "{} was cut {} ms after {} was told to leave",
                call.name(),
                call.ended_ms - shutdown.from_ms,
                shutdown.host
            );
            out.push(Violation::new(Promise::ShutdownCutsNothing, detail));
        }
    }
}
