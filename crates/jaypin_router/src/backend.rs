//! One backend server: its record, the calls that run there, and what was observed of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, FailureDomain, ServiceId};

use crate::rejection_guard::RejectionGuard;
use crate::throttle::Throttle;
use crate::{
    AttemptOutcome, BackendKey, BackendLoad, BackendSamples, CacheClock, EngineRun, EventRate,
    PauseTally, PrefillRate, RequestNumber, SoftwareVersion,
};

/// Cooldown after the first call that could not reach the backend server; it doubles with each
/// further one.
const FIRST_COOLDOWN: Duration = Duration::from_millis(400);
/// Longest cooldown: crashed backend servers are back after some seconds.
const MAX_COOLDOWN: Duration = Duration::from_secs(3);
/// Failure rate of calls above which a backend server is put on cooldown. Working services may
/// fail a seventh of some kinds of calls; a broken one fails nearly half of its calls or more.
const MAX_FAILURE_RATE: f64 = 0.38;
/// Weight of one call in that moving average: about the last ten calls count.
const FAILURE_WEIGHT: f64 = 0.1;
/// Cooldown of a backend server whose failure rate is too high.
const FAILURE_COOLDOWN: Duration = Duration::from_millis(1_500);
/// Failure rate assumed after such a cooldown: one or two further failures start the next one.
const FAILURE_RATE_AFTER_COOLDOWN: f64 = 0.3;
/// Weight of one request in the moving average of the slot hold time.
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// Time for which an observed event rate suffices to refuse a request. Without requests there are no
/// events, so an engine that was slow for some seconds would be refused requests forever. One trial
/// in that time costs a slot for at most its timeout.
const RECENT_EVENTS: Duration = Duration::from_secs(5);
/// Factor on the estimated time to the first event, and time added to it, after which the first
/// event is overdue.
const OVERDUE_AFTER: (f64, Duration) = (3.0, Duration::from_millis(400));

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendStatus {
    /// It accepts new requests.
    Ready,
    /// It only finishes the requests that it has.
    Leaving,
}

/// What a backend server states about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendRecord {
    /// Its id. A new process usually has a new one.
    pub id: BackendId,
    /// Start of its process, in milliseconds since the Unix epoch by its own clock. It
    /// distinguishes two runs with the same id.
    pub started: u64,
    /// The service to which it belongs.
    pub service: ServiceId,
    /// Its network address.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub status: BackendStatus,
    /// Version of its software.
    pub version: SoftwareVersion,
}

/// A backend server with everything that this host knows about it.
#[derive(Debug)]
pub struct Backend {
    /// What it states about itself.
    pub record: BackendRecord,
    /// Its key in reports.
    pub key: BackendKey,
    /// Key of the version of its software.
    pub version: crate::VersionKey,
    /// How fast it reads prompts.
    pub prefill_rate: PrefillRate,
    /// How fast it produces the events of a stream.
    pub event_rate: EventRate,
    /// Time at which this host last learned of events there.
    events_seen_at: Option<Instant>,
    /// Pauses in its streams, by the longest pause that their routes allow.
    pauses: BTreeMap<Duration, PauseTally>,
    /// Key of its run and software version, to which its KV cache is bound.
    pub engine_run: EngineRun,
    /// Tokens that its KV cache has taken up in this run.
    pub cache_clock: CacheClock,
    /// Load that the peers have there.
    peer_load: PeerLoad,
    calls: BTreeMap<RequestNumber, Call>,
    /// Totals of what this host has observed in its run, which it reports to its peers.
    totals: BackendSamples,
    /// Mean time for which requests hold their slots; absent until one has ended.
    hold_time: Option<Duration>,
    failure_rate: f64,
    cooldown_until: Option<Instant>,
    /// Cooldowns since a call last succeeded.
    cooldowns: u32,
    /// Time until which it wants no requests from this host, by its own answer.
    backoff_until: Option<Instant>,
    /// Whether an answer said that its process is leaving.
    is_leaving: bool,
    /// Spacing of this host's requests, where the backend server states a rate limit.
    throttle: Option<Throttle>,
    /// Protection against rejections that it can't bear.
    rejection_guard: Option<RejectionGuard>,
}

