//! Order in which requests of an account get the last units of its quota.

mod common;

use std::time::{Duration, Instant};

use common::{Decision, ENGINES, PLAIN, TestHost, record, token_quota};
use jaypin_core::{AccountId, Reason};
use jaypin_router::{
    Account, AccountArrivals, AttemptOutcome, FleetLevel, FleetQuota, service_key,
};

const RATE: f64 = 10_000.0;

fn farm() -> AccountId {
    AccountId::from("farm")
}

/// Returns the only host of a fleet, with an account that may use 10,000 units per second.
fn host_with_quota() -> TestHost {
    let mut configuration = common::configuration(1);
    configuration.accounts[0].quota = Some(token_quota(RATE, RATE));
    let mut host = TestHost::new(configuration);
    for id in ["engine-1", "engine-22"] {
        host.set_entry(record(id, ENGINES, 1_000));
    }
    host.set_entry(record("plain-1", PLAIN, 1_000));
    // After this wait, the quota is full.
    host.wait(Duration::from_secs(3));
    host.prove();
    host
}

/// Sends a request that ends as soon as it is sent.
fn complete_request(host: &mut TestHost, path: &str, tokens: Option<(u32, u32)>) -> Decision {
    let (number, decision) = host.arrive_with(|it| {
        path.clone_into(&mut it.path);
        it.tokens = tokens;
    });
    if matches!(decision, Decision::Sent(_)) {
        host.answered(number);
        host.ended(number, AttemptOutcome::Complete);
    }
    decision
}

#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    over_quota: u32,
}

impl Tally {
    fn record_decision(&mut self, decision: &Decision) {
        match decision {
            Decision::Sent(_) => self.sent += 1,
            Decision::Refused(refusal) if refusal.reason == Reason::OverLimit => {
                self.over_quota += 1;
            }
            other => panic!("expected a sent request or one over the quota, found {other:?}"),
        }
    }

    fn served_share(&self) -> f64 {
        f64::from(self.sent) / f64::from(self.sent + self.over_quota)
    }
}

/// Guards against urgent requests that are refused because deferrable ones have used up the
/// quota. The account sends one and a half times its rate for ten seconds, half of it in urgent
/// requests; units went to whichever request came first, and a long urgent request needs those of
/// several short deferrable ones.
#[test]
fn the_last_of_a_quota_goes_to_urgent_requests() {
    let mut host = host_with_quota();
    let (mut urgent, mut label) = (Tally::default(), Tally::default());
    for turn in 0..200 {
        if turn % 10 == 0 {
            let decision = complete_request(&mut host, "/urgent/1", Some((3_500, 500)));
            urgent.record_decision(&decision);
        }
        let decision = complete_request(&mut host, "/label/1", Some((300, 50)));
        label.record_decision(&decision);
        host.wait(Duration::from_millis(50));
        host.prove();
    }
    assert!(urgent.served_share() >= 0.95, "{urgent:?}");
    assert!(label.served_share() >= 0.25, "{label:?}");
}

/// Guards against a request to a plain service, of 200 units, that is refused in favour of
/// prompts of thousands of units: it does not compete with them for an engine.
#[test]
fn a_plain_request_does_not_wait_for_prompts() {
    let mut host = host_with_quota();
    let mut reads = Tally::default();
    for turn in 0..200 {
        if turn % 10 == 0 {
            complete_request(&mut host, "/urgent/1", Some((5_500, 500)));
        }
        let decision = complete_request(&mut host, "/read/1", None);
        if turn >= 100 {
            reads.record_decision(&decision);
        }
        host.wait(Duration::from_millis(50));
        host.prove();
    }
    assert!(reads.served_share() >= 0.9, "{reads:?}");
}

/// Guards against a reserve for urgent requests that refuses requests of an account within its
/// quota.
#[test]
fn an_account_within_its_quota_is_never_refused() {
    let mut host = host_with_quota();
    for turn in 0..200 {
        if turn % 10 == 0 {
            let decision = complete_request(&mut host, "/urgent/1", Some((1_500, 500)));
            assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
        }
        let decision = complete_request(&mut host, "/label/1", Some((200, 50)));
        assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
        host.wait(Duration::from_millis(50));
        host.prove();
    }
}

/// Guards against a reserve so large that a request is refused for ever although none competes
/// with it.
#[test]
fn a_request_without_competition_is_not_refused_for_ever() {
    let now = Instant::now();
    let mut quota = FleetQuota::new(Duration::from_secs(8), 0.0);
    let account = Account {
        name: farm(),
        credentials: Vec::new(),
        priority: None,
        quota: Some(token_quota(100.0, 100.0)),
    };
    quota.configure(&[account], now);
    let later = now + Duration::from_secs(20);
    assert_eq!(
        quota.take_with_reserve(&farm(), 5_000.0, f64::MAX, FleetLevel::Unknown, later),
        Ok(())
    );
}

/// Guards against a reserve for requests that do not compete: those to other services and to less
/// urgent routes.
#[test]
fn only_more_urgent_routes_of_the_service_count() {
    let now = Instant::now();
    let (engines, plain) = (service_key(ENGINES), service_key(PLAIN));
    let mut arrivals = AccountArrivals::default();
    for (route, units) in [
        ((engines, 0), 400.0),
        ((engines, 2), 800.0),
        ((plain, 0), 900.0),
    ] {
        arrivals.record(&farm(), route, units, now);
    }
    let reserved = |rank| arrivals.urgent_share(&farm(), (engines, rank), now);
    assert!(reserved(0) < f64::EPSILON);
    assert!(reserved(1) > 0.0 && (reserved(1) - reserved(2)).abs() < f64::EPSILON);
    assert!(reserved(255) > reserved(2));
}

/// Guards against a metric that counts requests which are over the quota with or without a reserve,
/// so that operators can't see what the reserve costs.
#[test]
fn only_refusals_for_the_reserve_are_counted_as_such() {
    let mut host = host_with_quota();
    for _ in 0..5 {
        complete_request(&mut host, "/urgent/1", Some((3_500, 500)));
    }
    assert_eq!(host.router.counts(host.now).quota_reserve_refusals, 0);
    complete_request(&mut host, "/label/1", Some((300, 50)));
    assert_eq!(host.router.counts(host.now).quota_reserve_refusals, 1);
    complete_request(&mut host, "/label/1", Some((3_000, 500)));
    assert_eq!(host.router.counts(host.now).quota_reserve_refusals, 1);
}

/// Guards against a refusal that hides its cause: the log must show why a deferrable request was
/// over the quota although units were left.
#[test]
fn a_refusal_names_the_reserved_units() {
    let mut host = host_with_quota();
    for _ in 0..5 {
        complete_request(&mut host, "/urgent/1", Some((3_500, 500)));
    }
    let fx = host.arrive_effects("/label/1", (300, 50));
    let inputs = common::refusal_inputs(&fx);
    insta::assert_snapshot!(
        inputs,
        @"350 units for `farm`, 3276 kept for more urgent requests (66% of its units urgent, 80% of its rate used), 1000 left, 16000 of 97000 used"
    );
}
