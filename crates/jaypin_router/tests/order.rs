//! Order in which urgent and deferrable requests get the same slots.

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::{Decision, ENGINES, PLAIN, TestHost, record};
use jaypin_router::{
    ArrivalCount, ArrivalRates, AttemptOutcome, BackendLoad, Effect, MinimumShares, Rank, Report,
    backend_key, reserved_slots, service_key,
};

const URGENT: Rank = Rank {
    account: 0,
    route: 0,
};
const DEFERRABLE: Rank = Rank {
    account: 0,
    route: 2,
};

/// Returns the report of a peer that has `running` requests on one engine and has received
/// `urgent` urgent requests so far.
fn peer_report(host: &mut TestHost, running: u32, urgent: u32) -> Report {
    let mut report = common::report(host.next_revision(), common::whole_report(2));
    report.loads = vec![BackendLoad {
        key: backend_key("engine-1"),
        running,
        unread_tokens: 0,
    }];
    if let Some(whole) = &mut report.whole {
        whole.arrivals = vec![ArrivalCount {
            service: service_key(ENGINES),
            rank: URGENT,
            requests: urgent,
        }];
    }
    report
}

/// Returns a host with one engine of 40 slots, of which `free` are free, in a fleet at which 60
/// urgent requests have just arrived.
fn under_urgent_load(free: u32) -> TestHost {
    let mut host = TestHost::new(common::configuration(1));
    host.set_entry(record("engine-1", ENGINES, 40));
    for urgent in [0, 60] {
        let report = peer_report(&mut host, 40 - free, urgent);
        host.receive_report(report);
    }
    host
}

macro_rules! slots_under_urgent_load {
    ($($name:ident: $path:literal with $free:literal free, sent $sent:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut host = under_urgent_load($free);
            let (_, decision) = host.arrive($path, (600, 20));
            assert_eq!(matches!(decision, Decision::Sent(_)), $sent, "{decision:?}");
        }
    )*};
}

// Guards against an urgent request that is refused while deferrable ones get slots: in a burst
// that fills the fleet, a free slot goes to whichever request comes first, and none is reserved
// for the urgent request that arrives a few milliseconds later.
slots_under_urgent_load! {
    the_last_slots_are_reserved_for_urgent_requests: "/label/1" with 2 free, sent false;
    an_urgent_request_takes_the_last_slot: "/urgent/1" with 1 free, sent true;
    a_deferrable_request_takes_a_slot_that_is_not_reserved: "/label/1" with 8 free, sent true;
}

/// Guards against last slots that go to long answers. Answers of one rank differ a hundredfold in
/// length, and a tenth of them takes half of all slot time; in a burst, the last slots must go to
/// the many short ones.
#[test]
fn the_last_slots_go_to_short_answers_of_a_rank() {
    let mut host = under_urgent_load(3);
    let send_request = |host: &mut TestHost, expected| {
        let (_, decision) = host.arrive_with(|it| {
            "/urgent/1".clone_into(&mut it.path);
            it.tokens = Some((600, 3_000));
            it.expected_answer = Some(expected);
        });
        decision
    };
    assert!(matches!(send_request(&mut host, 100), Decision::Sent(_)));
    assert_eq!(send_request(&mut host, 3_000), Decision::Queued);
    assert!(matches!(send_request(&mut host, 100), Decision::Sent(_)));
}

/// Guards against a long answer that is held back although no other requests arrive.
#[test]
fn a_long_answer_takes_the_last_slot_of_a_quiet_fleet() {
    let mut host = TestHost::new(common::configuration(1));
    host.set_entry(record("engine-1", ENGINES, 1));
    let (_, decision) = host.arrive_with(|it| {
        it.tokens = Some((600, 3_000));
        it.expected_answer = Some(3_000);
    });
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
}

