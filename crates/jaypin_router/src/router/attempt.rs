//! Handling of calls to backend servers, from their first event to their end.

use std::time::{Duration, Instant};

use jaypin_core::{Ran, Reason, Refusal};

use super::arrival::refuse;
use super::held_prompts::is_prefill_sample;
use super::{Effect, Router};
use crate::limits::longest_wait_in_stream;
use crate::prefill_rate::CALL_OVERHEAD;
use crate::request::{Admitted, Request, Sent};
use crate::{AttemptOutcome, DecisionInputs, RequestNumber, service_key};

/// Number of backend servers that may decline one request before it is refused.
const MAX_DECLINES: usize = 4;
/// Factor by which an engine's events must slow down in one update so that peers receive a
/// report at once.
const REPORTED_SLOWDOWN: f64 = 4.0 / 3.0;
/// Events of a stream that were received together.
#[derive(Debug, Clone, Copy)]
pub(super) struct EventGroup {
    pub events: u32,
    /// Time over which they arrived.
    pub time: Duration,
    /// The longest time before one of them.
    pub longest_pause: Duration,
}

/// Weight of one request in the moving average of slot hold times.
const HOLD_TIME_WEIGHT: f64 = 0.05;

impl Router {
    pub(super) fn handle_response_start(
        &mut self,
        now: Instant,
        number: RequestNumber,
        fx: &mut Vec<Effect>,
    ) {
        let Some(request) = self.sent.get_mut(&number) else {
            return;
        };
        let state = &mut request.state;
        if state.first_event_at.is_some() {
            return;
        }
        state.first_event_at = Some(now);
        let admitted = &mut request.admitted;
        admitted.received_events += 1;
        if admitted.route.repeat.is_stream() {
            admitted.stream_version.get_or_insert(state.version);
        }
        let origin = admitted.stream_origin();
        self.handle_first_event(now, number);
        if let Some(origin) = origin {
            self.record_stream_origin(origin, now, fx);
        }
    }

    fn handle_first_event(&mut self, now: Instant, number: RequestNumber) {
        let Some(mut request) = self.sent.remove(&number) else {
            return;
        };
        let elapsed = now.saturating_duration_since(request.state.at);
        let elapsed = elapsed.saturating_sub(CALL_OVERHEAD);
        let cached = self.record_held_prompt(&request.admitted, &request.state, elapsed, now);
        request.state.held.tokens = cached;
        self.record_prefill_sample(&request, elapsed);
        self.sent.insert(number, request);
    }

    fn record_prefill_sample(&mut self, request: &Request<Sent>, elapsed: Duration) {
        let state = &request.state;
        let Some(backend) = self.backends.get_mut(&state.backend) else {
            return;
        };
        backend.record_first_event(request.admitted.number);
        // With all slots taken, the time depends more on when other requests end than on the
        // prefill of this one.
        let is_first = request.admitted.attempted.len() == 1;
        if state.had_slot && is_first && request.admitted.prompt_tokens > 0 {
            let cached = state.held.tokens;
            let uncached = request.admitted.prompt_tokens.saturating_sub(cached);
            let tokens = f64::from(state.tokens_ahead) + f64::from(uncached);
            if is_prefill_sample(backend, tokens, cached) {
                backend.record_prefill(tokens, elapsed.as_secs_f64());
            }
        }
    }

    pub(super) fn handle_stream_events(
        &mut self,
        now: Instant,
        number: RequestNumber,
        group: EventGroup,
    ) {
        let EventGroup { events, time, .. } = group;
        let Some(request) = self.sent.get_mut(&number) else {
            return;
        };
        let was_long_written = request.state.is_long_written();
        request.state.record_writing(events, time);
        request.admitted.received_events += events;
        if request.state.is_long_written() && !was_long_written {
            let parts = request.admitted.shared_parts.clone();
            self.record_sound_parts(&parts, now);
        }
        self.record_pauses(number, group, now);
        let Some(request) = self.sent.get(&number) else {
            return;
        };
        if let Some(backend) = self.backends.get_mut(&request.state.backend) {
            let before = backend.event_rate.seconds_for(1.0);
            backend.record_events(f64::from(events), time.as_secs_f64(), now);
            let after = backend.event_rate.seconds_for(1.0);
            let slowdown = before.zip(after).map(|(before, after)| after / before);
            if slowdown.is_some_and(|it| it >= REPORTED_SLOWDOWN) {
                self.load_report_state.report_samples_at_once(backend.key);
            }
        }
    }