/// Load that the peers have on a backend server, with an estimate of how much of their prompts is
/// still unread.
///
/// Peers report that a request began and that it ended, but not when its prompt was read. That
/// follows from the prefill rate; without it, a prompt would count as unread until its answer
/// ends.
#[derive(Debug, Default)]
struct PeerLoad {
    running: u32,
    unread_tokens: f64,
    /// Time of the last update.
    at: Option<Instant>,
}

impl PeerLoad {
    fn update(
        &mut self,
        load: BackendLoad,
        new_prompt_tokens: u32,
        rate: PrefillRate,
        now: Instant,
    ) {
        let left = f64::from(self.unread_tokens(rate, now)) + f64::from(new_prompt_tokens);
        self.unread_tokens = left.min(f64::from(load.unread_tokens));
        self.running = load.running;
        self.at = Some(now);
    }

    fn unread_tokens(&self, rate: PrefillRate, now: Instant) -> u32 {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        let read = rate.rate() * age.unwrap_or_default().as_secs_f64();
        whole_tokens(self.unread_tokens - read)
    }
}

/// Returns a number of tokens without its fraction; a negative number becomes 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "such casts saturate at the bounds of the type"
)]
fn whole_tokens(tokens: f64) -> u32 {
    tokens as u32
}

fn engine_run(record: &BackendRecord) -> EngineRun {
    let seed = crate::version_key(record) ^ u64::from(crate::backend_key(&record.id));
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&record.started.to_le_bytes(), seed);
    EngineRun::try_from(hash >> 32).unwrap_or_default()
}

#[derive(Debug)]
struct Call {
    tokens: u32,
    sent_at: Instant,
    overdue_at: Option<Instant>,
}

impl Backend {
    /// Creates a backend server about which nothing has been observed.
    #[must_use]
    pub fn new(record: BackendRecord) -> Self {
        let key = crate::backend_key(&record.id);
        Self {
            version: crate::version_key(&record),
            key,
            prefill_rate: PrefillRate::default(),
            event_rate: EventRate::default(),
            events_seen_at: None,
            pauses: BTreeMap::new(),
            engine_run: engine_run(&record),
            record,
            cache_clock: CacheClock::default(),
            peer_load: PeerLoad::default(),
            calls: BTreeMap::new(),
            totals: BackendSamples::none(key),
            hold_time: None,
            failure_rate: 0.0,
            cooldown_until: None,
            cooldowns: 0,
            backoff_until: None,
            is_leaving: false,
            throttle: None,
            rejection_guard: None,
        }
    }