/// Guards against a placement that considers only the best engine by estimate: its queue was too
/// long, and the request was refused although a slower engine was free.
#[test]
fn a_free_slower_engine_is_preferred_to_a_full_faster_one() {
    let mut host = TestHost::new(common::configuration(1));
    for id in ["engine-1", "engine-22"] {
        host.set_entry(record(id, ENGINES, 1));
    }
    // One engine processes the prompt in 60 ms and the other in 400 ms; each answer takes 100 ms
    // more.
    for _ in 0..8 {
        let pair = [
            host.arrive("/urgent/1", (6_000, 30)),
            host.arrive("/urgent/1", (6_000, 30)),
        ];
        let start = host.now;
        let mut ends = pair.map(|(number, decision)| {
            let is_fast = decision.backend() == "engine-1";
            (if is_fast { 60 } else { 400 }, number)
        });
        ends.sort_unstable();
        for (millis, number) in ends {
            host.now = start + Duration::from_millis(millis + 14);
            host.answered(number);
            host.now += Duration::from_millis(100);
            host.ended(number, AttemptOutcome::Complete);
        }
        host.boot_time += Duration::from_millis(514);
        host.prove();
    }
    let mut report = common::report(host.next_revision(), common::whole_report(2));
    report.loads = vec![BackendLoad {
        key: backend_key("engine-1"),
        running: 1,
        unread_tokens: 0,
    }];
    host.receive_report(report);
    let (_, decision) = host.arrive("/urgent/1", (6_000, 30));
    assert_eq!(decision.backend(), "engine-22");
}

/// Guards against slots that are reserved in an idle fleet without urgent arrivals, so that the
/// only free slot stays unused.
#[test]
fn no_slots_are_reserved_without_urgent_arrivals() {
    let mut host = TestHost::new(common::configuration(1));
    host.set_entry(record("engine-1", ENGINES, 40));
    for _ in 0..2 {
        let report = peer_report(&mut host, 39, 0);
        host.receive_report(report);
    }
    let (_, decision) = host.arrive("/label/1", (600, 20));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
}

/// Guards against slots that stay reserved after a burst of urgent requests: they must be used
/// again within seconds.
#[test]
fn reserved_slots_are_free_again_after_the_burst() {
    let mut host = under_urgent_load(2);
    host.wait(Duration::from_secs(8));
    host.prove();
    let report = peer_report(&mut host, 38, 60);
    host.receive_report(report);
    let (_, decision) = host.arrive("/label/1", (600, 20));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
}

/// Guards against reserved slots in plain services. These free a slot every few milliseconds, so
/// a short queue delays nobody, and a reserve would refuse requests for nothing.
#[test]
fn plain_services_reserve_no_slots() {
    let mut configuration = common::configuration(1);
    let urgent = common::route("vip", jaypin_router::Repeat::Idempotent, PLAIN);
    let urgent = common::RouteExt::with_priority(urgent, 0);
    configuration.routes.push(urgent);
    let mut host = TestHost::new(configuration);
    host.set_entry(record("plain-1", PLAIN, 6));
    for _ in 0..60 {
        let (number, _) = host.arrive("/vip/1", (0, 0));
        host.wait(Duration::from_millis(15));
        host.ended(number, AttemptOutcome::Complete);
        host.prove();
    }
    for _ in 0..8 {
        let (_, decision) = host.arrive("/read/1", (0, 0));
        assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
    }
}

/// Guards against a queue of deferrable requests that gets urgent ones refused. An engine with
/// 120 slots frees one every 10 ms, so a short queue there delays nobody; deferrable requests
/// have the longer latency target and must not fill the queue beyond the shorter one of urgent
/// requests.
#[test]
fn a_queue_leaves_room_for_urgent_requests() {
    let mut configuration = common::configuration(1);
    for route in &mut configuration.routes {
        route.latency_target = Duration::from_millis(if route.priority == 0 { 500 } else { 2_000 });
    }
    let mut host = TestHost::new(configuration);
    host.set_entry(record("engine-1", ENGINES, 120));
    for urgent in [0, 60] {
        let report = peer_report(&mut host, 120, urgent);
        host.receive_report(report);
    }
    let labels = (0..20).map(|_| host.arrive("/label/1", (60, 20)).1);
    let sent = labels
        .filter(|decision| matches!(decision, Decision::Sent(_)))
        .count();
    assert!((1..=3).contains(&sent), "{sent}");
    let (_, decision) = host.arrive("/urgent/1", (60, 20));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
}

/// Guards against routes that are compared before accounts: operators want all requests of a
/// first account before those of a second one, and the routes ordered within each account.
#[test]
fn the_account_ranks_first_and_the_route_within_it() {
    let mut configuration = common::configuration(1);
    configuration.accounts[0].priority = Some(1);
    let route = |path: &str| {
        let routes = configuration.routes.iter();
        let mut routes = routes.filter(|it| path.starts_with(&it.prefix));
        Rank::of(
            configuration.accounts.first(),
            routes.next().expect("a route"),
        )
    };
    let first_account = DEFERRABLE;
    assert!(first_account < route("/urgent/1"));
    assert!(route("/urgent/1") < route("/ask/1"));
    assert!(route("/ask/1") < route("/label/1"));
}

