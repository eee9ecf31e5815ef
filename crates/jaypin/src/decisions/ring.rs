//! Records by request, bounded in number and bytes; the oldest give way.

use std::collections::{HashMap, VecDeque};

use jaypin_core::RequestId;
use jaypin_wire::{ExplainBody, ExplainStep, StepBody};

/// Requests that are kept.
const MAX_REQUESTS: usize = 20_000;
/// Bytes that they may take, about.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Steps of one request; one that asks for slots for minutes has no more.
const MAX_STEPS: usize = 64;

/// Records by request.
#[derive(Debug, Default)]
pub struct Ring {
    records: HashMap<RequestId, ExplainBody>,
    order: VecDeque<RequestId>,
    bytes: usize,
}

impl Ring {
    /// Takes a new record, and lets the oldest go for it.
    pub fn insert(&mut self, id: RequestId, body: ExplainBody) {
        self.bytes += body_bytes(&body);
        if let Some(old) = self.records.insert(id.clone(), body) {
            self.bytes = self.bytes.saturating_sub(body_bytes(&old));
        } else {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_REQUESTS || self.bytes > MAX_BYTES {
            self.drop_oldest();
        }
    }

    /// Adds a step, when the record is there still; gives the request's tier.
    pub fn add(&mut self, id: &str, step: ExplainStep) -> Option<String> {
        let body = self.records.get_mut(id)?;
        if body.steps.len() < MAX_STEPS {
            self.bytes += step_bytes(&step);
            body.steps.push(step);
        }
        Some(body.tier.clone())
    }

    /// Finds a record.
    pub fn find(&self, id: &str) -> Option<&ExplainBody> {
        self.records.get(id)
    }

    fn drop_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else {
            return;
        };
        if let Some(body) = self.records.remove(&id) {
            self.bytes = self.bytes.saturating_sub(body_bytes(&body));
        }
    }
}

fn body_bytes(body: &ExplainBody) -> usize {
    let names = [&body.request_id, &body.account, &body.service, &body.tier];
    let names: usize = names.iter().map(|name| name.len()).sum();
    let rules: usize = body
        .rules
        .iter()
        .map(|rule| {
            size_of_val(rule) + rule.rule.len() + rule.asked_by.as_ref().map_or(0, String::len)
        })
        .sum();
    let steps: usize = body.steps.iter().map(step_bytes).sum();
    size_of_val(body) + names + rules + steps
}

fn step_bytes(step: &ExplainStep) -> usize {
    let texts = match &step.what {
        StepBody::Asked { shard, leader, .. } => shard.len() + leader.len(),
        StepBody::Dispatched {
            backend,
            candidates,
            ..
        } => {
            backend.len()
                + candidates
                    .iter()
                    .map(|it| size_of_val(it) + it.backend.len())
                    .sum::<usize>()
        }
        StepBody::Refused { reason, .. } => reason.len(),
        StepBody::Claimed { verdict } => verdict.len(),
        StepBody::Other { text } => text.len(),
        StepBody::Arrived
        | StepBody::NotReached
        | StepBody::FirstToken
        | StepBody::Finished { .. } => 0,
    };
    size_of_val(step) + texts
}