    /// Counts the pauses among events of a stream, at the speed that its engine had before them. A
    /// group ends with the first long pause, so it holds one at most.
    fn record_pauses(&mut self, number: RequestNumber, group: EventGroup, now: Instant) {
        let Some(request) = self.sent.get(&number) else {
            return;
        };
        let admitted = &request.admitted;
        let Some(longest_pause) = admitted.route.longest_pause else {
            return;
        };
        let is_pause = group.longest_pause > longest_pause;
        let (events, pauses) = (f64::from(group.events), f64::from(u8::from(is_pause)));
        if let Some(backend) = self.backends.get_mut(&request.state.backend) {
            backend.record_pauses(longest_pause, events, pauses, now);
            let seconds_per_event = backend.event_rate.seconds_for(1.0);
            let key = (admitted.service.clone(), longest_pause);
            let of_service = self.pauses.entry(key).or_default();
            of_service.record(seconds_per_event, events, pauses, now);
        }
    }

    /// Learns from a stream that has ended how long such answers are.
    fn record_answer_length(&mut self, admitted: &Admitted, outcome: AttemptOutcome) {
        let Some(expected) = admitted.expected_events else {
            return;
        };
        // This host has seen only a part of a stream that began at another one.
        if admitted.received_events == 0 || admitted.is_resumed {
            return;
        }
        let rank = admitted.rank.route;
        let lengths = self.answer_lengths.get_mut(&admitted.service, rank);
        let ratio = f64::from(admitted.received_events) / expected.max(1.0);
        match outcome {
            AttemptOutcome::Complete => lengths.record_complete(ratio),
            AttemptOutcome::TimedOut | AttemptOutcome::Abandoned => lengths.record_cut(ratio),
            _ => {}
        }
    }

    pub(super) fn handle_attempt_end(
        &mut self,
        now: Instant,
        number: RequestNumber,
        outcome: AttemptOutcome,
        fx: &mut Vec<Effect>,
    ) {
        if let Some(request) = self.passed_on.remove(&number) {
            return self.handle_passed_on_end(now, request, outcome, fx);
        }
        let Some(mut request) = self.sent.remove(&number) else {
            return;
        };
        if matches!(outcome, AttemptOutcome::Unreached | AttemptOutcome::Died) {
            self.record_unreached(&request.state.backend);
        }
        if let Some(backend) = self.backends.get_mut(&request.state.backend) {
            backend.record_end(number, outcome, now);
            self.load_report_state.slot_changed(backend.key);
        }
        self.count_outcome(&request, outcome);
        self.record_answer_length(&request.admitted, outcome);
        request.admitted.is_started |= request.state.first_event_at.is_some();
        match outcome {
            AttemptOutcome::Complete => {
                self.record_hold_time(&request, now);
                self.record_rank_hold_time(&request, now);
                self.record_completion(&request.admitted, now);
            }
            AttemptOutcome::Unverified => {
                self.record_hold_time(&request, now);
                self.record_unverified_answer(&request, now);
            }
            AttemptOutcome::Abandoned => {}
            AttemptOutcome::UnprovenRejection if request.admitted.route.repeat.may_run_again() => {
                request.admitted.unproven_rejections += 1;
                self.handle_not_run(now, request, outcome, fx);
            }
            _ if outcome.is_definitely_not_run() => self.handle_not_run(now, request, outcome, fx),
            _ => {
                request
                    .admitted
                    .record_possible_run(&request.state.backend, outcome);
                self.handle_failure(now, request, outcome, fx);
            }
        }
        self.place_waiting(now, fx);
    }

    fn record_hold_time(&mut self, request: &Request<Sent>, now: Instant) {
        let hold_time = now.saturating_duration_since(request.state.at);
        if let Some(mean) = self.service_hold_times.get_mut(&request.admitted.service) {
            let previous = mean.mul_f64(1.0 - HOLD_TIME_WEIGHT);
            *mean = previous + hold_time.mul_f64(HOLD_TIME_WEIGHT);
        }
    }

