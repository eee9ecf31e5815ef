//! Placement of a request: it is sent to a backend server, waits for one, or is given up.

use std::time::{Duration, Instant};

use jaypin_core::{Reason, Refusal, ServiceId};
use rand::RngExt;

use super::arrival::{INITIAL_PLAIN_HOLD_TIME, refuse};
use super::{Effect, Router};
use crate::limits::{
    accepted_slot_wait, first_event_limit, first_event_timeout, is_last_resort, is_long,
    slot_wait_limit, stall_timeout,
};
use crate::placement::{Choice, Demand, choose_backend};
use crate::request::{Admitted, Request, Sent, Waiting};
use crate::retry_after::capacity_retry_after;
use crate::{
    AnswerDemand, AttemptOutcome, Backend, BackendRun, DecisionInputs, EngineOrder, RequestNumber,
    ServiceSpeed, SlotReserve, VersionRole, reserved_slots, service_key, slots_freed_in_time,
};

/// Number of reserved slots below which none is reserved, since hardly any urgent requests
/// arrive.
const MIN_RESERVED_SLOTS: f64 = 0.1;
/// Time from the arrival of a request to its first placement attempt.
const ARRIVAL_TIME: Duration = Duration::from_millis(5);
/// Pause between two placement attempts of waiting requests while no slot is reported to be
/// free.
const PLACEMENT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Fraction of the service's shortest latency target within which a backend server must free its
/// next slot so that no slot has to be reserved there.
///
/// Such a short queue delays no one: the most urgent requests may wait three times as long, so
/// they still find a place behind it.
const SHORT_INTERVAL_FRACTION: f64 = 0.05;

impl Router {
    /// Sends a request, keeps it waiting, or gives it up.
    pub(super) fn place(&mut self, now: Instant, request: Request<Waiting>, fx: &mut Vec<Effect>) {
        self.refresh_subsets();
        // The content, or a part of the prompt, may have crashed backend servers while the request was waiting or sent.
        if self.is_quarantined(&request.admitted, now) {
            if !request.admitted.may_have_run() {
                self.refund_quota(&request.admitted);
            }
            return self.refuse_quarantined(now, &request, fx);
        }
        if let Some(peer) = self.peer_for(&request.admitted, now) {
            // The peer charges the quota.
            self.refund_quota(&request.admitted);
            return self.pass_on(request, peer, fx);
        }
        if now >= request.admitted.deadline {
            return self.give_up(now, &request, Reason::TooLate, DecisionInputs::Deadline, fx);
        }
        if self.is_version_gone(&request.admitted) {
            return self.refuse_version(&request, Reason::VersionGone, None, fx);
        }
        let is_wait_over = now >= request.state.until;
        let shortage = self.slot_shortage(&request.admitted, now);
        let stable = self.choose_at_random(&request.admitted, shortage.as_ref(), now);
        if let Some(choice) = self.canary_place(&request.admitted, stable.as_ref(), now) {
            let limit = self.first_event_limit_of(&request.admitted, &choice, now);
            let inputs = self.placement_inputs(&choice, limit, slot_wait_limit(&request.admitted));
            return self.send(now, request, choice, inputs, fx);
        }
        let Some(choice) = stable else {
            if is_wait_over {
                let inputs = self.no_backend_inputs(&request.admitted.service, now);
                return self.give_up(now, &request, Reason::NoBackend, inputs, fx);
            }
            return self.keep_waiting(request, now);
        };
        let limit = self.first_event_limit_of(&request.admitted, &choice, now);
        let slot_limit = slot_wait_limit(&request.admitted);
        let uses_reserve = shortage.as_ref().is_some_and(|it| it.is_relaxed(&choice));
        let shortage = shortage.filter(|it| !it.allows(&choice));
        let has_room = shortage.is_none();
        let is_in_time = has_room && is_in_time(&choice, limit, slot_limit);
        let is_last_resort_place =
            is_wait_over && has_room && is_last_resort(&request.admitted, &choice, now);
        let inputs = match shortage {
            Some(it) if !it.has_unreserved() => DecisionInputs::Reserved {
                free: it.free,
                reserve: it.reserve,
            },
            Some(it) => self.placement_inputs(&choice, limit, slot_limit.min(it.short_interval)),
            None => self.placement_inputs(&choice, limit, slot_limit),
        };
        if is_in_time || is_last_resort_place {
            self.reserve_counts.sent += u64::from(uses_reserve);
            self.send(now, request, choice, inputs, fx);
        } else if is_wait_over {
            let is_reserved = matches!(inputs, DecisionInputs::Reserved { .. });
            self.reserve_counts.refused += u64::from(is_reserved);
            self.give_up(now, &request, Reason::Shed, inputs, fx);
        } else {
            self.keep_waiting(request, now);
        }
    }

