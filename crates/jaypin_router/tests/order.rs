//! Days on which urgent work and work that can wait ask for the same slots.

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::{ENGINES, PLAIN, TestHost, Told, record};
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

/// A peer that has `running` requests on one engine and was asked so many urgent ones.
fn pressed(bed: &mut TestHost, running: u32, urgent: u32) -> Report {
    let mut report = common::report(bed.revision(), common::whole_report(2));
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

/// One engine with 40 slots, of which `free` are free, and a fleet that is asked for 60
/// urgent requests within a moment.
fn under_urgent_load(free: u32) -> TestHost {
    let mut bed = TestHost::new(common::configuration(1));
    bed.set_entry(record("engine-1", ENGINES, 40));
    for urgent in [0, 60] {
        let report = pressed(&mut bed, 40 - free, urgent);
        bed.receive_report(report);
    }
    bed
}

macro_rules! slots_of_a_pressed_fleet {
    ($($name:ident: $path:literal with $free:literal free, sent $sent:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut bed = under_urgent_load($free);
            let (_, told) = bed.arrive($path, (600, 20));
            assert_eq!(matches!(told, Told::Sent(_)), $sent, "{told:?}");
        }
    )*};
}

// A shop's draft is refused although notes that could wait until the night get slots.
// A burst fills the fleet, and whoever comes first takes the slot that comes free.
// Nobody kept one for the urgent request that came a few milliseconds later.
slots_of_a_pressed_fleet! {
    the_last_slots_are_kept_for_the_urgent: "/label/1" with 2 free, sent false;
    the_urgent_take_the_last_slot: "/urgent/1" with 1 free, sent true;
    work_that_can_wait_takes_what_is_left: "/label/1" with 8 free, sent true;
}

/// Answers of one rank differ a hundredfold in length, and a tenth of them takes half of all
/// slot time. In a burst, the last slots go to the many that are soon over.
#[test]
fn the_last_slots_go_to_short_answers_of_a_rank() {
    let mut bed = under_urgent_load(3);
    let ask = |bed: &mut TestHost, expected| {
        let (_, told) = bed.arrive_as(|it| {
            "/urgent/1".clone_into(&mut it.path);
            it.tokens = Some((600, 3_000));
            it.expected_answer = Some(expected);
        });
        told
    };
    assert!(matches!(ask(&mut bed, 100), Told::Sent(_)));
    assert_eq!(ask(&mut bed, 3_000), Told::Waits);
    assert!(matches!(ask(&mut bed, 100), Told::Sent(_)));
}

/// Nobody else asks, so a long answer takes the last slot.
#[test]
fn a_long_answer_takes_the_last_slot_of_a_quiet_fleet() {
    let mut bed = TestHost::new(common::configuration(1));
    bed.set_entry(record("engine-1", ENGINES, 1));
    let (_, told) = bed.arrive_as(|it| {
        it.tokens = Some((600, 3_000));
        it.expected_answer = Some(3_000);
    });
    assert!(matches!(told, Told::Sent(_)), "{told:?}");
}

/// The best engine by estimate has a queue that is too long, and a slower one is free. A
/// request was refused because only the best was looked at.
#[test]
fn a_place_that_serves_goes_before_one_that_does_not() {
    let mut bed = TestHost::new(common::configuration(1));
    for id in ["engine-1", "engine-22"] {
        bed.set_entry(record(id, ENGINES, 1));
    }
    // One engine reads a prompt in 60 ms and the other in 400, and each answer takes 100 more.
    for _ in 0..8 {
        let pair = [
            bed.arrive("/urgent/1", (6_000, 30)),
            bed.arrive("/urgent/1", (6_000, 30)),
        ];
        let start = bed.now;
        let mut ends = pair.map(|(number, told)| {
            let is_fast = told.backend() == "engine-1";
            (if is_fast { 60 } else { 400 }, number)
        });
        ends.sort_unstable();
        for (millis, number) in ends {
            bed.now = start + Duration::from_millis(millis + 14);
            bed.answered(number);
            bed.now += Duration::from_millis(100);
            bed.ended(number, AttemptOutcome::Complete);
        }
        bed.boot += Duration::from_millis(514);
        bed.prove();
    }
    let mut report = common::report(bed.revision(), common::whole_report(2));
    report.loads = vec![BackendLoad {
        key: backend_key("engine-1"),
        running: 1,
        unread_tokens: 0,
    }];
    bed.receive_report(report);
    let (_, told) = bed.arrive("/urgent/1", (6_000, 30));
    assert_eq!(told.backend(), "engine-22");
}

/// A quiet fleet has one slot free. Nothing urgent is asked for, so nothing is kept.
#[test]
fn nothing_is_kept_where_nothing_urgent_is_asked() {
    let mut bed = TestHost::new(common::configuration(1));
    bed.set_entry(record("engine-1", ENGINES, 40));
    for _ in 0..2 {
        let report = pressed(&mut bed, 39, 0);
        bed.receive_report(report);
    }
    let (_, told) = bed.arrive("/label/1", (600, 20));
    assert!(matches!(told, Told::Sent(_)), "{told:?}");
}

/// A burst of urgent work is over. What it kept free is used again within seconds.
#[test]
fn what_was_kept_is_free_again_when_the_burst_is_over() {
    let mut bed = under_urgent_load(2);
    bed.wait(Duration::from_secs(8));
    bed.prove();
    let report = pressed(&mut bed, 38, 60);
    bed.receive_report(report);
    let (_, told) = bed.arrive("/label/1", (600, 20));
    assert!(matches!(told, Told::Sent(_)), "{told:?}");
}

