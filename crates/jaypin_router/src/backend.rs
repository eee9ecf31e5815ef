//! One backend server: what it states, what runs there, what was learned of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, FailureDomain, ServiceId};

use crate::throttle::Throttle;
use crate::{
    AttemptOutcome, BackendKey, BackendLoad, BackendSamples, EventRate, PrefillRate, RequestNumber,
    SoftwareVersion,
};

/// Rest after the first call that could not reach it; doubled with each further one.
const FIRST_REST: Duration = Duration::from_millis(400);
/// Longest rest: backend servers that crashed are back after some seconds.
const LONGEST_REST: Duration = Duration::from_secs(3);
/// Part of failed calls above which it rests. Services fail a seventh of some calls by
/// themselves; one that is broken fails nearly half or more.
const TOO_MANY_FAILURES: f64 = 0.38;
/// Weight of one call in that part: about the last ten calls count.
const FAILURE_WEIGHT: f64 = 0.1;
/// Rest of one that fails too many.
const FAILURE_REST: Duration = Duration::from_millis(1_500);
/// Part of failures that it has after such a rest: one or two further ones end the trial.
const PART_AFTER_REST: f64 = 0.3;
/// Weight of one request in the mean time that requests hold their slots.
const RESIDENCE_WEIGHT: f64 = 0.05;
/// Factor on the estimate, and time besides, after which a first event is overdue.
const OVERDUE: (f64, Duration) = (3.0, Duration::from_millis(400));

/// Whether a backend server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendStatus {
    /// It does.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// A backend server, as it states itself.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendRecord {
    /// Its id; a new process mostly has a new one.
    pub id: BackendId,
    /// Its process's start, in milliseconds since the Unix epoch by its own clock; tells
    /// two runs with one id apart.
    pub started: u64,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Its address.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub status: BackendStatus,
    /// Version of its software.
    pub version: SoftwareVersion,
}

/// A backend server with all that this host knows of it.
#[derive(Debug)]
pub struct Backend {
    /// What it states.
    pub record: BackendRecord,
    /// Its key in reports.
    pub key: BackendKey,
    /// How fast it reads prompts.
    pub prefill_rate: PrefillRate,
    /// How fast it makes events.
    pub event_rate: EventRate,
    /// What peers have running there.
    peers: PeersThere,
    calls: BTreeMap<RequestNumber, Call>,
    /// What this host learned in its run, for its peers.
    totals: BackendSamples,
    /// Mean time that requests hold their slots, once one has ended.
    residence: Option<Duration>,
    failures: f64,
    rest_until: Option<Instant>,
    rests: u32,
    /// Until when it wants nothing from this host, by its own answer.
    backoff_until: Option<Instant>,
    /// Whether an answer said that its process leaves.
    has_said_it_leaves: bool,
    /// How this host spaces its requests, where the backend server states a limit.
    throttle: Option<Throttle>,
}

/// What peers have running there, and how much of their prompts is still to be read.
///
/// They tell that a request began and that it ended, not when its prompt was read: that
/// follows from the pace. Without this, a prompt would count as unread until its answer
/// ends.
#[derive(Debug, Default)]
struct PeersThere {
    running: u32,
    unread_tokens: f64,
    at: Option<Instant>,
}

impl PeersThere {
    fn take(&mut self, load: BackendLoad, begun_tokens: u32, pace: PrefillRate, now: Instant) {
        let left = f64::from(self.unread_tokens(pace, now)) + f64::from(begun_tokens);
        self.unread_tokens = left.min(f64::from(load.unread_tokens));
        self.running = load.running;
        self.at = Some(now);
    }

    fn unread_tokens(&self, pace: PrefillRate, now: Instant) -> u32 {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        let read = pace.rate() * age.unwrap_or_default().as_secs_f64();
        whole_tokens(self.unread_tokens - read)
    }
}

/// A number of tokens without its fraction; below none there is none.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "such casts keep to the bounds of the type"
)]
fn whole_tokens(tokens: f64) -> u32 {
    tokens as u32
}

