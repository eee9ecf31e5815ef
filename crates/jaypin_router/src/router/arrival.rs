//! A request arrives: it is rejected, refused, sent, or waits for a place.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{AccountId, Reason, Refusal, ServiceId};
use rand::RngExt;

use super::{Effect, Router};
use crate::placement::{Choice, Demand, best_place};
use crate::request::{Admitted, Request, Sent, Waiting};
use crate::{
    Account, Arrival, Grounds, QuotaUnit, Rank, Repeat, RequestNumber, Route, RouteTable,
    kept_slots, service_key,
};

/// Part of the aim for which a request may wait for a place before it is refused: long
/// enough for a slot to come free, short enough for the caller to come back in time.
const HOLD_PART: f64 = 0.12;
/// Part of the aim that the estimated first event may take; the rest covers what the
/// estimate misses, 80 ms for nine requests in ten.
const ACCEPT_PART: f64 = 0.7;
/// Part of the aim for which a request of the most urgent rank may wait for a slot, and
/// for which one of another rank may.
///
/// A queue of one inside an engine keeps its slots full; a longer one only makes long
/// prompts late, whose own prefill takes most of their aim. With 0.9 of the aim the worst
/// kind of request earned 0.48 of its worth at one and a half times capacity, with these
/// 0.54.
const SLOT_WAIT_PARTS: (f64, f64) = (0.15, 0.1);
/// Greatest size by which the accepted time is divided, for the most urgent rank and for
/// the others.
///
/// A request that holds its slot for long is sent only where it hardly waits, so that at
/// full load the time it would take goes to several short ones: four requests in ten that
/// were refused are served. The most urgent rank pays less for its length, or it would be
/// refused before deferrable short work.
const MOST_SIZES: (f64, f64) = (2.0, 6.0);
/// Factor on a prompt's own prefill that is accepted whatever the aim: a prompt too long
/// for its aim on every engine is served late and not refused for ever.
const OWN_PREFILL_FACTOR: f64 = 1.5;
/// Part of the aim up to which a first event is worth sending for although it is late,
/// where a slot is free.
const LATE_PART: f64 = 1.6;
/// Kept slots below which a service takes what comes: hardly anything urgent is asked of it.
const LEAST_KEPT: f64 = 0.1;
/// Part of the aim within which a backend server frees its next slot, up to which a queue
/// there delays nobody, so that nothing has to be kept.
const QUICK_TURN_PART: f64 = 0.05;
/// Mean time to come back after a refusal for want of capacity, as a part of the aim: the
/// caller's second try can still be in time.
const RETURN_PART: f64 = 0.4;
/// Spread of that time, as factors, so that refused callers don't return together.
const RETURN_SPREAD: std::ops::Range<f64> = 0.6..1.4;
/// Time to come back to a host that has no proved configuration.
const UNREADY_RETURN: Duration = Duration::from_millis(500);
/// Time to come back after a refusal by a host that leaves: another host can be asked at
/// once.
const LEAVING_RETURN: Duration = Duration::from_millis(50);
/// Time for which a host that leaves still takes requests: callers hear within a few
/// seconds that it leaves, and what it takes has to end within its grace.
const LEAVING_ACCEPTS: Duration = Duration::from_millis(2_500);
/// Longest stated time to come back with a content that kills backend servers.
const QUARANTINE_RETURN: Duration = Duration::from_secs(30);
/// Time that a request of an engine's service holds its slot, before any was seen.
const FIRST_ENGINE_RESIDENCE: Duration = Duration::from_millis(1_200);
/// The same for plain services.
const FIRST_PLAIN_RESIDENCE: Duration = Duration::from_millis(20);

/// Allowed pauses without an event after which a stream is given up: one is missed when a
/// long prompt is read beside it.
const SILENT_PAUSES: u32 = 3;
/// One such pause, where a route states none.
const USUAL_PAUSE: Duration = Duration::from_millis(500);