/// Guards against arrival rates that lag: a burst begins within a second, must show in the rate
/// as soon, and must fade from it afterwards.
#[test]
fn arrival_rates_follow_a_burst() {
    let mut rates = ArrivalRates::default();
    let service = service_key(ENGINES);
    let mut now = Instant::now();
    for _ in 0..100 {
        rates.record(service, URGENT, now);
        now += Duration::from_millis(20);
    }
    let during = rates.rate_above(service, DEFERRABLE, now);
    assert!((35.0..=52.0).contains(&during), "{during}");
    assert!(rates.rate_above(service, URGENT, now) < 1e-9);
    let after = rates.rate_above(service, DEFERRABLE, now + Duration::from_secs(6));
    assert!(after < 1.0, "{after}");
}

/// Guards against a reserve of many slots at a high arrival rate: it covers only the arrivals of a
/// moment and their variation.
#[test]
fn few_slots_are_reserved() {
    assert!(reserved_slots(0.0) < f64::EPSILON);
    assert!(reserved_slots(40.0) < 5.0);
    assert!(reserved_slots(40.0) >= 2.0);
    assert!(reserved_slots(0.5) < 1.0);
}

/// Guards against a refusal that hides its cause: an operator reads why a deferrable request was
/// refused although slots were free.
#[test]
fn a_refusal_names_the_reserved_slots() {
    let mut host = under_urgent_load(2);
    host.arrive("/label/1", (600, 20));
    host.wait(Duration::from_millis(60));
    let inputs = common::refusal_inputs(&host.tick());
    insta::assert_snapshot!(
        inputs,
        @"2 slots free, 3.3 kept for more urgent requests"
    );
}

/// Guards against deferrable requests that are all refused while urgent ones fill the fleet for
/// half a minute, although a slot is free now and then.
#[test]
fn each_rank_gets_its_minimum_share_under_any_load() {
    const HOLD_TIME: Duration = Duration::from_millis(1_200);
    let mut host = under_urgent_load(2);
    let (mut sent, mut running) = (0, VecDeque::new());
    for turn in 1..=200 {
        host.wait(Duration::from_millis(190));
        host.prove();
        let report = peer_report(&mut host, 38, 60 + turn * 15);
        host.receive_report(report);
        let mut fx = host.arrive_effects("/label/1", (600, 20));
        host.wait(Duration::from_millis(60));
        fx.extend(host.tick());
        for effect in fx {
            if let Effect::Send { number, .. } = effect {
                sent += 1;
                host.answered(number);
                running.push_back((host.now, number));
            }
        }
        // Each request holds its slot for about a second.
        while running
            .front()
            .is_some_and(|it| host.now >= it.0 + HOLD_TIME)
        {
            let ended = running.pop_front().expect("a running request");
            host.ended(ended.1, AttemptOutcome::Complete);
        }
    }
    assert!((14..=20).contains(&sent), "{sent} of 200");
}

/// Guards against a minimum share with too long a memory: a rank that was served for hours would
/// be refused for it when load rises, and one that was refused for hours would take precedence
/// for as long.
#[test]
fn minimum_shares_forget_requests_of_long_ago() {
    let service = service_key(ENGINES);
    let mut shares = MinimumShares::default();
    for _ in 0..1_000 {
        shares.record_arrival(service, DEFERRABLE);
        shares.record_sent(service, DEFERRABLE);
    }
    let until_behind = (0..100).find(|_| {
        shares.record_arrival(service, DEFERRABLE);
        shares.is_behind(service, DEFERRABLE)
    });
    assert!(
        until_behind.is_some_and(|count| count < 20),
        "{until_behind:?}"
    );
    for _ in 0..1_000 {
        shares.record_arrival(service, DEFERRABLE);
    }
    let preferred = (0..100).take_while(|_| {
        let is_behind = shares.is_behind(service, DEFERRABLE);
        shares.record_sent(service, DEFERRABLE);
        is_behind
    });
    assert!(preferred.count() <= 3);
}
