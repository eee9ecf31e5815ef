//! Arrival of a request: it is rejected, refused, sent, or waits for a backend server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{AccountId, Reason, Refusal, ServiceId};
use rand::RngExt;

use super::{Effect, Router};
use crate::account_arrivals::RouteRank;
use crate::limits::queue_time_limit;
use crate::request::{Admitted, Request, Waiting};
use crate::retry_after::{LEAVING_RETRY_AFTER, NOT_READY_RETRY_AFTER};
use crate::{
    Account, Arrival, DecisionInputs, DrainTimes, FleetLevel, QuotaReserve, QuotaUnit, Rank,
    RequestNumber, Requester, Route, RouteTable, StreamKey, account_key, service_key,
};

/// Time that a request to an inference engine is assumed to hold its slot before any request has
/// completed.
const INITIAL_ENGINE_HOLD_TIME: Duration = Duration::from_millis(1_200);
/// The same for services without an engine.
pub(super) const INITIAL_PLAIN_HOLD_TIME: Duration = Duration::from_millis(20);

/// Refusal of a request by an account's quota.
#[derive(Debug)]
struct OverQuota {
    /// Time after which the quota would allow the request.
    wait: Duration,
    /// Units reserved for more urgent requests of the account.
    reserved: QuotaReserve,
    /// What the account has left in the whole fleet.
    fleet: FleetLevel,
}

impl Router {
    pub(super) fn handle_arrival(&mut self, now: Instant, arrival: &Arrival, fx: &mut Vec<Effect>) {
        let number = arrival.number;
        let Some(table) = self.table.clone() else {
            let refusal = Refusal::not_run(Reason::NotReady).retry_after(NOT_READY_RETRY_AFTER);
            let inputs = DecisionInputs::Configuration {
                version: 0,
                proof_age: None,
            };
            return fx.push(refuse(number, None, refusal, inputs));
        };
        let inputs = DecisionInputs::Configuration {
            version: table.configuration().version,
            proof_age: self.proof_age(arrival.boot_time),
        };
        let is_proved = self.is_proved(arrival.boot_time);
        let credential = arrival.credential.as_deref();
        let admitted = table.admit(&arrival.host, &arrival.path, credential);
        let is_public = |admitted: &(&Arc<Route>, Option<&Account>)| {
            admitted.0.is_public || table.configuration().accounts.is_empty()
        };
        // Without a proved configuration the host knows neither which credentials were revoked
        // nor which routes were added, so it neither admits nor rejects the request.
        if !is_proved && !admitted.as_ref().is_ok_and(is_public) {
            let refusal = Refusal::not_run(Reason::Unproven).retry_after(NOT_READY_RETRY_AFTER);
            return fx.push(refuse(number, None, refusal, inputs));
        }
        match admitted {
            Ok((route, account)) => {
                let request = self.admitted_request(arrival, route, account);
                self.check_and_place(now, request, &table, fx);
            }
            Err(reason) => fx.push(Effect::Reject {
                number,
                reason,
                inputs,
            }),
        }
    }

    fn admitted_request(
        &mut self,
        arrival: &Arrival,
        route: &Arc<Route>,
        account: Option<&Account>,
    ) -> Request<Waiting> {
        let timeout = arrival.timeout.unwrap_or(route.timeout);
        let (prompt_tokens, answer_tokens) = arrival.tokens.unwrap_or_default();
        let rank = Rank::of(account, route);
        let service = self.choose_service(route);
        let expected = arrival.expected_answer.unwrap_or(answer_tokens);
        let size = self.sizes.relative(&service, rank, prompt_tokens, expected);
        let deadline = arrival.received_at + timeout.min(route.timeout);
        let named = arrival.resumes.map(|it| it.attempt);
        let admitted = Admitted {
            number: arrival.number,
            prompt: self.prompt_chain(arrival, route, account),
            size,
            size_in_rank: self
                .sizes
                .relative_to_rank(&service, rank, prompt_tokens, expected),
            expected_events: self.events_of(&service, expected),
            received_events: 0,
            service,
            account: account.map(|account| account.name.clone()),
            rank,
            prompt_tokens,
            answer_tokens,
            units: units(account, arrival.tokens),
            fingerprint: arrival.fingerprint,
            shared_parts: arrival.shared_parts.clone(),
            arrived_at: arrival.received_at,
            deadline: self
                .end_of_requests()
                .map_or(deadline, |end| deadline.min(end)),
            attempted: Vec::new(),
            possible_runs: 0,
            unproven_rejections: 0,
            silent_calls: 0,
            silent_backend: None,
            stream: StreamKey {
                account: account_key(account.map(|it| &*it.name)),
                attempt: named.flatten().unwrap_or(arrival.attempt),
            },
            is_resumed: arrival.resumes.is_some(),
            is_started: false,
            stream_version: None,
            is_passed_on: arrival.is_passed_on,
            tried_peers: Vec::new(),
            route: route.clone(),
        };
        let until = arrival.received_at + queue_time_limit(route);
        Request {
            admitted,
            state: Waiting { until },
        }
    }