impl Router {
    pub(super) fn arrived(&mut self, now: Instant, arrival: &Arrival, fx: &mut Vec<Effect>) {
        let number = arrival.number;
        let Some(table) = self.table.clone() else {
            let refusal = Refusal::not_run(Reason::NotReady).retry_after(UNREADY_RETURN);
            let grounds = Grounds::Configuration {
                version: 0,
                proof_age: None,
            };
            return fx.push(refuse(number, refusal, grounds));
        };
        let grounds = Grounds::Configuration {
            version: table.configuration().version,
            proof_age: self.proof_age(arrival.boot_time),
        };
        let is_proved = self.is_proved(arrival.boot_time);
        let credential = arrival.credential.as_deref();
        let admitted = table.admit(&arrival.host, &arrival.path, credential);
        let is_public = |admitted: &(&Arc<Route>, Option<&Account>)| {
            admitted.0.is_public || table.configuration().accounts.is_empty()
        };
        // A host that can't prove its configuration knows neither which credentials were
        // withdrawn nor which routes were added, so it says neither yes nor no.
        if !is_proved && !admitted.as_ref().is_ok_and(is_public) {
            let refusal = Refusal::not_run(Reason::Unproven).retry_after(UNREADY_RETURN);
            return fx.push(refuse(number, refusal, grounds));
        }
        match admitted {
            Ok((route, account)) => {
                let request = self.admit(arrival, route, account);
                self.start(now, request, &table, fx);
            }
            Err(reason) => fx.push(Effect::Reject {
                number,
                reason,
                grounds,
            }),
        }
    }

    fn admit(
        &mut self,
        arrival: &Arrival,
        route: &Arc<Route>,
        account: Option<&Account>,
    ) -> Request<Waiting> {
        let patience = arrival.patience.unwrap_or(route.timeout);
        let (prompt_tokens, answer_tokens) = arrival.tokens.unwrap_or_default();
        let rank = Rank::of(account, route);
        let service = self.choose_service(route);
        let expected = arrival.expected_answer.unwrap_or(answer_tokens);
        let size = self.sizes.relative(&service, rank, prompt_tokens, expected);
        let admitted = Admitted {
            number: arrival.number,
            service,
            size,
            account: account.map(|account| account.name.clone()),
            rank,
            prompt_tokens,
            answer_tokens,
            units: units(account, arrival.tokens),
            fingerprint: arrival.fingerprint,
            arrived_at: arrival.received_at,
            deadline: arrival.received_at + patience.min(route.timeout),
            tried: Vec::new(),
            runs: 0,
            is_started: false,
            route: route.clone(),
        };
        let until = arrival.received_at + route.aim.mul_f64(HOLD_PART);
        Request {
            admitted,
            state: Waiting { until },
        }
    }

    /// Checks what every request has to pass, whatever its route, and looks for a place.
    fn start(
        &mut self,
        now: Instant,
        request: Request<Waiting>,
        table: &RouteTable,
        fx: &mut Vec<Effect>,
    ) {
        let admitted = &request.admitted;
        let number = admitted.number;
        let leaving_for = self
            .draining_since
            .map(|since| now.saturating_duration_since(since));
        if leaving_for.is_some_and(|time| time >= LEAVING_ACCEPTS) {
            let refusal = Refusal::not_run(Reason::Draining).retry_after(LEAVING_RETURN);
            return fx.push(refuse(number, refusal, Grounds::Leaving));
        }
        if let Some(left) = self.quarantined_for(admitted.fingerprint, now) {
            let refusal = Refusal::not_run(Reason::Quarantined);
            let refusal = refusal.retry_after(left.min(QUARANTINE_RETURN));
            let strikes = self.quarantine.strikes(admitted.fingerprint);
            return fx.push(refuse(number, refusal, Grounds::Deaths { strikes }));
        }
        if let Some(account) = &admitted.account
            && let Err(wait) = self.take_quota(account, admitted, now)
        {
            let refusal = Refusal::not_run(Reason::OverLimit).retry_after(wait);
            let level = self.quota.level(account);
            let grounds = Grounds::Quota {
                account: account.clone(),
                units: admitted.units,
                level,
            };
            return fx.push(refuse(number, refusal, grounds));
        }
        let service = admitted.service.clone();
        let first = if table
            .service(&service)
            .is_some_and(|it| it.engine.is_some())
        {
            FIRST_ENGINE_RESIDENCE
        } else {
            FIRST_PLAIN_RESIDENCE
        };
        self.residence.entry(service.clone()).or_insert(first);
        self.budget(&service, now).saw_request(now);
        let rank = request.admitted.rank;
        self.asked.saw(service_key(&service), rank, now);
        self.place(now, request, fx);
    }

