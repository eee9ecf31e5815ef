//! Decision records of requests, held in memory for a limited time and written to the
//! structured log.

mod buffer;
mod owner;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jaypin_core::{Record, RequestInfo, Step};
use jaypin_rules::RuleSet;
use jaypin_wire::{AppliedRule, ExplainBody, ExplainStep, StepBody};
use tokio::sync::watch;

use crate::metrics;
use crate::snapshot::Snapshot;
use buffer::RecordBuffer;

pub use owner::RequestOwner;

/// Records of the requests that this host owns.
#[derive(Debug)]
pub struct Decisions {
    snapshots: watch::Receiver<Arc<Snapshot>>,
    buffer: Mutex<RecordBuffer>,
}

impl Decisions {
    /// Creates an empty store; the snapshots provide the rules that records refer to.
    pub fn new(snapshots: watch::Receiver<Arc<Snapshot>>) -> Self {
        let buffer = Mutex::default();
        Self { snapshots, buffer }
    }

    /// Creates the record of a request, with the rules that apply to it.
    ///
    /// The rules are resolved to their names here, because another rule may stand on the
    /// same line in a later version.
    pub fn begin(&self, info: &RequestInfo, snapshot: &Snapshot) {
        let rules = &snapshot.rules;
        let applied = info
            .rule_lines
            .iter()
            .map(|line| applied_rule(rules, *line));
        let tier = rules.tier_by_rank(info.tier);
        let body = ExplainBody {
            request_id: info.id.to_string(),
            account: info.account.to_string(),
            service: info.service.to_string(),
            tier: tier.map(|tier| tier.name.clone()).unwrap_or_default(),
            rules_version: snapshot.rules_version,
            rules: applied.collect(),
            steps: Vec::new(),
        };
        self.lock().insert(info.id.clone(), body);
    }

    /// Writes a step to the log, adds it to the record of its request and counts it.
    pub fn add(&self, record: &Record) {
        log_step(record);
        let mut step = StepBody::from(&record.step);
        if let StepBody::Refused {
            rule: Some(rule), ..
        } = &mut step
        {
            *rule = applied_rule(&self.snapshots.borrow().rules, rule.line);
        }
        let step = ExplainStep::new(record.after, step);
        let tier = self.lock().add(&record.id, step);
        metrics::record_step(&tier.unwrap_or_default(), record.after, &record.step);
    }

    /// Returns the record of a request, if it is still held.
    pub fn find(&self, id: &str) -> Option<ExplainBody> {
        self.lock().find(id)
    }

    fn lock(&self) -> MutexGuard<'_, RecordBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the rule on a line with its name and requester, which are empty if the line holds
/// no rule.
fn applied_rule(rules: &RuleSet, line: u32) -> AppliedRule {
    let rule = rules.rule_at(line);
    AppliedRule {
        line,
        rule: rule.as_ref().map_or(String::new(), |it| it.name.clone()),
        asked_by: rule.map(|it| it.origin.requester.clone()),
    }
}

/// Writes a step to the log, which retains records that are evicted from memory or lost in
/// a crash of the host.
fn log_step(record: &Record) {
    let after_us = u64::try_from(record.after.as_micros()).unwrap_or(u64::MAX);
    match &record.step {
        Step::Refused(refusal) => log::info!(
            target: "jaypin::decision",
            request:% = record.id,
            account:% = record.account,
            after_us,
            reason = refusal.reason.as_str(),
            outcome = refusal.ran.as_str(),
            rule_line:? = refusal.rule_line;
            "refused"
        ),
        step => log::info!(
            target: "jaypin::decision",
            request:% = record.id,
            account:% = record.account,
            after_us,
            step:? = step;
            "decision"
        ),
    }
}
