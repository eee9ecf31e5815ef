//! Estimates of waits, and the refusals that rest on them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::RngExt;

use super::queue::{WaitingAsk, Work};
use super::{OutgoingMessage, Scheduler};
use crate::{Message, Reason, Refusal};

/// Seconds over which arrivals are averaged.
const ARRIVAL_MEMORY: f64 = 4.0;
/// Weight of a new observation of the time a request holds its slot.
const SERVICE_RATE: f64 = 0.05;
/// First guess of the time a request holds its slot, in seconds.
const FIRST_GUESS_SERVICE: f64 = 1.0;
/// Part of the capacity that a tier is assumed to get beside higher ones, at least.
const LEAST_PART: f64 = 0.05;
/// Factor on estimated waits: work that is let in and misses its deadline is wasted.
const WAIT_MARGIN: f64 = 1.2;
/// Bounds of the stated time to come back.
const RETRY_BOUNDS: (f64, f64) = (0.5, 60.0);
/// Spread of the stated time to come back, as factors.
const RETRY_SPREAD: std::ops::Range<f64> = 0.75..1.75;

/// What arrives, and how long it holds a slot.
#[derive(Debug)]
pub struct Demand {
    arriving: BTreeMap<u8, Arrivals>,
    service_seconds: f64,
}

/// Work of a tier that arrived lately, decayed.
#[derive(Debug, Clone, Copy)]
struct Arrivals {
    work: Work,
    at: Instant,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            arriving: BTreeMap::new(),
            service_seconds: FIRST_GUESS_SERVICE,
        }
    }
}

impl Demand {
    /// Learns how long a request held its slot.
    pub fn served(&mut self, held: Duration) {
        self.service_seconds += SERVICE_RATE * (held.as_secs_f64() - self.service_seconds);
    }

    fn arrived(&mut self, rank: u8, work: Work, now: Instant) {
        let arrivals = self.arriving.entry(rank).or_insert(Arrivals {
            work: Work::default(),
            at: now,
        });
        arrivals.work = arrivals.decayed(now);
        arrivals.work.add(work);
        arrivals.at = now;
    }

    /// Work a second of the tiers above a rank.
    fn rate_above(&self, rank: u8, now: Instant) -> Work {
        let mut rate = Work::default();
        for (_, arrivals) in self.arriving.range(..rank) {
            rate.add(arrivals.decayed(now).part(1.0 / ARRIVAL_MEMORY));
        }
        rate
    }
}

impl Arrivals {
    fn decayed(&self, now: Instant) -> Work {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.work.part((-age / ARRIVAL_MEMORY).exp())
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
    pub least_backlog: f64,
    /// Fastest prefill, in tokens a second.
    pub best_prefill: f64,
    /// Shortest gap, in seconds.
    pub best_gap: f64,
}

impl Capacity {
    /// Slots that work a second holds, or slot-seconds that work takes.
    fn slots_for(&self, work: Work) -> f64 {
        work.answer * self.slots / self.answer_rate + work.prompt / self.best_prefill
    }
}

impl Scheduler {
    pub(super) fn note_demand(&mut self, waiting: &WaitingAsk, now: Instant) {
        self.demand.arrived(waiting.ask.tier, waiting.work(), now);
    }

    /// The gap that running streams are to keep; plain calls have none.
    pub(super) fn strict_gap(&self) -> f64 {
        if self.plain {
            f64::MAX
        } else {
            self.rules.strictest_gap()
        }
    }

    pub(super) fn capacity(&self, now: Instant) -> Capacity {
        let gap = self.strict_gap();
        let mut all = Capacity {
            least_backlog: f64::MAX,
            best_gap: f64::MAX,
            ..Capacity::default()
        };
        for backend in self.live_backends() {
            let model = &backend.model;
            let limit = model.limit(gap);
            all.slots += f64::from(limit);
            all.prefill_rate += model.prefill_rate();
            all.answer_rate += f64::from(limit) / model.token_gaps.gap(limit);
            all.least_backlog = all.least_backlog.min(model.backlog(now));
            all.best_prefill = all.best_prefill.max(model.prefill_rate());
            all.best_gap = all.best_gap.min(model.token_gaps.gap(1));
        }
        all
    }

    /// Time that may pass before a start can't meet the deadline any more.
    pub(super) fn slack(&self, waiting: &WaitingAsk) -> Duration {
        if self.plain || self.backends.is_empty() {
            return waiting.ask.first_token_due_in;
        }
        let best = self.live_backends().map(|backend| {
            let prefill = backend.model.prefill(waiting.ask.prompt_tokens);
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
    pub(super) fn comes_too_late(&self, waiting: &WaitingAsk, now: Instant) -> bool {
        let ahead = self.queue.ahead_of(waiting);
        let wait = self.wait(ahead, waiting.ask.tier, now) * WAIT_MARGIN;
        now + Duration::from_secs_f64(wait.min(86_400.0)) > waiting.latest_start
    }

    /// Slots that arrivals of the tiers above a rank hold at their present rate.
    pub(super) fn slots_needed_above(&self, rank: u8, now: Instant) -> f64 {
        let all = self.capacity(now);
        if self.plain || all.slots <= 0.0 {
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
        let next_slot = self.demand.service_seconds / all.slots;
        if self.plain {
            return next_slot;
        }
        let above = self.demand.rate_above(rank, now);
        let slot_seconds =
            |work: Work| work.answer / all.answer_rate + work.prompt / all.best_prefill / all.slots;
        let slots_left = (1.0 - slot_seconds(above)).max(LEAST_PART);
        let prefill_left = (1.0 - above.prompt / all.prefill_rate).max(LEAST_PART);
        let by_slots = (slot_seconds(ahead) + next_slot) / slots_left;
        let by_prefill = ahead.prompt / all.prefill_rate / prefill_left + all.least_backlog;
        by_slots.max(by_prefill)
    }

    // ------------------------------------------------------------------ refusals

    /// Refuses a request and says when to come back: once the queue it met has drained,
    /// spread so that callers don't return together.
    pub(super) fn refuse(
        &mut self,
        waiting: &WaitingAsk,
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
        waiting: &WaitingAsk,
        reason: Reason,
        wait: Duration,
        line: Option<u32>,
        out: &mut Vec<OutgoingMessage>,
    ) {
        let spread = self.rng.random_range(RETRY_SPREAD);
        let back = (wait.as_secs_f64() * spread).clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
        let mut refusal = Refusal::not_run(reason).retry_after(Duration::from_secs_f64(back));
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