    /// Takes an account's units, and leaves some for more urgent routes of the account.
    fn take_quota(
        &mut self,
        account: &AccountId,
        admitted: &Admitted,
        now: Instant,
    ) -> Result<(), Duration> {
        let route = (service_key(&admitted.service), admitted.rank.route);
        let units = admitted.units;
        if units <= 0.0 {
            return self.quota.take(account, units, now);
        }
        self.account_asked.saw(account, route, units, now);
        let hosts = u32::try_from(self.fleet.size(now)).unwrap_or(u32::MAX);
        let hosts = f64::from(hosts) * f64::from(self.cells);
        let left = self.account_asked.to_leave(account, route, hosts, now);
        self.quota.take_leaving(account, units, left, now)
    }

    fn choose_service(&mut self, route: &Route) -> ServiceId {
        let total: u32 = route.targets.iter().map(|it| it.weight).sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        for target in &route.targets {
            if drawn < target.weight {
                return target.service.clone();
            }
            drawn -= target.weight;
        }
        let first = route.targets.first();
        first.map_or_else(|| ServiceId::from(""), |target| target.service.clone())
    }

    // ------------------------------------------------------------------ places

    /// Sends a request, keeps it waiting, or gives it up.
    pub(super) fn place(&mut self, now: Instant, request: Request<Waiting>, fx: &mut Vec<Effect>) {
        if now >= request.admitted.deadline {
            return self.give_up(&request, Reason::TooLate, Grounds::Deadline, fx);
        }
        let is_over = now >= request.state.until;
        let Some(choice) = self.choose(&request.admitted, now) else {
            if is_over {
                return self.give_up(&request, Reason::NoBackend, Grounds::NoPlace, fx);
            }
            return self.waiting.push(request);
        };
        let limit = self.limit(&request.admitted, &choice, now);
        let slot_limit = slot_wait_limit(&request.admitted);
        let has_room = self.has_room(&request.admitted, &choice, now);
        let is_in_time = has_room
            && !choice.is_in_trouble
            && choice.first_event <= limit
            && choice.slot_wait <= slot_limit;
        let is_resort = is_over && has_room && is_last_resort(&request.admitted, &choice, now);
        let grounds = self.grounds_of(&choice, limit, slot_limit);
        if is_in_time || is_resort {
            self.send(now, request, choice, grounds, fx);
        } else if is_over {
            self.give_up(&request, Reason::Shed, grounds, fx);
        } else {
            self.waiting.push(request);
        }
    }

    /// Looks again for places, the most urgent request first.
    pub(super) fn place_waiting(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.look_at = None;
        if self.waiting.is_empty() {
            return;
        }
        for request in self.waiting.take_all() {
            self.place(now, request, fx);
        }
    }

    fn choose(&mut self, admitted: &Admitted, now: Instant) -> Option<Choice> {
        let demand = Demand {
            prompt_tokens: admitted.prompt_tokens,
            aim: admitted.route.aim,
            longest_pause: admitted.route.longest_pause,
            residence: self.residence_of(&admitted.service),
        };
        let mut rng = self.rng.clone();
        let mut turn = || rng.random_range(0.0..1.0);
        let of_service = || {
            let all = self.backends.values();
            all.filter(|it| it.record.service == admitted.service)
        };
        let ours = of_service().filter(|it| self.is_ours(it));
        let choice = best_place(ours, &demand, &admitted.tried, &mut turn, now)
            // A cell whose backend servers are all gone uses those of the others.
            .or_else(|| best_place(of_service(), &demand, &admitted.tried, &mut turn, now));
        self.rng = rng;
        choice
    }