    /// Returns when a draining host ends the requests that still run.
    fn end_of_requests(&self) -> Option<Instant> {
        let drain = DrainTimes::new(self.cfg.bounds.shutdown_grace);
        self.draining_since.map(|since| since + drain.end_requests)
    }

    /// Returns the number of events that carry so many tokens, for the stream of an engine's
    /// service.
    pub(super) fn events_of(&self, service: &ServiceId, tokens: u32) -> Option<f64> {
        let engine = self.table.as_ref()?.service(service)?.engine.as_ref()?;
        let events = f64::from(tokens) / f64::from(engine.tokens_per_event.max(1));
        (tokens > 0).then_some(events)
    }

    /// Applies the checks that are common to all routes, and places the request.
    fn check_and_place(
        &mut self,
        now: Instant,
        request: Request<Waiting>,
        table: &RouteTable,
        fx: &mut Vec<Effect>,
    ) {
        let admitted = &request.admitted;
        let number = admitted.number;
        let requester = Some(admitted.requester());
        let draining_for = self
            .draining_since
            .map(|since| now.saturating_duration_since(since));
        let drain = DrainTimes::new(self.cfg.bounds.shutdown_grace);
        if draining_for.is_some_and(|time| time >= drain.refuse) {
            let refusal = Refusal::not_run(Reason::Draining).retry_after(LEAVING_RETRY_AFTER);
            return fx.push(refuse(number, requester, refusal, DecisionInputs::Leaving));
        }
        if self.is_quarantined(admitted, now) {
            return self.refuse_quarantined(now, &request, fx);
        }
        if let Some(peer) = self.peer_for(&request.admitted, now) {
            return self.pass_on(request, peer, fx);
        }
        let admitted = &request.admitted;
        let key = service_key(&admitted.service);
        self.minimum_shares.record_arrival(key, admitted.rank);
        if let Some(account) = &admitted.account
            && let Err(over) = self.charge_quota(account, admitted, now)
        {
            let refusal = Refusal::not_run(Reason::OverLimit).retry_after(over.wait);
            let level = self.quota.level(account);
            let inputs = DecisionInputs::Quota {
                account: account.clone(),
                units: admitted.units,
                reserved: over.reserved,
                level,
                fleet: over.fleet,
            };
            return fx.push(refuse(number, requester, refusal, inputs));
        }
        self.arrival_rates.record(key, admitted.rank, now);
        let service = admitted.service.clone();
        let initial_hold_time = if table
            .service(&service)
            .is_some_and(|it| it.engine.is_some())
        {
            INITIAL_ENGINE_HOLD_TIME
        } else {
            INITIAL_PLAIN_HOLD_TIME
        };
        self.service_hold_times
            .entry(service.clone())
            .or_insert(initial_hold_time);
        self.budget(&service, now).record_request(now);
        if request.admitted.is_resumed && request.admitted.route.repeat.is_stream() {
            return self.resume(now, request, fx);
        }
        self.place(now, request, fx);
    }

    /// Charges an account's quota, except for units that are reserved for its more urgent
    /// routes.
    fn charge_quota(
        &mut self,
        account: &AccountId,
        admitted: &Admitted,
        now: Instant,
    ) -> Result<(), OverQuota> {
        let route = (service_key(&admitted.service), admitted.rank.route);
        let units = admitted.units;
        if units > 0.0 {
            self.account_arrivals.record(account, route, units, now);
        }
        let is_below_minimum = self.minimum_shares.is_behind(route.0, admitted.rank);
        let reserved = if is_below_minimum || units <= 0.0 {
            QuotaReserve::default()
        } else {
            self.quota_reserve(account, route, now)
        };
        let fleet = self.fleet_level(account, now);
        let charged = self
            .quota
            .take_with_reserve(account, units, reserved.units, fleet, now);
        if let Err(wait) = charged {
            let is_for_reserve = self.quota.allows(account, units, fleet);
            self.quota_reserve_refusals += u64::from(is_for_reserve);
            return Err(OverQuota {
                wait,
                reserved,
                fleet,
            });
        }
        self.record_granted(account, units);
        Ok(())
    }

    /// Returns the units that are withheld from an account's requests on a route.
    fn quota_reserve(&self, account: &AccountId, route: RouteRank, now: Instant) -> QuotaReserve {
        let Some(quota) = self.quota.quota_of(account) else {
            return QuotaReserve::default();
        };
        let urgent_share = self.account_arrivals.urgent_share(account, route, now);
        QuotaReserve::new(urgent_share, self.quota.rate_use(account, now), quota.rate)
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
}

pub(super) fn refuse(
    number: RequestNumber,
    requester: Option<Requester>,
    refusal: Refusal,
    inputs: DecisionInputs,
) -> Effect {
    Effect::Refuse {
        number,
        requester,
        refusal,
        inputs,
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
