//! Records by request, bounded in number and bytes; the oldest give way.

use std::collections::{HashMap, VecDeque};

use jaypin_core::RequestId;
use jaypin_wire::{ExplainBody, ExplainStep, StepBody};

/// Requests that are kept.
const MAX_REQUESTS: usize = 20_000;
/// Bytes that ended ones may take.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Steps of one request; one that asks for slots for minutes has no more.
const MAX_STEPS: usize = 64;

/// Records by request.
#[derive(Debug, Default)]
pub struct Ring {
    records: HashMap<RequestId, Kept>,
    order: VecDeque<RequestId>,
    bytes: usize,
}

/// A record as it is kept.
#[derive(Debug)]
enum Kept {
    /// The request goes on.
    Open(Box<ExplainBody>),
    /// It ended: as JSON, whose bytes are counted exactly.
    Closed(Box<[u8]>),
}

impl Kept {
    fn bytes(&self) -> usize {
        match self {
            Self::Open(_) => 0,
            Self::Closed(json) => json.len(),
        }
    }

    fn body(&self) -> Option<ExplainBody> {
        match self {
            Self::Open(body) => Some(ExplainBody::clone(body)),
            Self::Closed(json) => serde_json::from_slice(json).ok(),
        }
    }
}

impl Ring {
    /// Takes a new record, and lets the oldest go for it.
    pub fn insert(&mut self, id: RequestId, body: ExplainBody) {
        let kept = Kept::Open(Box::new(body));
        if let Some(old) = self.records.insert(id.clone(), kept) {
            self.bytes -= old.bytes();
        } else {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_REQUESTS || self.bytes > MAX_BYTES {
            self.drop_oldest();
        }
    }

    /// Adds a step, when the record is there still; gives the request's tier.
    pub fn add(&mut self, id: &str, step: ExplainStep) -> Option<String> {
        let kept = self.records.get_mut(id)?;
        if let Kept::Open(body) = kept
            && !ends(&step.what)
        {
            push(body, step);
            return Some(body.tier.clone());
        }
        // A step behind the end, such as the refusal after a lost call, opens it again.
        let mut body = kept.body()?;
        push(&mut body, step);
        let json = serde_json::to_vec(&body).ok()?;
        self.bytes -= kept.bytes();
        self.bytes += json.len();
        *kept = Kept::Closed(json.into_boxed_slice());
        Some(body.tier)
    }

    /// Finds a record.
    pub fn find(&self, id: &str) -> Option<ExplainBody> {
        self.records.get(id)?.body()
    }

    fn drop_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else {
            return;
        };
        if let Some(kept) = self.records.remove(&id) {
            self.bytes -= kept.bytes();
        }
    }
}

fn push(body: &mut ExplainBody, step: ExplainStep) {
    if body.steps.len() < MAX_STEPS {
        body.steps.push(step);
    }
}

fn ends(step: &StepBody) -> bool {
    matches!(step, StepBody::Finished { .. } | StepBody::Refused { .. })
}
