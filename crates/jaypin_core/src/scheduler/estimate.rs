//! Estimates of waits, and the refusals that are based on them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::RngExt;

use super::queue::{WaitingRequest, Work};
use super::{OutgoingMessage, Scheduler};
use crate::{Message, Reason, Refusal};

/// Time constant of the moving average of arrivals, in seconds.
const ARRIVAL_DECAY_SECONDS: f64 = 4.0;
/// Weight of a new observation in the mean slot hold time.
const HOLD_TIME_LEARNING_RATE: f64 = 0.05;
/// Initial estimate of the slot hold time, in seconds.
const INITIAL_HOLD_SECONDS: f64 = 1.0;
/// Minimum fraction of the capacity that a tier is assumed to get beside higher tiers.
const MIN_CAPACITY_FRACTION: f64 = 0.05;
/// Factor on estimated waits: accepted work that misses its deadline is wasted.
const WAIT_MARGIN: f64 = 1.2;
/// Lower and upper bound of the stated time to a retry, in seconds.
const RETRY_AFTER_BOUNDS_SECONDS: (f64, f64) = (0.5, 60.0);
/// Range of the random factor on the stated time to a retry.
const RETRY_AFTER_JITTER: std::ops::Range<f64> = 0.75..1.75;

/// Recent arrivals by tier, and the mean slot hold time.
#[derive(Debug)]
pub struct Demand {
    arrivals: BTreeMap<u8, Arrivals>,
    mean_hold_seconds: f64,
}

/// Work of a tier that arrived recently, decayed exponentially.
#[derive(Debug, Clone, Copy)]
struct Arrivals {
    work: Work,
    updated_at: Instant,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            arrivals: BTreeMap::new(),
            mean_hold_seconds: INITIAL_HOLD_SECONDS,
        }
    }
}

impl Demand {
    /// Updates the mean slot hold time from a request that ended.
    pub fn record_hold_time(&mut self, held_for: Duration) {
        self.mean_hold_seconds +=
            HOLD_TIME_LEARNING_RATE * (held_for.as_secs_f64() - self.mean_hold_seconds);
    }

    fn record_arrival(&mut self, rank: u8, work: Work, now: Instant) {
        let arrivals = self.arrivals.entry(rank).or_insert(Arrivals {
            work: Work::default(),
            updated_at: now,
        });
        arrivals.work = arrivals.decayed(now);
        arrivals.work.add(work);
        arrivals.updated_at = now;
    }

    /// Returns the arriving work per second of the tiers above a rank.
    fn rate_above(&self, rank: u8, now: Instant) -> Work {
        let mut rate = Work::default();
        for (_, arrivals) in self.arrivals.range(..rank) {
            rate.add(arrivals.decayed(now).scaled(1.0 / ARRIVAL_DECAY_SECONDS));
        }
        rate
    }
}

impl Arrivals {
    fn decayed(&self, now: Instant) -> Work {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.work.scaled((-age / ARRIVAL_DECAY_SECONDS).exp())
    }
}

/// The combined capacity of the shard's live backend servers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Capacity {
    /// Requests that may run at the same time.
    pub slots: f64,
    /// Prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// Rate of answers, in tokens per second.
    pub answer_rate: f64,
    /// Shortest prefill backlog of any backend server, in seconds.
    pub shortest_backlog: f64,
    /// Highest prefill rate of any backend server, in tokens per second.
    pub fastest_prefill_rate: f64,
    /// Shortest time between tokens of any backend server, in seconds.
    pub shortest_gap: f64,
}

impl Capacity {
    /// Returns the slots that a rate of work in tokens per second occupies; for an amount
    /// of work, the slot-seconds that it takes.
    fn slots_for(&self, work: Work) -> f64 {
        work.answer * self.slots / self.answer_rate + work.prompt / self.fastest_prefill_rate
    }
}

impl Scheduler {
    pub(super) fn record_arrival(&mut self, waiting: &WaitingRequest, now: Instant) {
        self.demand
            .record_arrival(waiting.ask.tier, waiting.work(), now);
    }

    /// Returns the longest time between tokens that running streams must keep, in seconds.
    /// Plain services have no streams and no limit.
    pub(super) fn strict_gap(&self) -> f64 {
        if self.is_plain {
            f64::MAX
        } else {
            self.rules.strictest_gap()
        }
    }

    pub(super) fn capacity(&self, now: Instant) -> Capacity {
        let gap = self.strict_gap();
        let mut capacity = Capacity {
            shortest_backlog: f64::MAX,
            shortest_gap: f64::MAX,
            ..Capacity::default()
        };
        for backend in self.live_backends() {
            let model = &backend.model;
            let limit = model.limit(gap);
            capacity.slots += f64::from(limit);
            capacity.prefill_rate += model.prefill_rate();
            capacity.answer_rate += f64::from(limit) / model.token_gaps.gap(limit);
            capacity.shortest_backlog = capacity.shortest_backlog.min(model.prefill_backlog(now));
            capacity.fastest_prefill_rate = capacity.fastest_prefill_rate.max(model.prefill_rate());
            capacity.shortest_gap = capacity.shortest_gap.min(model.token_gaps.gap(1));
        }
        capacity
    }