/// Plain services free a slot every few milliseconds. To keep some would refuse work for
/// nothing, and a short queue there delays nobody.
#[test]
fn plain_services_keep_no_slots() {
    let mut configuration = common::configuration(1);
    let urgent = common::route("vip", jaypin_router::Repeat::Idempotent, PLAIN);
    let urgent = common::RouteExt::with_priority(urgent, 0);
    configuration.routes.push(urgent);
    let mut bed = TestHost::new(configuration);
    bed.set_entry(record("plain-1", PLAIN, 6));
    for _ in 0..60 {
        let (number, _) = bed.arrive("/vip/1", (0, 0));
        bed.wait(Duration::from_millis(15));
        bed.ended(number, AttemptOutcome::Complete);
        bed.prove();
    }
    for _ in 0..8 {
        let (_, told) = bed.arrive("/read/1", (0, 0));
        assert!(matches!(told, Told::Sent(_)), "{told:?}");
    }
}

/// An engine with 120 slots frees one every 10 ms, so a short queue there delays
/// nobody. Work that can wait has the longer aim, and must not fill the queue up to where an
/// urgent request with a short one is refused.
#[test]
fn a_queue_leaves_room_for_the_urgent() {
    let mut configuration = common::configuration(1);
    for route in &mut configuration.routes {
        route.latency_target = Duration::from_millis(if route.priority == 0 { 500 } else { 2_000 });
    }
    let mut bed = TestHost::new(configuration);
    bed.set_entry(record("engine-1", ENGINES, 120));
    for urgent in [0, 60] {
        let report = pressed(&mut bed, 120, urgent);
        bed.receive_report(report);
    }
    let labels = (0..20).map(|_| bed.arrive("/label/1", (60, 20)).1);
    let sent = labels.filter(|told| matches!(told, Told::Sent(_))).count();
    assert!((1..=3).contains(&sent), "{sent}");
    let (_, told) = bed.arrive("/urgent/1", (60, 20));
    assert!(matches!(told, Told::Sent(_)), "{told:?}");
}

/// Operators rank an account before a route: the whole work of a first account goes before
/// that of a second one, and within one account the routes are ordered.
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

/// Bursts begin within a second: what is asked has to be seen as soon, and forgotten after.
#[test]
fn asked_rates_follow_a_burst() {
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

/// Few slots are kept, whatever is asked: arrivals of a moment and their spread.
#[test]
fn few_slots_are_kept() {
    assert!(reserved_slots(0.0) < f64::EPSILON);
    assert!(reserved_slots(40.0) < 5.0);
    assert!(reserved_slots(40.0) >= 2.0);
    assert!(reserved_slots(0.5) < 1.0);
}

/// An outside monitor reads why a label was refused although slots were free.
#[test]
fn a_refusal_names_the_slots_that_are_kept() {
    let mut bed = under_urgent_load(2);
    bed.arrive("/label/1", (600, 20));
    bed.wait(Duration::from_millis(60));
    let grounds = common::refusal_grounds(&bed.tick());
    insta::assert_snapshot!(
        grounds,
        @"2 slots free, 3.3 kept for more urgent requests"
    );
}

/// Urgent work fills the fleet for half a minute. Whoever sends work that can wait would be
/// refused all that time, though a slot is free now and then.
#[test]
fn a_part_of_each_rank_is_served_whatever_is_asked() {
    const HELD: Duration = Duration::from_millis(1_200);
    let mut bed = under_urgent_load(2);
    let (mut sent, mut running) = (0, VecDeque::new());
    for turn in 1..=200 {
        bed.wait(Duration::from_millis(190));
        bed.prove();
        let report = pressed(&mut bed, 38, 60 + turn * 15);
        bed.receive_report(report);
        let mut fx = bed.arrive_fx("/label/1", (600, 20));
        bed.wait(Duration::from_millis(60));
        fx.extend(bed.tick());
        for effect in fx {
            if let Effect::Send { number, .. } = effect {
                sent += 1;
                bed.answered(number);
                running.push_back((bed.now, number));
            }
        }
        // They hold their slots for about a second.
        while running.front().is_some_and(|it| bed.now >= it.0 + HELD) {
            let ended = running.pop_front().expect("a running request");
            bed.ended(ended.1, AttemptOutcome::Complete);
        }
    }
    assert!((14..=20).contains(&sent), "{sent} of 200");
}

/// A rank that was served for hours is not refused for it when the day turns busy, and one
/// that was refused for hours does not push in for as long.
#[test]
fn floors_forget_what_is_long_over() {
    let service = service_key(ENGINES);
    let mut floors = MinimumShares::default();
    for _ in 0..1_000 {
        floors.record_arrival(service, DEFERRABLE);
        floors.record_sent(service, DEFERRABLE);
    }
    let until_owed = (0..100).find(|_| {
        floors.record_arrival(service, DEFERRABLE);
        floors.is_behind(service, DEFERRABLE)
    });
    assert!(until_owed.is_some_and(|asked| asked < 20), "{until_owed:?}");
    for _ in 0..1_000 {
        floors.record_arrival(service, DEFERRABLE);
    }
    let pushed = (0..100).take_while(|_| {
        let is_owed = floors.is_behind(service, DEFERRABLE);
        floors.record_sent(service, DEFERRABLE);
        is_owed
    });
    assert!(pushed.count() <= 3);
}
