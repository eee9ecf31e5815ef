//! Accounts that press against their quota, and what they use the last of it for.

mod common;

use std::time::{Duration, Instant};

use common::{ENGINES, PLAIN, TestHost, Told, record, token_quota};
use jaypin_core::{AccountId, Reason};
use jaypin_router::{Account, AccountArrivals, AttemptOutcome, FleetQuota, service_key};

const RATE: f64 = 10_000.0;

fn farm() -> AccountId {
    AccountId::from("farm")
}

/// A host alone, with an account that may use 10,000 units a second.
fn limited() -> TestHost {
    let mut configuration = common::configuration(1);
    configuration.accounts[0].quota = Some(token_quota(RATE, RATE));
    let mut bed = TestHost::new(configuration);
    for id in ["engine-1", "engine-22"] {
        bed.set_entry(record(id, ENGINES, 1_000));
    }
    bed.set_entry(record("plain-1", PLAIN, 1_000));
    // Its quota has filled up.
    bed.wait(Duration::from_secs(3));
    bed.prove();
    bed
}

/// A request that is over as soon as it is sent.
fn ask(bed: &mut TestHost, path: &str, tokens: Option<(u32, u32)>) -> Told {
    let (number, told) = bed.arrive_as(|it| {
        path.clone_into(&mut it.path);
        it.tokens = tokens;
    });
    if matches!(told, Told::Sent(_)) {
        bed.answered(number);
        bed.ended(number, AttemptOutcome::Complete);
    }
    told
}

#[derive(Debug, Default)]
struct Asked {
    sent: u32,
    over: u32,
}

impl Asked {
    fn count(&mut self, told: &Told) {
        match told {
            Told::Sent(_) => self.sent += 1,
            Told::Refused(refusal) if refusal.reason == Reason::OverLimit => self.over += 1,
            other => panic!("neither sent nor over the quota: {other:?}"),
        }
    }

    fn part(&self) -> f64 {
        f64::from(self.sent) / f64::from(self.sent + self.over)
    }
}

/// A shop's drafts are refused for its quota, which its notes of the night have used up.
/// The account asks for one and a half times its rate for ten seconds, half of it for urgent
/// requests. Units went to whoever came first, and a long draft needs those of several notes.
#[test]
fn the_last_of_a_quota_goes_to_urgent_requests() {
    let mut bed = limited();
    let (mut urgent, mut label) = (Asked::default(), Asked::default());
    for turn in 0..200 {
        if turn % 10 == 0 {
            let told = ask(&mut bed, "/urgent/1", Some((3_500, 500)));
            urgent.count(&told);
        }
        let told = ask(&mut bed, "/label/1", Some((300, 50)));
        label.count(&told);
        bed.wait(Duration::from_millis(50));
        bed.prove();
    }
    assert!(urgent.part() >= 0.95, "{urgent:?}");
    assert!(label.part() >= 0.25, "{label:?}");
}

/// A booking takes 200 units of a plain service. It competes for no engine, so it is not put
/// behind prompts of thousands.
#[test]
fn a_plain_request_does_not_wait_for_prompts() {
    let mut bed = limited();
    let mut reads = Asked::default();
    for turn in 0..200 {
        if turn % 10 == 0 {
            ask(&mut bed, "/urgent/1", Some((5_500, 500)));
        }
        let told = ask(&mut bed, "/read/1", None);
        if turn >= 100 {
            reads.count(&told);
        }
        bed.wait(Duration::from_millis(50));
        bed.prove();
    }
    assert!(reads.part() >= 0.9, "{reads:?}");
}

/// An account that stays within its quota loses nothing by the order.
#[test]
fn an_account_within_its_quota_is_never_refused() {
    let mut bed = limited();
    for turn in 0..200 {
        if turn % 10 == 0 {
            let told = ask(&mut bed, "/urgent/1", Some((1_500, 500)));
            assert!(matches!(told, Told::Sent(_)), "{told:?}");
        }
        let told = ask(&mut bed, "/label/1", Some((200, 50)));
        assert!(matches!(told, Told::Sent(_)), "{told:?}");
        bed.wait(Duration::from_millis(50));
        bed.prove();
    }
}

/// Whatever is to be left, a request that nothing else competes with passes in the end.
#[test]
fn nothing_is_refused_for_ever() {
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
        quota.take_with_reserve(&farm(), 5_000.0, f64::MAX, later),
        Ok(())
    );
}

/// Units asked for by other services and by routes that are less urgent are not left.
#[test]
fn only_more_urgent_routes_of_the_service_count() {
    let now = Instant::now();
    let (engines, plain) = (service_key(ENGINES), service_key(PLAIN));
    let mut asked = AccountArrivals::default();
    for (route, units) in [
        ((engines, 0), 400.0),
        ((engines, 2), 800.0),
        ((plain, 0), 900.0),
    ] {
        asked.record(&farm(), route, units, now);
    }
    let left = |rank| asked.units_to_reserve(&farm(), (engines, rank), 2.0, now);
    assert!(left(0) < f64::EPSILON);
    assert!(left(1) > 0.0 && (left(1) - left(2)).abs() < f64::EPSILON);
    assert!(left(255) > left(2));
}

/// An outside monitor reads why a label was over the quota although units were left.
#[test]
fn a_refusal_names_the_units_that_are_kept() {
    let mut bed = limited();
    for _ in 0..5 {
        ask(&mut bed, "/urgent/1", Some((3_500, 500)));
    }
    let fx = bed.arrive_fx("/label/1", (300, 50));
    let grounds = common::refusal_grounds(&fx);
    insta::assert_snapshot!(
        grounds,
        @"350 units for `farm`, 5000 kept for more urgent requests, 1000 left, 16000 of 97000 used"
    );
}
