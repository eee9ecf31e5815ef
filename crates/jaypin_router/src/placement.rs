//! Choice of the backend server for a request.

use std::time::{Duration, Instant};

use jaypin_core::BackendId;

use crate::Backend;
use crate::answer_risk::{AnswerDemand, AnswerRisk};
use crate::prefill_rate::CALL_OVERHEAD;

/// Weight of the fill level against the time to the first event: a full batch counts as much as
/// this fraction of the latency target.
///
/// For long prompts, unlike engines differ by more than that, so these go to the fast ones. For
/// short prompts they don't, so these go where there is room.
const FILL_WEIGHT: f64 = 0.3;
/// Fraction of the longest allowed pause that prefills may take beside running streams.
const PAUSE_FRACTION: f64 = 0.7;
/// Weight of each stream that pauses too long because of a prefill.
const PAUSE_WEIGHT: f64 = 0.15;
/// Cost of an unhealthy backend server, in latency targets: it is chosen only if there is no
/// other.
const UNHEALTHY_COST: f64 = 50.0;

/// Cost of an answer that is surely late or cut off, in latency targets: its caller loses as much by
/// it as by a first event that comes one latency target after the request.
const RISK_WEIGHT: f64 = 1.0;
/// Cost of a backend server that does not serve the request, in latency targets; less than that
/// of an unhealthy one.
const NOT_SERVING_COST: f64 = 10.0;

/// What a request needs from a backend server.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Time within which its first event is worth most.
    pub latency_target: Duration,
    /// Longest allowed pause of the streams that run beside it.
    pub longest_pause: Option<Duration>,
    /// Slot hold time of a request of the service, used where none was observed.
    pub hold_time: Duration,
    /// What is known of its answer, if that is a stream; absent if its length is unknown.
    pub answer: Option<AnswerDemand>,
    /// Time after which the whole answer is worth nothing.
    pub time_left: Duration,
    /// Whether it has waited for a slot.
    pub has_waited: bool,
}

/// A chosen backend server, with the estimates for the request there.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The backend server.
    pub backend: BackendId,
    /// Estimated time to the first event.
    pub first_event: Duration,
    /// Fraction of the time for the whole answer that it is estimated to take; absent if unknown.
    pub time_fraction: Option<f64>,
    /// Risks of the answer there; absent if nothing is known of its length.
    pub risk: Option<AnswerRisk>,
    /// Estimated wait for a slot.
    pub slot_wait: Duration,
    /// Mean time between two slots becoming free there, while all are taken.
    pub slot_interval: Duration,
    /// Prompt tokens that it has to read first.
    pub tokens_ahead: u32,
    /// Whether a slot is free.
    pub has_slot: bool,
    /// Whether the backend server is unhealthy.
    pub is_unhealthy: bool,
}

/// Returns the best backend server for a request, without those in `attempted`.
///
/// One that `serves` the request is preferred to one that does not. Of the prompt, a backend server
/// does not have to read the `held_tokens`, which it is assumed to cache. The random numbers of
/// `tie_break` spread requests over equally good ones, since all hosts see the same loads at
/// nearly the same time.
pub fn choose_backend<'a>(
    backends: impl Iterator<Item = &'a Backend>,
    demand: &Demand,
    attempted: &[BackendId],
    serves: impl Fn(&Backend, &Choice) -> bool,
    held_tokens: impl Fn(&Backend) -> u32,
    mut tie_break: impl FnMut() -> f64,
    now: Instant,
) -> Option<Choice> {
    let usable = backends.filter(|it| {
        let accepts = it.accepts_requests(now) && it.has_room(demand.has_waited);
        accepts && !attempted.contains(&it.record.id)
    });
    let scored = usable.map(|backend| {
        let uncached = demand.prompt_tokens.saturating_sub(held_tokens(backend));
        let demand = &Demand {
            prompt_tokens: uncached,
            ..*demand
        };
        let choice = estimate(backend, demand, now);
        let penalty = if serves(backend, &choice) {
            0.0
        } else {
            NOT_SERVING_COST
        };
        let score = score(backend, &choice, demand) + penalty + tie_break() * JITTER;
        (score, choice)
    });
    let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, choice)| choice)
}

/// Spread of the scores that count as equal: about one request in a batch of nine.
const JITTER: f64 = 0.03;

fn estimate(backend: &Backend, demand: &Demand, now: Instant) -> Choice {
    let slots = backend.record.slots.max(1);
    let running = backend.running();
    let tokens_ahead = backend.unread_tokens(now);
    let queued = f64::from((running + 1).saturating_sub(slots));
    let residence = backend.hold_time().unwrap_or(demand.hold_time);
    let slot_interval = residence / slots;
    let slot_wait = queued * slot_interval.as_secs_f64();
    let tokens = f64::from(tokens_ahead) + f64::from(demand.prompt_tokens);
    let prefill = backend.prefill_rate.seconds_for(tokens);
    let first_event = CALL_OVERHEAD + Duration::from_secs_f64((slot_wait + prefill).min(3_600.0));
    let answer = demand.answer.as_ref();
    let answer_seconds = answer.and_then(|it| it.seconds_on(backend));
    let time_left = demand.time_left.as_secs_f64().max(0.001);
    let seconds_left = time_left - first_event.as_secs_f64();
    Choice {
        backend: backend.record.id.clone(),
        first_event,
        time_fraction: answer_seconds.map(|it| (first_event.as_secs_f64() + it) / time_left),
        risk: answer.map(|it| it.risk(backend, seconds_left, now)),
        slot_wait: Duration::from_secs_f64(slot_wait.min(3_600.0)),
        slot_interval,
        tokens_ahead,
        has_slot: running < slots,
        is_unhealthy: backend.is_unhealthy(now),
    }
}

impl Choice {
    /// Returns whether the request would hold a slot for nothing there.
    #[must_use]
    pub fn is_futile(&self) -> bool {
        self.risk.is_some_and(|it| it.is_futile)
    }
}

fn score(backend: &Backend, choice: &Choice, demand: &Demand) -> f64 {
    let target = demand.latency_target.as_secs_f64().max(0.001);
    let running = f64::from(backend.running());
    let fill = running / f64::from(backend.record.slots.max(1));
    let mut score = choice.first_event.as_secs_f64() / target + FILL_WEIGHT * fill;
    if let Some(pause) = demand.longest_pause {
        let tokens = f64::from(choice.tokens_ahead) + f64::from(demand.prompt_tokens);
        let longest = pause.as_secs_f64() * PAUSE_FRACTION;
        let excess = backend.prefill_rate.seconds_for(tokens) / longest - 1.0;
        score += PAUSE_WEIGHT * running * excess.max(0.0);
    }
    score += RISK_WEIGHT * choice.risk.unwrap_or_default().total();
    if choice.is_unhealthy {
        score += UNHEALTHY_COST;
    }
    score
}
