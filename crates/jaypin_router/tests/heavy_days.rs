//! Days on which the fleet is asked for more than it has: who waits, who is refused, and
//! where work goes.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, Told, record};
use jaypin_core::{Ran, Reason};
use jaypin_router::{AttemptOutcome, BackendLoad, Effect, Event, backend_key};

/// A bed with engines of which all slots are taken by a peer.
fn full(engines: &[&str]) -> TestHost {
    let mut bed = TestHost::new(common::configuration(1));
    for id in engines {
        bed.set_entry(record(id, ENGINES, 9));
    }
    let loads = engines.iter().map(|id| (*id, 9));
    bed.hear(loads.collect());
    bed
}

trait Hear {
    /// A peer tells what it has running.
    fn hear(&mut self, loads: Vec<(&str, u32)>);
}

impl Hear for TestHost {
    fn hear(&mut self, loads: Vec<(&str, u32)>) {
        let mut report = common::report(self.revision(), common::whole_report(2));
        report.loads = loads
            .into_iter()
            .map(|(id, running)| BackendLoad {
                key: backend_key(id),
                running,
                unread_tokens: 0,
            })
            .collect();
        self.receive_report(report);
    }
}

/// A burst takes every slot of the fleet for seconds. Whoever can't be in time is told so
/// after a small part of its aim, with a time to come back that is still in it.
#[test]
fn a_request_without_a_place_is_refused_soon_and_may_come_back_in_time() {
    let mut bed = full(&["engine-1"]);
    let (number, told) = bed.arrive("/ask/1", (600, 300));
    assert_eq!(told, Told::Waits);
    let due = bed.router.next_tick(bed.now);
    assert!(due <= bed.now + Duration::from_millis(60));
    bed.wait(Duration::from_millis(60));
    let told = common::told(&bed.tick(), number);
    let refusal = told.refusal();
    assert_eq!((refusal.reason, refusal.ran), (Reason::Shed, Ran::NotRun));
    let back = refusal.retry_after.expect("a time to come back");
    assert!(back >= Duration::from_millis(100) && back <= Duration::from_millis(300));
}

/// An outside monitor reads why a request was refused. Its first event would have been in
/// time, so the line has to name what was not: the wait for a slot.
#[test]
fn a_refusal_for_want_of_a_slot_names_the_wait() {
    let mut bed = full(&["engine-1"]);
    bed.arrive("/ask/1", (600, 300));
    bed.wait(Duration::from_millis(60));
    let grounds = common::refusal_grounds(&bed.tick());
    insta::assert_snapshot!(
        grounds,
        @"first event in 162 ms of 290, slot in 133 ms of 50, 9 running, 0 tokens ahead"
    );
}

/// Refused callers that all come back at once would be refused once more.
#[test]
fn times_to_come_back_are_spread() {
    let mut bed = full(&["engine-1"]);
    let numbers: Vec<_> = (0..40)
        .map(|_| bed.arrive("/ask/1", (600, 300)).0)
        .collect();
    bed.wait(Duration::from_millis(60));
    let fx = bed.tick();
    let mut times: Vec<_> = numbers
        .iter()
        .filter_map(|number| common::told(&fx, *number).refusal().retry_after)
        .collect();
    times.sort();
    assert!(
        times[35] >= times[4] + Duration::from_millis(80),
        "{times:?}"
    );
}

/// A slot comes free at a peer, and three requests of this host wait for one.
#[test]
fn the_most_urgent_request_gets_the_free_slot() {
    let mut bed = full(&["engine-1"]);
    let (label, _) = bed.arrive("/label/1", (600, 20));
    let (ask, _) = bed.arrive("/ask/1", (600, 20));
    let (urgent, _) = bed.arrive("/urgent/1", (600, 20));
    bed.wait(Duration::from_millis(1));
    bed.hear(vec![("engine-1", 8)]);
    bed.wait(Duration::from_millis(30));
    let fx = bed.tick();
    assert!(matches!(common::told(&fx, urgent), Told::Sent(_)));
    assert_eq!(common::told(&fx, ask), Told::Waits);
    assert_eq!(common::told(&fx, label), Told::Waits);
}

/// All hosts hear in one moment that a slot is free. If each took it at once, one request
/// would start and the others would wait inside the engine for whole runs to end.
#[test]
fn a_slot_that_a_peer_frees_is_not_taken_in_the_same_moment() {
    let mut bed = full(&["engine-1"]);
    let (ask, _) = bed.arrive("/ask/1", (600, 20));
    bed.wait(Duration::from_millis(1));
    bed.hear(vec![("engine-1", 8)]);
    let due = bed.router.next_tick(bed.now) - bed.now;
    assert!(due >= Duration::from_millis(5), "{due:?}");
    // Another host was quicker and told so.
    bed.wait(Duration::from_millis(4));
    bed.hear(vec![("engine-1", 9)]);
    bed.wait(Duration::from_millis(20));
    assert_eq!(common::told(&bed.tick(), ask), Told::Waits);
}

/// A slot that this host frees itself goes to its own waiting request without a pause.
#[test]
fn a_slot_that_comes_free_here_is_taken_at_once() {
    let mut bed = TestHost::new(common::configuration(1));
    bed.set_entry(record("engine-1", ENGINES, 1));
    let (first, told) = bed.arrive("/ask/1", (600, 300));
    assert!(matches!(told, Told::Sent(_)));
    let (second, told) = bed.arrive("/ask/1", (600, 300));
    assert_eq!(told, Told::Waits);
    bed.wait(Duration::from_millis(10));
    let fx = bed.apply(Event::AttemptEnded {
        number: first,
        outcome: AttemptOutcome::Complete,
    });
    assert!(matches!(common::told(&fx, second), Told::Sent(_)));
}