    /// Whether a place is not kept for more urgent requests.
    fn has_room(&self, admitted: &Admitted, choice: &Choice, now: Instant) -> bool {
        if admitted.is_started {
            return true;
        }
        let service = service_key(&admitted.service);
        let of_cell = self.asked.above(service, admitted.rank, now);
        let above = of_cell * f64::from(self.sharing_cells(&admitted.service));
        let kept = kept_slots(above);
        let quick = admitted.route.aim.mul_f64(QUICK_TURN_PART);
        if kept < LEAST_KEPT || choice.turn <= quick {
            return true;
        }
        choice.has_slot && f64::from(self.free_slots(&admitted.service, now)) > kept
    }

    /// Free slots of a service's backend servers that this host's cell uses.
    fn free_slots(&self, service: &ServiceId, now: Instant) -> u32 {
        let all = self.backends.values();
        let of_service = all.filter(|it| it.record.service == *service && self.is_ours(it));
        let usable = of_service.filter(|it| it.takes_requests() && !it.is_in_trouble(now));
        usable
            .map(|it| it.record.slots.saturating_sub(it.running()))
            .sum()
    }

    fn residence_of(&self, service: &ServiceId) -> Duration {
        let known = self.residence.get(service);
        known.copied().unwrap_or(FIRST_PLAIN_RESIDENCE)
    }

    /// Time that the first event may take at a place.
    fn limit(&self, admitted: &Admitted, choice: &Choice, now: Instant) -> Duration {
        if admitted.is_started {
            // A stream that broke off goes on anywhere sooner than nowhere.
            return admitted.deadline.saturating_duration_since(now);
        }
        let spent = now.saturating_duration_since(admitted.arrived_at);
        let most_size = of_rank(admitted, MOST_SIZES);
        let part = ACCEPT_PART / admitted.size.clamp(1.0, most_size);
        let limit = admitted.route.aim.mul_f64(part);
        let own = self.backends.get(&choice.backend).map(|backend| {
            let tokens = f64::from(admitted.prompt_tokens);
            Duration::from_secs_f64(backend.pace.seconds_for(tokens))
        });
        let own = own.unwrap_or_default().mul_f64(OWN_PREFILL_FACTOR);
        limit.saturating_sub(spent).max(own)
    }

    fn grounds_of(&self, choice: &Choice, limit: Duration, slot_limit: Duration) -> Grounds {
        let backend = self.backends.get(&choice.backend);
        Grounds::Place {
            first_event: choice.first_event,
            limit,
            slot_wait: choice.slot_wait,
            slot_limit,
            running: backend.map_or(0, crate::Backend::running),
            tokens_ahead: choice.tokens_ahead,
            is_in_trouble: choice.is_in_trouble,
        }
    }

    fn send(
        &mut self,
        now: Instant,
        request: Request<Waiting>,
        choice: Choice,
        grounds: Grounds,
        fx: &mut Vec<Effect>,
    ) {
        let Some(backend) = self.backends.get_mut(&choice.backend) else {
            return self.give_up(&request, Reason::NoBackend, grounds, fx);
        };
        let admitted = &request.admitted;
        let (number, tokens) = (admitted.number, admitted.prompt_tokens);
        backend.sent(number, tokens, choice.first_event, now);
        self.telling.slots_changed();
        fx.push(Effect::Send {
            number,
            backend: choice.backend.clone(),
            address: backend.record.address.clone(),
            account: admitted.account.clone(),
            repeat: admitted.route.repeat,
            silence: silence(admitted, &choice),
            longest_pause: longest_pause(&admitted.route),
            deadline: admitted.deadline,
            grounds,
        });
        let sent = request.send(Sent {
            backend: choice.backend,
            at: now,
            tokens_ahead: choice.tokens_ahead,
            had_slot: choice.has_slot,
            is_answered: false,
        });
        self.sent.insert(number, sent);
    }