    /// Returns the number of requests that run there, from this host and its peers.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX) + self.peer_load.running
    }

    /// Returns the number of prompt tokens that it has to read before those of a new request.
    #[must_use]
    pub fn unread_tokens(&self, now: Instant) -> u32 {
        let own = self.own_load().unread_tokens;
        own.saturating_add(self.peer_load.unread_tokens(self.prefill_rate, now))
    }

    /// Sets the load that the peers have there now; `new_prompt_tokens` counts the prompts of the
    /// requests that they have begun.
    pub fn set_peer_load(&mut self, load: BackendLoad, new_prompt_tokens: u32, now: Instant) {
        self.peer_load
            .update(load, new_prompt_tokens, self.prefill_rate, now);
        self.cache_clock.advance(new_prompt_tokens.into());
    }

    /// Returns the load that this host has there.
    #[must_use]
    pub fn own_load(&self) -> BackendLoad {
        let unread = self.calls.values().filter(|it| it.overdue_at.is_some());
        BackendLoad {
            key: self.key,
            running: u32::try_from(self.calls.len()).unwrap_or(u32::MAX),
            unread_tokens: unread.map(|call| call.tokens).sum(),
        }
    }

    /// Returns the totals of what this host has observed of it.
    #[must_use]
    pub fn samples(&self) -> BackendSamples {
        self.totals
    }

    /// Returns whether new requests may be sent there.
    #[must_use]
    pub fn accepts_requests(&self, now: Instant) -> bool {
        let may_send = self.throttle.as_ref().is_none_or(|it| it.allows(now));
        self.is_ready() && may_send && !self.is_pausing(now) && !self.is_backing_off(now)
    }

    /// Returns whether it asked this host to back off and the time for that has not passed.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_left(now) > Duration::ZERO
    }

    /// Returns what is left of the backoff that it requested from this host.
    #[must_use]
    pub fn backoff_left(&self, now: Instant) -> Duration {
        let until = self.backoff_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns whether it accepts new requests, by its record and by its own answers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.record.status == BackendStatus::Ready && !self.is_leaving
    }

    /// Returns whether it was unreachable or failing a moment ago, or a call there has had no
    /// answer for far longer than it should: a process that hangs accepts calls and sends
    /// nothing.
    #[must_use]
    pub fn is_unhealthy(&self, now: Instant) -> bool {
        let is_overdue = |call: &Call| call.overdue_at.is_some_and(|at| now >= at);
        self.cooldown_until.is_some_and(|until| now < until) || self.calls.values().any(is_overdue)
    }

    /// Returns the mean time for which requests hold their slots there.
    #[must_use]
    pub fn hold_time(&self) -> Option<Duration> {
        self.hold_time
    }

    /// Records a call that is sent, with the estimated time to its first event.
    pub fn record_sent(
        &mut self,
        number: RequestNumber,
        tokens: u32,
        estimate: Duration,
        now: Instant,
    ) {
        let overdue_at = now + estimate.mul_f64(OVERDUE_AFTER.0) + OVERDUE_AFTER.1;
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

    /// Records the first event of a call.
    pub fn record_first_event(&mut self, number: RequestNumber) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.overdue_at = None;
        }
    }

    /// Records that the prefill of `tokens` took `seconds`.
    pub fn record_prefill(&mut self, tokens: f64, seconds: f64) {
        self.prefill_rate.record(tokens, seconds);
        self.totals.tokens += tokens;
        self.totals.seconds += seconds;
    }

    /// Records that `events` events of a stream took `seconds`.
    pub fn record_events(&mut self, events: f64, seconds: f64, now: Instant) {
        self.event_rate.record(events, seconds);
        self.events_seen_at = Some(now);
        self.totals.events += events;
        self.totals.event_seconds += seconds;
    }

    /// Records how many events of a stream came after more than the longest pause that its route
    /// allows.
    pub fn record_pauses(
        &mut self,
        longest_pause: Duration,
        events: f64,
        pauses: f64,
        now: Instant,
    ) {
        let tally = self.pauses.entry(longest_pause).or_default();
        tally.record(events, pauses, now);
    }

    /// Returns what this host observed of pauses there, in streams of routes with this longest
    /// pause.
    #[must_use]
    pub fn pauses(&self, longest_pause: Duration) -> PauseTally {
        let tally = self.pauses.get(&longest_pause);
        tally.copied().unwrap_or_default()
    }

    /// Returns whether its event rate is known and was observed a moment ago.
    #[must_use]
    pub fn has_recent_event_rate(&self, now: Instant) -> bool {
        let age = self
            .events_seen_at
            .map(|at| now.saturating_duration_since(at));
        let is_recent = age.is_some_and(|it| it <= RECENT_EVENTS);
        is_recent && self.event_rate.seconds_for(1.0).is_some()
    }

    /// Records the end of a call.
    pub fn record_end(&mut self, number: RequestNumber, outcome: AttemptOutcome, now: Instant) {
        let call = self.calls.remove(&number);
        match outcome {
            AttemptOutcome::Complete | AttemptOutcome::Unverified => {
                let held = call.map_or(Duration::ZERO, |call| now - call.sent_at);
                self.record_hold_time(held);
                self.totals.hold_seconds += held.as_secs_f64();
                self.totals.good += 1;
                self.cooldowns = 0;
                self.record_outcome(false, now);
            }
            // Peers may reach it: only the network path from this host may have failed.
            AttemptOutcome::Unreached | AttemptOutcome::Died => self.start_cooldown(now),
            AttemptOutcome::Replaced => {
                self.totals.bad += 1;
                self.start_cooldown(now);
            }
            AttemptOutcome::NotRun
            | AttemptOutcome::UnprovenRejection
            | AttemptOutcome::Failed
            | AttemptOutcome::Lost
            | AttemptOutcome::Silent
            | AttemptOutcome::TimedOut => {
                self.totals.bad += 1;
                self.record_outcome(true, now);
            }
            AttemptOutcome::Abandoned | AttemptOutcome::Withheld => {}
        }
    }

    /// Records what a peer observed.
    pub fn record_peer_samples(&mut self, samples: &BackendSamples, now: Instant) {
        if samples.tokens > 0.0 {
            self.prefill_rate.record(samples.tokens, samples.seconds);
        }
        if samples.events > 0.0 {
            self.event_rate
                .record(samples.events, samples.event_seconds);
            self.events_seen_at = Some(now);
        }
        if samples.good > 0 {
            let mean = samples.hold_seconds / f64::from(samples.good);
            self.record_hold_time(Duration::from_secs_f64(mean));
        }
        for _ in 0..samples.good {
            self.record_outcome(false, now);
        }
        for _ in 0..samples.bad {
            self.record_outcome(true, now);
        }
    }

    /// Marks it as leaving: from now on it gets no requests, whatever its record states.
    pub fn mark_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Sets the time until which this host sends it no requests.
    pub fn set_backoff_until(&mut self, until: Option<Instant>) {
        self.backoff_until = until;
    }

    /// Spaces this host's requests by `pause`; without a pause, this host sends none.
    pub fn set_throttle(&mut self, pause: Option<Duration>, now: Instant) {
        let throttle = self.throttle.get_or_insert_with(|| Throttle::new(now));
        throttle.set_pause(pause, now);
    }

    /// Returns whether requests are kept from it because it has rejected one.
    #[must_use]
    pub fn is_pausing(&self, now: Instant) -> bool {
        let guard = self.rejection_guard.as_ref();
        guard.is_some_and(|it| it.is_pausing(now))
    }

    /// Returns whether it may get a request without a risk of rejections that it can't bear.
    #[must_use]
    pub fn has_room(&self, has_waited: bool) -> bool {
        let own = u32::try_from(self.calls.len()).unwrap_or(u32::MAX);
        let (running, slots) = (self.running(), self.record.slots);
        let guard = self.rejection_guard.as_ref();
        guard.is_none_or(|it| it.has_room(own, running, slots, has_waited))
    }

    /// Returns whether it is protected against rejections.
    #[must_use]
    pub fn is_guarded(&self) -> bool {
        self.rejection_guard.is_some()
    }

    /// Sets the protection against rejections, or removes it.
    pub fn set_rejection_guard(&mut self, guard: Option<RejectionGuard>) {
        self.rejection_guard = guard;
    }

    /// Removes the spacing of this host's requests.
    pub fn stop_throttling(&mut self) {
        self.throttle = None;
    }

    /// Replaces the record by a newer one. A new run inherits nothing that was observed of the
    /// one before.
    pub fn update_record(&mut self, record: BackendRecord) {
        if record.started == self.record.started && record.address == self.record.address {
            self.version = crate::version_key(&record);
            self.engine_run = engine_run(&record);
            self.record = record;
        } else {
            *self = Self::new(record);
        }
    }

    /// Ends the cooldown, whose cause has gone.
    pub fn end_cooldown(&mut self) {
        self.cooldown_until = None;
        self.cooldowns = 0;
    }

    /// Starts a cooldown. A process that has exited refuses connections at once and, having no
    /// load, would attract all requests.
    fn start_cooldown(&mut self, now: Instant) {
        let cooldown = FIRST_COOLDOWN * 2_u32.pow(self.cooldowns.min(8));
        self.cooldowns += 1;
        self.cooldown_until = Some(now + cooldown.min(MAX_COOLDOWN));
    }

    fn record_hold_time(&mut self, held: Duration) {
        let mean = self.hold_time.unwrap_or(held);
        let old = mean.mul_f64(1.0 - HOLD_TIME_WEIGHT);
        self.hold_time = Some(old + held.mul_f64(HOLD_TIME_WEIGHT));
    }

    fn record_outcome(&mut self, failed: bool, now: Instant) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failure_rate += FAILURE_WEIGHT * (outcome - self.failure_rate);
        if self.failure_rate > MAX_FAILURE_RATE {
            self.failure_rate = FAILURE_RATE_AFTER_COOLDOWN;
            self.cooldown_until = Some(now + FAILURE_COOLDOWN);
        }
    }
}