    /// Keeps a request waiting and schedules its next placement attempt.
    ///
    /// The attempt is timed because no report announces that an engine has finished reading a
    /// prompt or that its cooldown has ended.
    fn keep_waiting(&mut self, request: Request<Waiting>, now: Instant) {
        self.waiting.push(request);
        let at = now + PLACEMENT_RETRY_PAUSE;
        self.next_placement_at = Some(self.next_placement_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// Attempts to place all waiting requests, the most urgent first.
    pub(super) fn place_waiting(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.next_placement_at = None;
        if self.waiting.is_empty() {
            return;
        }
        for request in self.waiting.take_all() {
            self.place(now, request, fx);
        }
    }

    /// Returns whether a request that can't stay where it is would be sent to a backend server now.
    pub(super) fn has_place(&self, admitted: &Admitted, now: Instant) -> bool {
        let shortage = self.slot_shortage(admitted, now);
        let choice = self.choose(admitted, shortage.as_ref(), || 0.0, now);
        choice.is_some_and(|it| {
            let limit = self.first_event_limit_of(admitted, &it, now);
            let has_room = shortage.is_none_or(|shortage| shortage.allows(&it));
            has_room && is_in_time(&it, limit, slot_wait_limit(admitted))
        })
    }

    fn choose_at_random(
        &mut self,
        admitted: &Admitted,
        shortage: Option<&SlotShortage>,
        now: Instant,
    ) -> Option<Choice> {
        let mut rng = self.rng.clone();
        let random = || rng.random_range(0.0..1.0);
        let choice = self.choose(admitted, shortage, random, now);
        self.rng = rng;
        choice
    }

    fn choose(
        &self,
        admitted: &Admitted,
        shortage: Option<&SlotShortage>,
        mut random: impl FnMut() -> f64,
        now: Instant,
    ) -> Option<Choice> {
        let demand = self.demand(admitted, now);
        let slot_limit = slot_wait_limit(admitted);
        let serves = |backend: &Backend, choice: &Choice| {
            let limit = first_event_limit_on(backend, admitted, now);
            is_in_time(choice, limit, slot_limit) && shortage.is_none_or(|it| it.allows(choice))
        };
        let subset = self.subset_backends(&admitted.service);
        let subset = subset.filter(|it| self.fits_stream(admitted, it));
        let held_tokens = self.held_tokens(admitted, now);
        let mut subset: Vec<_> = subset.collect();
        let order = self.engine_order(admitted);
        if let Some(order) = &order {
            order.sort(&mut subset, |it| it.key);
        }
        let tie_break = EngineOrder::tie_breaks(order.as_ref(), &mut random);
        choose_backend(
            subset.into_iter(),
            &demand,
            &admitted.attempted,
            serves,
            &held_tokens,
            tie_break,
            now,
        )
        // If none of its own backend servers is left, the host uses those of the other
        // hosts.
        .or_else(|| {
            let all = self.backends.values();
            let of_service = all.filter(|it| it.record.service == admitted.service);
            let of_service = of_service.filter(|it| {
                let is_stable = self.role_of(&it.record) == VersionRole::Stable;
                let may_run = is_stable || admitted.stream_version.is_some();
                may_run && self.fits_stream(admitted, it)
            });
            choose_backend(
                of_service,
                &demand,
                &admitted.attempted,
                serves,
                &held_tokens,
                &mut random,
                now,
            )
        })
    }

    /// Returns what a request requires of a backend server.
    pub(super) fn demand(&self, admitted: &Admitted, now: Instant) -> Demand {
        Demand {
            prompt_tokens: admitted.prompt_tokens,
            latency_target: admitted.route.latency_target,
            longest_pause: admitted.route.longest_pause,
            hold_time: self.hold_time_of(&admitted.service),
            answer: self.answer_demand(admitted),
            time_left: admitted.deadline.saturating_duration_since(now),
            has_waited: now > admitted.arrived_at + ARRIVAL_TIME,
        }
    }

    fn answer_demand(&self, admitted: &Admitted) -> Option<AnswerDemand> {
        let expected_events = admitted.expected_events?;
        let service = &admitted.service;
        let max_events = self.events_of(service, admitted.answer_tokens);
        let max_events = max_events.unwrap_or(f64::INFINITY);
        let pauses = admitted.route.longest_pause.map(|longest_pause| {
            let key = (service.clone(), longest_pause);
            let pauses = self.pauses.get(&key);
            (longest_pause, pauses.copied().unwrap_or_default())
        });
        Some(AnswerDemand {
            expected_events,
            max_events,
            may_be_refused: expected_events < max_events && !admitted.may_be_late(),
            received_events: f64::from(admitted.received_events),
            lengths: self.answer_lengths.get(service, admitted.rank.route),
            pauses,
            speed: ServiceSpeed::of(self.subset_backends(service)),
        })
    }

    /// Returns the shortage of slots, if so few are free that more urgent requests need them
    /// all.
    fn slot_shortage(&self, admitted: &Admitted, now: Instant) -> Option<SlotShortage> {
        if admitted.stream_version.is_some() {
            return None;
        }
        let service = service_key(&admitted.service);
        if self.minimum_shares.is_behind(service, admitted.rank) {
            return None;
        }
        let of_cell = if is_long(admitted) {
            self.arrival_rates
                .rate_at_or_above(service, admitted.rank, now)
        } else {
            self.arrival_rates.rate_above(service, admitted.rank, now)
        };
        let needed = reserved_slots(of_cell * self.arrival_share(&admitted.service));
        if needed < MIN_RESERVED_SLOTS {
            return None;
        }
        let free = self.free_slots(&admitted.service, now);
        if f64::from(free) > needed {
            return None;
        }
        let shortest_target = self.shortest_latency_target(admitted);
        Some(SlotShortage {
            free,
            reserve: SlotReserve {
                needed,
                freed: self.freed_slots(&admitted.service, shortest_target, now),
                hold_ratio: self.hold_ratio(admitted, now),
            },
            short_interval: shortest_target.mul_f64(SHORT_INTERVAL_FRACTION),
        })
    }

    /// Returns the slots of a service that become free for more urgent requests in time.
    ///
    /// None count for engines, whose slots are held for longer than the latency target.
    fn freed_slots(&self, service: &ServiceId, shortest_target: Duration, now: Instant) -> f64 {
        let table = self.table.as_ref();
        let has_engine = table
            .and_then(|it| it.service(service))
            .is_none_or(|it| it.engine.is_some());
        if has_engine {
            return 0.0;
        }
        let wait = accepted_slot_wait(shortest_target);
        let freed_at = |backend: &Backend| {
            let hold_time = backend.hold_time().filter(|it| !it.is_zero())?;
            let busy = f64::from(backend.running().min(backend.record.slots));
            let per_second = busy / hold_time.as_secs_f64();
            let queued = backend.running().saturating_sub(backend.record.slots);
            Some(slots_freed_in_time(per_second, wait) - f64::from(queued))
        };
        let usable = self.usable_subset(service, now);
        usable.filter_map(freed_at).map(|it| it.max(0.0)).sum()
    }

    /// Returns how long a request is expected to hold its slot, relative to the requests for which
    /// slots are reserved against it; at most 1.
    fn hold_ratio(&self, admitted: &Admitted, now: Instant) -> f64 {
        let service = service_key(&admitted.service);
        let rank = admitted.rank;
        // Unknown hold times count as equal, so the whole reserve applies.
        let Some(of_rank) = self.hold_times.of_rank(service, rank.route) else {
            return 1.0;
        };
        // Sizes are estimates, so none below the mean of its rank gives precedence.
        let own = of_rank.mul_f64(admitted.size_in_rank.max(1.0));
        let is_long = is_long(admitted);
        let arrivals = self.arrival_rates.by_rank(service, now);
        let ahead = arrivals.filter(|(it, _)| *it < rank || (is_long && *it == rank));
        let ahead = ahead.map(|(rank, rate)| (rank.route, rate));
        self.hold_times.ratio(service, own, ahead)
    }

    /// Returns the shortest latency target of all routes to the service of a request.
    fn shortest_latency_target(&self, admitted: &Admitted) -> Duration {
        let own_target = admitted.route.latency_target;
        let table = self.table.as_ref();
        let shortest = table.and_then(|it| it.shortest_latency_target(&admitted.service));
        shortest.map_or(own_target, |shortest| shortest.min(own_target))
    }

    /// Returns the backend servers of a service that this host uses.
    pub(super) fn subset_backends(&self, service: &ServiceId) -> impl Iterator<Item = &Backend> {
        let subset = self.stable_subsets.own_subset(service).iter();
        subset.filter_map(|id| self.backends.get(id))
    }

    /// Returns those of them that are healthy and accept requests now.
    fn usable_subset(&self, service: &ServiceId, now: Instant) -> impl Iterator<Item = &Backend> {
        let subset = self.subset_backends(service);
        subset.filter(move |it| it.accepts_requests(now) && !it.is_unhealthy(now))
    }

    /// Returns the number of free slots on the backend servers of a service that this host uses.
    fn free_slots(&self, service: &ServiceId, now: Instant) -> u32 {
        let usable = self.usable_subset(service, now);
        usable
            .map(|it| it.record.slots.saturating_sub(it.running()))
            .sum()
    }

    fn hold_time_of(&self, service: &ServiceId) -> Duration {
        let known = self.service_hold_times.get(service);
        known.copied().unwrap_or(INITIAL_PLAIN_HOLD_TIME)
    }

    /// Returns the time that the first event may take on the chosen backend server.
    fn first_event_limit_of(&self, admitted: &Admitted, choice: &Choice, now: Instant) -> Duration {
        let backend = self.backends.get(&choice.backend);
        backend.map_or_else(Duration::default, |it| {
            first_event_limit_on(it, admitted, now)
        })
    }

    fn placement_inputs(
        &self,
        choice: &Choice,
        limit: Duration,
        slot_limit: Duration,
    ) -> DecisionInputs {
        let backend = self.backends.get(&choice.backend);
        DecisionInputs::Place {
            first_event: choice.first_event,
            limit,
            slot_wait: choice.slot_wait,
            slot_limit,
            running: backend.map_or(0, Backend::running),
            tokens_ahead: choice.tokens_ahead,
            time_fraction: choice.time_fraction,
            late_risk: choice.risk.map(|it| it.total()),
            is_unhealthy: choice.is_unhealthy,
            held_tokens: 0,
            version: backend.and_then(|it| self.canary_version(&it.record)),
        }
    }

    fn send(
        &mut self,
        now: Instant,
        request: Request<Waiting>,
        choice: Choice,
        mut inputs: DecisionInputs,
        fx: &mut Vec<Effect>,
    ) {
        let held = self.count_held(&request.admitted, &choice.backend, now);
        inputs.set_held_tokens(held.tokens);
        let Some(backend) = self.backends.get_mut(&choice.backend) else {
            return self.give_up(now, &request, Reason::NoBackend, inputs, fx);
        };
        let admitted = &request.admitted;
        let number = admitted.number;
        let tokens = admitted.prompt_tokens.saturating_sub(held.tokens);
        // A call is not overdue if only the assumption was wrong.
        let saved = backend.prefill_rate.seconds_for(held.tokens.into());
        let first_event = choice.first_event + Duration::from_secs_f64(saved);
        backend.record_sent(number, tokens, first_event, now);
        self.load_report_state.slot_changed(backend.key);
        let record = backend.record.clone();
        let backend_version = backend.version;
        self.count_exposure(&record);
        let service = service_key(&admitted.service);
        self.minimum_shares.record_sent(service, admitted.rank);
        fx.push(Effect::Send {
            number,
            backend: choice.backend.clone(),
            address: record.address.clone(),
            version: record.version.clone(),
            requester: admitted.requester(),
            repeat: admitted.route.repeat,
            first_event_timeout: first_event_timeout(admitted, &choice),
            stall_timeout: stall_timeout(admitted),
            deadline: admitted.deadline,
            inputs,
        });
        let sent = request.send(Sent {
            backend: choice.backend,
            run: BackendRun::of(&record),
            version: backend_version,
            at: now,
            tokens_ahead: choice.tokens_ahead,
            held,
            had_slot: choice.has_slot,
            first_event_at: None,
            written_for: Duration::ZERO,
        });
        self.sent.insert(number, sent);
    }

    /// Ends a request that can't be placed. The caller gets the failure response of a backend
    /// server if the request may have run, else a refusal.
    pub(super) fn give_up(
        &mut self,
        now: Instant,
        request: &Request<Waiting>,
        reason: Reason,
        inputs: DecisionInputs,
        fx: &mut Vec<Effect>,
    ) {
        let admitted = &request.admitted;
        let number = admitted.number;
        if admitted.may_have_run() {
            return fx.push(Effect::ForwardFailure(number));
        }
        self.refund_quota(admitted);
        let delay = capacity_retry_after(&admitted.route, &mut self.rng);
        let delay = delay + self.backoff_left(&admitted.service, now);
        let refusal = Refusal::not_run(reason).retry_after(delay);
        fx.push(refuse(number, Some(admitted.requester()), refusal, inputs));
    }

    pub(super) fn refund_quota(&mut self, admitted: &Admitted) {
        if let Some(account) = &admitted.account {
            self.quota.give_back(account, admitted.units);
            self.record_granted(account, -admitted.units);
        }
    }

    /// Ends a request whose caller left before its call began.
    pub(super) fn handle_caller_disconnect(
        &mut self,
        now: Instant,
        number: RequestNumber,
        fx: &mut Vec<Effect>,
    ) {
        let waiting = self.waiting.remove(number).map(|it| it.admitted);
        if let Some(admitted) = waiting.or_else(|| self.remove_resuming(number)) {
            self.refund_quota(&admitted);
        } else {
            // The request was assigned to a backend server at the moment at which its caller left.
            self.handle_attempt_end(now, number, AttemptOutcome::Abandoned, fx);
        }
    }
}

/// A shortage of slots while more urgent requests are expected.
#[derive(Debug, Clone, Copy)]
struct SlotShortage {
    free: u32,
    /// Slots reserved for these requests.
    reserve: SlotReserve,
    /// Time within which a backend server must free a slot so that no slot is reserved there.
    short_interval: Duration,
}

impl SlotShortage {
    /// Returns whether the chosen backend server has a slot that is not reserved, or frees slots so
    /// fast that none is reserved there.
    fn allows(&self, choice: &Choice) -> bool {
        self.is_relaxed(choice) || self.frees_fast(choice)
    }

    /// Returns whether the chosen backend server has a slot that is free only because the reserve
    /// is reduced for this request.
    fn is_relaxed(&self, choice: &Choice) -> bool {
        choice.has_slot && self.has_unreserved() && !self.frees_fast(choice)
    }

    fn frees_fast(&self, choice: &Choice) -> bool {
        choice.slot_interval <= self.short_interval && choice.slot_wait <= self.short_interval
    }

    /// Returns whether more slots are free than are reserved.
    fn has_unreserved(&self) -> bool {
        f64::from(self.free) > self.reserve.slots()
    }
}

pub(super) fn is_in_time(choice: &Choice, limit: Duration, slot_limit: Duration) -> bool {
    !choice.is_unhealthy
        && choice.first_event <= limit
        && choice.slot_wait <= slot_limit
        && choice.time_fraction.is_none_or(|it| it <= 1.0)
        && !choice.is_futile()
}

/// Returns the time that the first event may take on a backend server.
pub(super) fn first_event_limit_on(
    backend: &Backend,
    admitted: &Admitted,
    now: Instant,
) -> Duration {
    let tokens = f64::from(admitted.prompt_tokens);
    let own = Duration::from_secs_f64(backend.prefill_rate.seconds_for(tokens));
    first_event_limit(admitted, own, now)
}