    /// Returns how long a request can wait before it misses its deadline even on the
    /// fastest backend server.
    pub(super) fn time_to_latest_start(&self, waiting: &WaitingRequest) -> Duration {
        if self.is_plain || self.backends.is_empty() {
            return waiting.ask.first_token_due_in;
        }
        let fastest = self.live_backends().map(|backend| {
            let prefill = backend.model.estimated_prefill(waiting.ask.prompt_tokens);
            let answer = f64::from(waiting.answer_tokens) * backend.model.token_gaps.gap(1);
            (prefill, prefill + answer)
        });
        let (first_token, response) = fastest
            .reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)))
            .unwrap_or_default();
        let first_token = waiting.ask.first_token_due_in.as_secs_f64() - first_token;
        let response = waiting.ask.response_due_in.as_secs_f64() - response;
        Duration::from_secs_f64(first_token.min(response).max(0.0))
    }

    /// Returns whether the estimated start of a request is later than its latest start, so
    /// that its first token or its complete response would miss the deadline.
    pub(super) fn would_miss_deadline(&self, waiting: &WaitingRequest, now: Instant) -> bool {
        let ahead = self.queue.ahead_of(waiting);
        let wait = self.wait(ahead, waiting.ask.tier, now) * WAIT_MARGIN;
        now + Duration::from_secs_f64(wait.min(86_400.0)) > waiting.latest_start
    }

    /// Returns the slots that arrivals of the tiers above a rank occupy at their current
    /// rate.
    pub(super) fn slots_needed_above(&self, rank: u8, now: Instant) -> f64 {
        let capacity = self.capacity(now);
        if self.is_plain || capacity.slots <= 0.0 {
            return 0.0;
        }
        capacity.slots_for(self.demand.rate_above(rank, now))
    }

    /// Returns the expected wait of a new request of a tier; owners use it as a hint.
    pub(super) fn expected_wait(&self, rank: u8, now: Instant) -> Duration {
        let mut ahead = self.queue.work_above(rank);
        ahead.add(self.queue.work_of(rank));
        Duration::from_secs_f64(self.wait(ahead, rank, now).min(3_600.0))
    }

    /// Returns the estimated seconds until work is served, limited by slots or by prefill,
    /// whichever takes longer, with the capacity that arrivals of higher tiers leave.
    fn wait(&self, ahead: Work, rank: u8, now: Instant) -> f64 {
        let capacity = self.capacity(now);
        if capacity.slots <= 0.0 {
            return f64::MAX;
        }
        let next_slot = self.demand.mean_hold_seconds / capacity.slots;
        if self.is_plain {
            return next_slot;
        }
        let above = self.demand.rate_above(rank, now);
        let slot_seconds = |work: Work| {
            work.answer / capacity.answer_rate
                + work.prompt / capacity.fastest_prefill_rate / capacity.slots
        };
        let slots_left = (1.0 - slot_seconds(above)).max(MIN_CAPACITY_FRACTION);
        let prefill_left = (1.0 - above.prompt / capacity.prefill_rate).max(MIN_CAPACITY_FRACTION);
        let by_slots = (slot_seconds(ahead) + next_slot) / slots_left;
        let by_prefill =
            ahead.prompt / capacity.prefill_rate / prefill_left + capacity.shortest_backlog;
        by_slots.max(by_prefill)
    }

    /// Refuses a request and states a time to a retry: the time until the queue ahead of it
    /// has drained, with jitter so that callers don't retry simultaneously.
    pub(super) fn refuse(
        &mut self,
        waiting: &WaitingRequest,
        reason: Reason,
        now: Instant,
        out: &mut Vec<OutgoingMessage>,
    ) {
        let drain = self.expected_wait(waiting.ask.tier, now);
        let line = self.rules.tier(waiting.ask.tier).line;
        let line = (line > 0).then_some(line);
        self.refuse_after(waiting, reason, drain, line, out);
    }

    /// Refuses a request and states a time to a retry of about `wait`, with jitter.
    pub(super) fn refuse_after(
        &mut self,
        waiting: &WaitingRequest,
        reason: Reason,
        wait: Duration,
        line: Option<u32>,
        out: &mut Vec<OutgoingMessage>,
    ) {
        let jitter = self.rng.random_range(RETRY_AFTER_JITTER);
        let seconds = (wait.as_secs_f64() * jitter)
            .clamp(RETRY_AFTER_BOUNDS_SECONDS.0, RETRY_AFTER_BOUNDS_SECONDS.1);
        let mut refusal = Refusal::not_run(reason).retry_after(Duration::from_secs_f64(seconds));
        refusal.rule_line = line;
        let refused = Message::Refused {
            id: waiting.ask.id.clone(),
            attempt: waiting.ask.attempt,
            refusal,
            expected_wait: wait,
        };
        out.push((waiting.owner.clone(), refused));
    }
}
