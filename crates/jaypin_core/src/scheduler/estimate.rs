//! Estimates of waits, and the refusals that rest on them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::RngExt;

use super::queue::{WaitingRequest, Work};
use super::{OutgoingMessage, Scheduler};
use crate::{Message, Reason, Refusal};

/// Seconds over which arrivals are averaged.
const ARRIVAL_DECAY_SECONDS: f64 = 4.0;
/// Weight of a new observation of the time a request holds its slot.
const HOLD_TIME_LEARNING_RATE: f64 = 0.05;
/// First guess of the time a request holds its slot, in seconds.
const INITIAL_HOLD_SECONDS: f64 = 1.0;
/// Part of the capacity that a tier is assumed to get beside higher ones, at least.
const MIN_CAPACITY_FRACTION: f64 = 0.05;
/// Factor on estimated waits: work that is let in and misses its deadline is wasted.
const WAIT_MARGIN: f64 = 1.2;
/// Bounds of the stated time to come back.
const RETRY_AFTER_BOUNDS_SECONDS: (f64, f64) = (0.5, 60.0);
/// Spread of the stated time to come back, as factors.
const RETRY_AFTER_JITTER: std::ops::Range<f64> = 0.75..1.75;

/// What arrives, and how long it holds a slot.
#[derive(Debug)]
pub struct Demand {
    arrivals: BTreeMap<u8, Arrivals>,
    mean_hold_seconds: f64,
}

/// Work of a tier that arrived lately, decayed.
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
    /// Learns how long a request held its slot.
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

    /// Work a second of the tiers above a rank.
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

/// What the shard as a whole can do.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Capacity {
    /// Requests that may run at once.
    pub slots: f64,
    /// Prefill tokens a second.
    pub prefill_rate: f64,
    /// Answer tokens a second.
    pub answer_rate: f64,
    /// Shortest wait for a prefill, in seconds.
    pub shortest_backlog: f64,
    /// Fastest prefill, in tokens a second.
    pub fastest_prefill_rate: f64,
    /// Shortest gap, in seconds.
    pub shortest_gap: f64,
}

impl Capacity {
    /// Slots that work a second holds, or slot-seconds that work takes.
    fn slots_for(&self, work: Work) -> f64 {
        work.answer * self.slots / self.answer_rate + work.prompt / self.fastest_prefill_rate
    }
}

impl Scheduler {
    pub(super) fn record_arrival(&mut self, waiting: &WaitingRequest, now: Instant) {
        self.demand.record_arrival(waiting.ask.tier, waiting.work(), now);
    }

    /// The gap that running streams are to keep; plain calls have none.
    pub(super) fn strict_gap(&self) -> f64 {
        if self.is_plain {
            f64::MAX
        } else {
            self.rules.strictest_gap()
        }
    }

    pub(super) fn capacity(&self, now: Instant) -> Capacity {
        let gap = self.strict_gap();
        let mut all = Capacity {
            shortest_backlog: f64::MAX,
            shortest_gap: f64::MAX,
            ..Capacity::default()
        };
        for backend in self.live_backends() {
            let model = &backend.model;
            let limit = model.limit(gap);
            all.slots += f64::from(limit);
            all.prefill_rate += model.prefill_rate();
            all.answer_rate += f64::from(limit) / model.token_gaps.gap(limit);
            all.shortest_backlog = all.shortest_backlog.min(model.prefill_backlog(now));
            all.fastest_prefill_rate = all.fastest_prefill_rate.max(model.prefill_rate());
            all.shortest_gap = all.shortest_gap.min(model.token_gaps.gap(1));
        }
        all
    }

    /// Time that may pass before a start can't meet the deadline any more.
    pub(super) fn time_to_latest_start(&self, waiting: &WaitingRequest) -> Duration {
        if self.is_plain || self.backends.is_empty() {
            return waiting.ask.first_token_due_in;
        }
        let best = self.live_backends().map(|backend| {
            let prefill = backend.model.estimated_prefill(waiting.ask.prompt_tokens);
            let answer = f64::from(waiting.answer_tokens) * backend.model.token_gaps.gap(1);
            (prefill, prefill + answer)
        });
        let (first, whole) = best
            .reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)))
            .unwrap_or_default();
        let first = waiting.ask.first_token_due_in.as_secs_f64() - first;
        let whole = waiting.ask.response_due_in.as_secs_f64() - whole;
        Duration::from_secs_f64(first.min(whole).max(0.0))
    }

    /// Whether the estimated first token or whole answer misses its deadline.
    pub(super) fn would_miss_deadline(&self, waiting: &WaitingRequest, now: Instant) -> bool {
        let ahead = self.queue.ahead_of(waiting);
        let wait = self.wait(ahead, waiting.ask.tier, now) * WAIT_MARGIN;
        now + Duration::from_secs_f64(wait.min(86_400.0)) > waiting.latest_start
    }

    /// Slots that arrivals of the tiers above a rank hold at their present rate.
    pub(super) fn slots_needed_above(&self, rank: u8, now: Instant) -> f64 {
        let all = self.capacity(now);
        if self.is_plain || all.slots <= 0.0 {
            return 0.0;
        }
        all.slots_for(self.demand.rate_above(rank, now))
    }

    /// Wait of a new request of a tier, as a hint for owners.
    pub(super) fn expected_wait(&self, rank: u8, now: Instant) -> Duration {
        let mut ahead = self.queue.work_above(rank);
        ahead.add(self.queue.work_of(rank));
        Duration::from_secs_f64(self.wait(ahead, rank, now).min(3_600.0))
    }

    /// Seconds until work is served: by slots or by prefill, whichever is longer, at
    /// the pace that arriving higher tiers leave.
    fn wait(&self, ahead: Work, rank: u8, now: Instant) -> f64 {
        let all = self.capacity(now);
        if all.slots <= 0.0 {
            return f64::MAX;
        }
        let next_slot = self.demand.mean_hold_seconds / all.slots;
        if self.is_plain {
            return next_slot;
        }
        let above = self.demand.rate_above(rank, now);
        let slot_seconds =
            |work: Work| { work.answer / all.answer_rate + work.prompt / all.fastest_prefill_rate / all.slots
        };
        let slots_left = (1.0 - slot_seconds(above)).max(MIN_CAPACITY_FRACTION);
        let prefill_left = (1.0 - above.prompt / all.prefill_rate).max(MIN_CAPACITY_FRACTION);
        let by_slots = (slot_seconds(ahead) + next_slot) / slots_left;
        let by_prefill = ahead.prompt / all.prefill_rate / prefill_left + all.shortest_backlog;
        by_slots.max(by_prefill)
    }

    // ------------------------------------------------------------------ refusals

    /// Refuses a request and says when to come back: once the queue it met has drained,
    /// spread so that callers don't return together.
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

    pub(super) fn refuse_after(
        &mut self,
        waiting: &WaitingRequest,
        reason: Reason,
        wait: Duration,
        line: Option<u32>,
        out: &mut Vec<OutgoingMessage>,
    ) {
        let jitter = self.rng.random_range(RETRY_AFTER_JITTER);
        let seconds = (wait.as_secs_f64() * jitter).clamp(RETRY_AFTER_BOUNDS_SECONDS.0, RETRY_AFTER_BOUNDS_SECONDS.1);
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