#[derive(Debug)]
struct Call {
    tokens: u32,
    sent_at: Instant,
    overdue_at: Option<Instant>,
}

impl Backend {
    /// Starts with nothing learned.
    #[must_use]
    pub fn new(record: BackendRecord) -> Self {
        let key = crate::backend_key(&record.id);
        Self {
            record,
            key,
            prefill_rate: PrefillRate::default(),
            event_rate: EventRate::default(),
            peers: PeersThere::default(),
            calls: BTreeMap::new(),
            totals: BackendSamples::none(key),
            residence: None,
            failures: 0.0,
            rest_until: None,
            rests: 0,
            backoff_until: None,
            has_said_it_leaves: false,
            throttle: None,
        }
    }

    // ------------------------------------------------------------------ questions

    /// Requests that run there, of this host and of its peers.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX) + self.peers.running
    }

    /// Prompt tokens that it has to read before a new request's.
    #[must_use]
    pub fn unread_tokens(&self, now: Instant) -> u32 {
        let own = self.own_load().unread_tokens;
        own.saturating_add(self.peers.unread_tokens(self.prefill_rate, now))
    }

    /// Takes what peers have running there now, and the prompt tokens of what they began.
    pub fn set_peer_load(&mut self, load: BackendLoad, begun_tokens: u32, now: Instant) {
        self.peers.take(load, begun_tokens, self.prefill_rate, now);
    }

    /// What this host has running there.
    #[must_use]
    pub fn own_load(&self) -> BackendLoad {
        let unread = self.calls.values().filter(|it| it.overdue_at.is_some());
        BackendLoad {
            key: self.key,
            running: u32::try_from(self.calls.len()).unwrap_or(u32::MAX),
            unread_tokens: unread.map(|call| call.tokens).sum(),
        }
    }

    /// What this host has learned of it.
    #[must_use]
    pub fn samples(&self) -> BackendSamples {
        self.totals
    }

    /// Whether new requests may go there.
    #[must_use]
    pub fn accepts_requests(&self, now: Instant) -> bool {
        let has_turn = self.throttle.as_ref().is_none_or(|it| it.allows(now));
        self.is_ready() && has_turn && !self.is_backing_off(now)
    }

    /// Whether it asked this host to back off, and the time for that is not over.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_left(now) > Duration::ZERO
    }

    /// What is left of the backoff that it requested of this host.
    #[must_use]
    pub fn backoff_left(&self, now: Instant) -> Duration {
        let until = self.backoff_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Whether it takes new requests by its entry and by its own answers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.record.status == BackendStatus::Ready && !self.has_said_it_leaves
    }

    /// Whether it was found unreachable or failing a moment ago, or a call there got no
    /// answer for far longer than it should: a process that hangs accepts calls and says
    /// nothing.
    #[must_use]
    pub fn is_unhealthy(&self, now: Instant) -> bool {
        let is_overdue = |call: &Call| call.overdue_at.is_some_and(|at| now >= at);
        self.rest_until.is_some_and(|until| now < until) || self.calls.values().any(is_overdue)
    }

    /// Mean time that requests hold their slots there.
    #[must_use]
    pub fn hold_time(&self) -> Option<Duration> {
        self.residence
    }

    // ------------------------------------------------------------------ calls

    /// Counts a call that is sent, with the time that its first event should take.
    pub fn record_sent(
        &mut self,
        number: RequestNumber,
        tokens: u32,
        estimate: Duration,
        now: Instant,
    ) {
        let overdue_at = now + estimate.mul_f64(OVERDUE.0) + OVERDUE.1;
        let call = Call {
            tokens,
            sent_at: now,
            overdue_at: Some(overdue_at),
        };
        self.calls.insert(number, call);
        if let Some(throttle) = &mut self.throttle {
            throttle.sent(now);
        }
    }

    /// Notes the first event of a call.
    pub fn record_first_event(&mut self, number: RequestNumber) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.overdue_at = None;
        }
    }

    /// Learns how long the prefill of so many tokens took.
    pub fn record_prefill(&mut self, tokens: f64, seconds: f64) {
        self.prefill_rate.record(tokens, seconds);
        self.totals.tokens += tokens;
        self.totals.seconds += seconds;
    }

    /// Learns how long so many events of a stream took.
    pub fn record_events(&mut self, events: f64, seconds: f64) {
        self.event_rate.record(events, seconds);
        self.totals.events += events;
        self.totals.event_seconds += seconds;
    }

    /// Counts the end of a call.
    pub fn record_end(&mut self, number: RequestNumber, outcome: AttemptOutcome, now: Instant) {
        let call = self.calls.remove(&number);
        match outcome {
            AttemptOutcome::Complete => {
                let held = call.map_or(Duration::ZERO, |call| now - call.sent_at);
                self.learn_residence(held);
                self.totals.hold_seconds += held.as_secs_f64();
                self.totals.good += 1;
                self.rests = 0;
                self.learn_outcome(false, now);
            }
            AttemptOutcome::Unreached | AttemptOutcome::Died | AttemptOutcome::Replaced => {
                self.totals.bad += 1;
                self.rest(now);
            }
            AttemptOutcome::NotRun
            | AttemptOutcome::Failed
            | AttemptOutcome::Lost
            | AttemptOutcome::Silent
            | AttemptOutcome::TimedOut => {
                self.totals.bad += 1;
                self.learn_outcome(true, now);
            }
            AttemptOutcome::Abandoned | AttemptOutcome::Withheld => {}
        }
    }

    /// Takes what a peer learned.
    pub fn record_peer_samples(&mut self, samples: &BackendSamples, now: Instant) {
        if samples.tokens > 0.0 {
            self.prefill_rate.record(samples.tokens, samples.seconds);
        }
        if samples.events > 0.0 {
            self.event_rate
                .record(samples.events, samples.event_seconds);
        }
        if samples.good > 0 {
            let mean = samples.hold_seconds / f64::from(samples.good);
            self.learn_residence(Duration::from_secs_f64(mean));
        }
        for _ in 0..samples.good {
            self.learn_outcome(false, now);
        }
        for _ in 0..samples.bad {
            self.learn_outcome(true, now);
        }
    }

    /// Takes no requests from now on, whatever its entry states.
    pub fn mark_leaving(&mut self) {
        self.has_said_it_leaves = true;
    }

    /// Takes no requests of this host until a time.
    pub fn back_off_until(&mut self, until: Option<Instant>) {
        self.backoff_until = until;
    }

    /// Spaces this host's requests; without a pause it sends none.
    pub fn throttle(&mut self, pause: Option<Duration>, now: Instant) {
        let throttle = self.throttle.get_or_insert_with(|| Throttle::new(now));
        throttle.set_pause(pause, now);
    }

    /// Lets requests go there as they come.
    pub fn stop_throttling(&mut self) {
        self.throttle = None;
    }

    /// Takes a newer statement of itself; a new run has nothing of the one before.
    pub fn update_record(&mut self, record: BackendRecord) {
        if record.started == self.record.started && record.address == self.record.address {
            self.record = record;
        } else {
            *self = Self::new(record);
        }
    }

    /// A process that is gone refuses at once and would draw all requests by being empty.
    fn rest(&mut self, now: Instant) {
        let rest = FIRST_REST * 2_u32.pow(self.rests.min(8));
        self.rests += 1;
        self.rest_until = Some(now + rest.min(LONGEST_REST));
    }

    fn learn_residence(&mut self, held: Duration) {
        let mean = self.residence.unwrap_or(held);
        let kept = mean.mul_f64(1.0 - RESIDENCE_WEIGHT);
        self.residence = Some(kept + held.mul_f64(RESIDENCE_WEIGHT));
    }

    fn learn_outcome(&mut self, failed: bool, now: Instant) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failures += FAILURE_WEIGHT * (outcome - self.failures);
        if self.failures > TOO_MANY_FAILURES {
            self.failures = PART_AFTER_REST;
            self.rest_until = Some(now + FAILURE_REST);
        }
    }
}
