//! Buffer of decision records that is bounded in number and bytes; the oldest records are
//! evicted first.

use std::collections::{HashMap, VecDeque};

use jaypin_core::RequestId;
use jaypin_wire::{ExplainBody, ExplainStep, StepBody};

/// Largest number of records.
const MAX_REQUESTS: usize = 20_000;
/// Largest total size of the records of ended requests, in bytes.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Largest number of steps in a record; it bounds the record of a request that keeps
/// requesting slots for minutes.
const MAX_STEPS: usize = 64;

/// Records by request, with the order in which they were inserted.
#[derive(Debug, Default)]
pub struct RecordBuffer {
    records: HashMap<RequestId, StoredRecord>,
    order: VecDeque<RequestId>,
    bytes: usize,
}

/// A record in memory.
#[derive(Debug)]
enum StoredRecord {
    /// The request is in progress.
    Open(Box<ExplainBody>),
    /// The request ended; the record is JSON, so that its size is known exactly.
    Closed(Box<[u8]>),
}

impl StoredRecord {
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

impl RecordBuffer {
    /// Inserts a record and evicts the oldest ones if a bound is exceeded.
    pub fn insert(&mut self, id: RequestId, body: ExplainBody) {
        let stored = StoredRecord::Open(Box::new(body));
        if let Some(old) = self.records.insert(id.clone(), stored) {
            self.bytes -= old.bytes();
        } else {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_REQUESTS || self.bytes > MAX_BYTES {
            self.evict_oldest();
        }
    }

    /// Adds a step if the record still exists, and returns the request's tier.
    pub fn add(&mut self, id: &str, step: ExplainStep) -> Option<String> {
        let stored = self.records.get_mut(id)?;
        if let StoredRecord::Open(body) = stored
            && !is_final(&step.what)
        {
            push(body, step);
            return Some(body.tier.clone());
        }
        // A final step closes the record. A closed record can still receive steps, such as the
        // refusal after a lost call, for which it is decoded and encoded again.
        let mut body = stored.body()?;
        push(&mut body, step);
        let json = serde_json::to_vec(&body).ok()?;
        self.bytes -= stored.bytes();
        self.bytes += json.len();
        *stored = StoredRecord::Closed(json.into_boxed_slice());
        Some(body.tier)
    }

    /// Returns a record.
    pub fn find(&self, id: &str) -> Option<ExplainBody> {
        self.records.get(id)?.body()
    }

    fn evict_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else {
            return;
        };
        if let Some(stored) = self.records.remove(&id) {
            self.bytes -= stored.bytes();
        }
    }
}

fn push(body: &mut ExplainBody, step: ExplainStep) {
    if body.steps.len() < MAX_STEPS {
        body.steps.push(step);
    }
}

fn is_final(step: &StepBody) -> bool {
    matches!(step, StepBody::Finished { .. } | StepBody::Refused { .. })
}