    /// Ends a request that has no place, at once and with what is true of it.
    pub(super) fn give_up(
        &mut self,
        request: &Request<Waiting>,
        reason: Reason,
        grounds: Grounds,
        fx: &mut Vec<Effect>,
    ) {
        let admitted = &request.admitted;
        let number = admitted.number;
        if admitted.runs > 0 {
            return fx.push(Effect::PassOn(number));
        }
        self.give_back(admitted);
        let refusal = Refusal::not_run(reason).retry_after(self.return_time(admitted));
        fx.push(refuse(number, refusal, grounds));
    }

    pub(super) fn give_back(&mut self, admitted: &Admitted) {
        if let Some(account) = &admitted.account {
            self.quota.give_back(account, admitted.units);
        }
    }

    pub(super) fn return_time(&mut self, admitted: &Admitted) -> Duration {
        let spread = self.rng.random_range(RETURN_SPREAD);
        admitted.route.aim.mul_f64(RETURN_PART * spread)
    }

    pub(super) fn caller_gone(&mut self, number: RequestNumber) {
        if let Some(request) = self.waiting.remove(number) {
            self.give_back(&request.admitted);
        }
    }
}

/// The first for the most urgent rank, the second for the others.
fn of_rank(admitted: &Admitted, (urgent, other): (f64, f64)) -> f64 {
    if admitted.rank.is_most_urgent() {
        urgent
    } else {
        other
    }
}

/// Time that a request may wait for a slot; a stream that broke off takes any.
fn slot_wait_limit(admitted: &Admitted) -> Duration {
    if admitted.is_started {
        return Duration::MAX;
    }
    admitted
        .route
        .aim
        .mul_f64(of_rank(admitted, SLOT_WAIT_PARTS))
}

/// Where nothing better is left: a late first event, or a backend server in trouble that
/// may be well again.
fn is_last_resort(admitted: &Admitted, choice: &Choice, now: Instant) -> bool {
    let spent = now.saturating_duration_since(admitted.arrived_at);
    let limit = admitted.route.aim.mul_f64(LATE_PART);
    choice.has_slot && choice.first_event <= limit.saturating_sub(spent)
}

/// Time without a first event after which a call that may be sent again is given up: its
/// backend server accepted it and hangs, or the connection went silent.
fn silence(admitted: &Admitted, choice: &Choice) -> Option<Duration> {
    let is_left = admitted.runs + 1 < admitted.route.attempts;
    let may_run_again = admitted.route.repeat.may_run_again() && is_left;
    may_run_again.then(|| choice.first_event * 3 + admitted.route.aim.mul_f64(1.5))
}

/// Pause after which a stream that may go on elsewhere is given up: its engine hangs, or the
/// connection went silent. Callers give up after eight of the pauses that they allow, so
/// there is time for another backend server.
fn longest_pause(route: &Route) -> Option<Duration> {
    let allowed = route.longest_pause.unwrap_or(USUAL_PAUSE);
    let may_move = route.repeat == Repeat::ResumableStream;
    may_move.then(|| allowed * SILENT_PAUSES)
}

fn refuse(number: RequestNumber, refusal: Refusal, grounds: Grounds) -> Effect {
    Effect::Refuse {
        number,
        refusal,
        grounds,
    }
}

fn units(account: Option<&Account>, tokens: Option<(u32, u32)>) -> f64 {
    let quota = account.and_then(|account| account.quota);
    match quota.map(|quota| quota.unit) {
        Some(QuotaUnit::Tokens { undeclared }) => {
            tokens.map_or(undeclared, |it| f64::from(it.0) + f64::from(it.1))
        }
        Some(QuotaUnit::Requests) => 1.0,
        None => 0.0,
    }
}
