//! Decision records: kept for a while in memory, and written to the structured log.

mod owner;
mod ring;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jaypin_core::{Record, RequestInfo, Step};
use jaypin_rules::RuleSet;
use jaypin_wire::{AppliedRule, ExplainBody, ExplainStep, StepBody};
use tokio::sync::watch;

use crate::metrics;
use crate::snapshot::Snapshot;
use ring::Ring;

pub use owner::RequestOwner;

/// The records of the requests that this host owns.
#[derive(Debug)]
pub struct Decisions {
    snapshots: watch::Receiver<Arc<Snapshot>>,
    ring: Mutex<Ring>,
}

impl Decisions {
    /// Starts without a record.
    pub fn new(snapshots: watch::Receiver<Arc<Snapshot>>) -> Self {
        let ring = Mutex::default();
        Self { snapshots, ring }
    }

    /// Begins a record with the rules that the request was read by.
    ///
    /// They are named now, because a later version may have other rules in their lines.
    pub fn begin(&self, info: &RequestInfo, snapshot: &Snapshot) {
        let rules = &snapshot.rules;
        let applied = info.rule_lines.iter().map(|line| applied(rules, *line));
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

    /// Adds a step to its request's record.
    pub fn add(&self, record: &Record) {
        write_down(record);
        let mut step = StepBody::from(&record.step);
        if let StepBody::Refused {
            rule: Some(rule), ..
        } = &mut step
        {
            *rule = applied(&self.snapshots.borrow().rules, rule.line);
        }
        let step = ExplainStep::new(record.after, step);
        let tier = self.lock().add(&record.id, step);
        metrics::step(&tier.unwrap_or_default(), record.after, &record.step);
    }

    /// Finds the record of a request.
    pub fn find(&self, id: &str) -> Option<ExplainBody> {
        self.lock().find(id)
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn applied(rules: &RuleSet, line: u32) -> AppliedRule {
    let found = rules.rule_at(line);
    AppliedRule {
        line,
        rule: found.as_ref().map_or(String::new(), |it| it.name.clone()),
        asked_by: found.map(|it| it.origin.requester.clone()),
    }
}

/// The log keeps what memory lets go of, and what a host takes along when it dies.
fn write_down(record: &Record) {
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