/// Peers can't see a slot that is taken until they are told.
#[test]
fn a_taken_slot_is_told_within_milliseconds() {
    let mut bed = TestHost::usual();
    bed.hear(Vec::new());
    bed.tick();
    bed.wait(Duration::from_millis(20));
    bed.arrive("/ask/1", (600, 300));
    bed.wait(Duration::from_millis(1));
    bed.arrive("/ask/1", (600, 300));
    let due = bed.router.next_tick(bed.now) - bed.now;
    assert!(due <= Duration::from_millis(6), "{due:?}");
}

/// Answers differ a hundredfold in length. Where requests wait, one long answer would take
/// the time of many short ones.
#[test]
fn a_long_answer_is_refused_before_a_short_one() {
    let mut bed = TestHost::new(common::configuration(1));
    bed.set_entry(record("engine-1", ENGINES, 9));
    let ask = |bed: &mut TestHost, expected| {
        bed.arrive_as(|it| {
            it.tokens = Some((2_400, 3_000));
            it.expected_answer = Some(expected);
        })
    };
    for _ in 0..60 {
        let (number, _) = ask(&mut bed, 300);
        bed.wait(Duration::from_millis(40));
        bed.answered(number);
        bed.wait(Duration::from_millis(260));
        bed.prove();
        bed.ended(number, AttemptOutcome::Complete);
    }
    // All slots are taken and one comes free each 33 ms.
    bed.hear(vec![("engine-1", 9)]);
    let (_, long) = ask(&mut bed, 3_000);
    assert_eq!(long, Told::Waits);
    let (_, short) = ask(&mut bed, 100);
    assert!(matches!(short, Told::Sent(_)), "{short:?}");
}

/// Engines differ in speed. A long prompt takes most of its aim on a slow one.
#[test]
fn long_prompts_go_to_fast_engines() {
    let mut bed = TestHost::usual();
    // Both engines show their speed: 60 tokens a millisecond, and 15.
    for (prompt, fast, slow) in [(6_000_u32, 100, 400); 6] {
        let pair = [
            bed.arrive("/ask/1", (prompt, 30)),
            bed.arrive("/ask/1", (prompt, 30)),
        ];
        let mut ends: Vec<_> = pair
            .iter()
            .map(|(number, told)| {
                let is_fast = told.backend() == "engine-1";
                (if is_fast { fast } else { slow }, *number)
            })
            .collect();
        ends.sort_unstable();
        let start = bed.now;
        for (millis, number) in ends {
            bed.now = start + Duration::from_millis(millis + 14);
            bed.answered(number);
            bed.ended(number, AttemptOutcome::Complete);
        }
        bed.wait(Duration::from_millis(100));
        bed.boot += Duration::from_millis(400);
        bed.prove();
    }
    let (_, told) = bed.arrive("/ask/1", (12_000, 30));
    assert_eq!(told.backend(), "engine-1");
}

/// An engine accepts connections and says nothing; its queue looks short for ever.
#[test]
fn an_engine_that_hangs_gets_no_more_requests() {
    let mut bed = TestHost::usual();
    let (_, first) = bed.arrive("/ask/1", (600, 30));
    bed.wait(Duration::from_millis(800));
    bed.prove();
    for _ in 0..5 {
        let (_, told) = bed.arrive("/urgent/1", (600, 30));
        assert_ne!(told.backend(), first.backend());
    }
}

/// An engine that fails everything at once would draw all requests by being empty.
#[test]
fn an_engine_that_fails_rests() {
    let mut bed = TestHost::usual();
    for _ in 0..30 {
        let (number, told) = bed.arrive("/urgent/1", (600, 30));
        if told.backend() == "engine-1" {
            bed.ended(number, AttemptOutcome::Failed);
        } else {
            bed.answered(number);
            bed.ended(number, AttemptOutcome::Complete);
        }
        bed.wait(Duration::from_millis(20));
    }
    bed.prove();
    for _ in 0..5 {
        let (number, told) = bed.arrive("/urgent/1", (600, 30));
        assert_eq!(told.backend(), "engine-22");
        bed.answered(number);
        bed.ended(number, AttemptOutcome::Complete);
    }
}

#[test]
fn what_this_host_has_running_is_told_as_a_state() {
    let mut bed = TestHost::usual();
    bed.hear(Vec::new());
    bed.wait(Duration::from_millis(500));
    bed.tick();
    let mut fx = bed.arrive_fx("/ask/1", (600, 300));
    let backend = fx.iter().find_map(|effect| match effect {
        Effect::Send { backend, .. } => Some(backend.clone()),
        _ => None,
    });
    let key = backend_key(&backend.expect("it is sent"));
    bed.wait(Duration::from_millis(10));
    fx.extend(bed.tick());
    let mut loads = fx.iter().filter_map(|effect| match effect {
        Effect::SendReport { report, .. } => Some(report.loads.clone()),
        _ => None,
    });
    let load = BackendLoad {
        key,
        running: 1,
        unread_tokens: 600,
    };
    assert_eq!(loads.find(|it| !it.is_empty()), Some(vec![load]));
}