    /// Records the hold time of an answer that was run to its end. Others may have failed early, and a
    /// rank that fails fast would count as one whose requests hardly take a slot.
    fn record_rank_hold_time(&mut self, request: &Request<Sent>, now: Instant) {
        let hold_time = now.saturating_duration_since(request.state.at);
        let admitted = &request.admitted;
        let service = service_key(&admitted.service);
        self.hold_times
            .record(service, admitted.rank.route, hold_time);
    }

    /// Handles a call after which another backend server may get the request: it did not run, or it was
    /// rejected without proof and may run again.
    fn handle_not_run(
        &mut self,
        now: Instant,
        request: Request<Sent>,
        outcome: AttemptOutcome,
        fx: &mut Vec<Effect>,
    ) {
        if matches!(
            outcome,
            AttemptOutcome::NotRun | AttemptOutcome::UnprovenRejection
        ) {
            self.record_rejection(&request.state.backend, now);
        }
        if outcome == AttemptOutcome::Replaced {
            self.record_replaced_backend(&request.state, now);
        }
        // A request that has left a silent call may have passed its latency target.
        let since = match request.admitted.silent_calls {
            0 => request.admitted.arrived_at,
            _ => now,
        };
        let until = retry_until(&request.admitted, since, now);
        let service = request.admitted.service.clone();
        let is_outside_budget = matches!(
            outcome,
            AttemptOutcome::Unreached | AttemptOutcome::Withheld
        );
        let mut request = request.requeue(until);
        let has_too_many_declines = |admitted: &Admitted| admitted.attempted.len() >= MAX_DECLINES;
        if has_too_many_declines(&request.admitted) || !self.has_place(&request.admitted, now) {
            request.admitted.allow_return();
        }
        let has_too_many_declines = has_too_many_declines(&request.admitted);
        if self.is_cut_off() && self.peer_for(&request.admitted, now).is_some() {
            return self.place(now, request, fx);
        }
        if has_too_many_declines || !(is_outside_budget || self.budget(&service, now).take(now)) {
            let inputs = call_inputs(&request.admitted);
            return self.give_up(now, &request, Reason::Shed, inputs, fx);
        }
        self.place(now, request, fx);
    }

    /// Handles a failed call on which the request may have run.
    fn handle_failure(
        &mut self,
        now: Instant,
        request: Request<Sent>,
        outcome: AttemptOutcome,
        fx: &mut Vec<Effect>,
    ) {
        self.record_lost_call(&request, outcome, now);
        let admitted = &request.admitted;
        let (number, service) = (admitted.number, admitted.service.clone());
        let may_run_again = admitted.may_run_after(0)
            && now < admitted.deadline
            && outcome != AttemptOutcome::TimedOut
            && !self.is_quarantined(admitted, now)
            && !self.may_crash_others(&request);
        if may_run_again && self.budget(&service, now).take(now) {
            let until = retry_until(&request.admitted, now, now);
            return self.place(now, request.requeue(until), fx);
        }
        let inputs = call_inputs(&request.admitted);
        let reason = match outcome {
            AttemptOutcome::Failed => return fx.push(Effect::ForwardFailure(number)),
            AttemptOutcome::TimedOut => Reason::TooLate,
            _ => Reason::BackendLost,
        };
        let refusal = Refusal::after_dispatch(reason, Ran::Unknown);
        let requester = Some(request.admitted.requester());
        fx.push(refuse(number, requester, refusal, inputs));
    }
}

/// Returns the time until which a request may wait for another place after its call did not succeed.
///
/// Without a first event that is as long as its latency target, from `since` on, can still be met. A
/// stream that has begun may pause.
pub(super) fn retry_until(admitted: &Admitted, since: Instant, now: Instant) -> Instant {
    if admitted.stream_version.is_some() {
        now + longest_wait_in_stream(&admitted.route)
    } else {
        since + admitted.route.latency_target / 2
    }
}

fn call_inputs(admitted: &Admitted) -> DecisionInputs {
    DecisionInputs::Call {
        possible_runs: admitted.possible_runs,
        attempted: admitted.attempted.len(),
    }
}
