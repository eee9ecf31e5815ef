//! Long answers before engines of unlike speed, and engines that turn slow.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, Told, record};
use jaypin_router::{BackendSamples, Effect, Event, EventRate, RequestNumber, backend_key};

/// Time between two events of a fast engine and of a slow one.
const FAST: Duration = Duration::from_millis(8);
const SLOW: Duration = Duration::from_millis(40);
/// Tokens of an answer that takes 8 s of 10 on the slow engine.
const LONG: u32 = 1_200;

/// Two engines, of which a peer has told the pace.
fn bed() -> TestHost {
    let mut bed = TestHost::new(common::configuration(1));
    let mut report = common::report(1, common::whole_report(2));
    for (id, pace) in [("engine-1", FAST), ("engine-22", SLOW)] {
        bed.set_entry(record(id, ENGINES, 9));
        report.samples.push(BackendSamples {
            events: 100.0,
            event_seconds: pace.as_secs_f64() * 100.0,
            ..BackendSamples::none(backend_key(id))
        });
    }
    bed.receive_report(report);
    bed
}

/// Events come at a pace.
fn stream(bed: &mut TestHost, number: RequestNumber, events: u32, pace: Duration) -> Vec<Effect> {
    let time = pace * events;
    bed.wait(time);
    bed.apply(Event::Streamed {
        number,
        events,
        time,
    })
}

fn ask(bed: &mut TestHost, expected: u32) -> (RequestNumber, Told) {
    bed.arrive_as(|it| {
        it.tokens = Some((600, 4_000));
        it.expected_answer = Some(expected);
    })
}

/// A herd's report is the longest answer there is. On a slow engine it holds a slot until its
/// caller gives up, and nobody has anything of it; on a fast one it is done in a fifth of its
/// time.
#[test]
fn a_long_answer_goes_where_it_ends_in_time() {
    let mut bed = bed();
    // The fast engine has more to do, so a short answer goes to the other one.
    for _ in 0..6 {
        let (number, told) = ask(&mut bed, LONG);
        assert_eq!(told.backend(), "engine-1");
        bed.wait(Duration::from_millis(30));
        bed.answered(number);
    }
    let (_, short) = ask(&mut bed, 60);
    assert_eq!(short.backend(), "engine-22");
    let (_, long) = ask(&mut bed, LONG);
    assert_eq!(long.backend(), "engine-1");
}

/// An engine turns five times slower in the middle of its streams. Two events show it, and
/// long answers go elsewhere before any of those streams has ended.
#[test]
fn an_engine_that_turns_slow_is_known_after_two_events_of_a_stream() {
    let mut bed = bed();
    let (number, told) = ask(&mut bed, LONG);
    assert_eq!(told.backend(), "engine-1");
    bed.answered(number);
    let before = bed.now;
    for _ in 0..2 {
        stream(&mut bed, number, 2, FAST * 10);
    }
    assert!(bed.now - before <= Duration::from_millis(320));
    let (_, told) = ask(&mut bed, LONG);
    assert_eq!(told.backend(), "engine-22");
}

/// The host that has a stream there knows it first. Others would send long answers for as long
/// as their own streams take to show it.
#[test]
fn others_hear_of_an_engine_that_turned_slow_at_once() {
    let mut bed = bed();
    bed.tick();
    let (number, _) = ask(&mut bed, LONG);
    bed.answered(number);
    bed.wait(Duration::from_millis(20));
    bed.tick();
    let mut fx = stream(&mut bed, number, 2, FAST * 10);
    bed.wait(Duration::from_millis(10));
    fx.extend(bed.tick());
    let told = fx.iter().any(|effect| match effect {
        Effect::SendReport { report, .. } => report.samples.iter().any(|it| it.events > 0.0),
        _ => false,
    });
    assert!(told, "{fx:?}");
}

/// It was slow for some seconds. What is slow is believed at once, what is fast again by and by:
/// between two long prompts of others, events come fast for a moment.
#[test]
fn an_engine_is_taken_for_fast_again_within_a_few_answers() {
    let mut pace = EventRate::default();
    let of_one = |pace: &EventRate| pace.seconds_for(1.0).unwrap_or_default();
    pace.record(100.0, 0.8);
    pace.record(4.0, 0.32);
    pace.record(4.0, 0.32);
    assert!(of_one(&pace) > 0.04, "{}", of_one(&pace));
    pace.record(8.0, 0.064);
    assert!(of_one(&pace) > 0.02, "{}", of_one(&pace));
    for _ in 0..20 {
        pace.record(8.0, 0.064);
    }
    assert!(of_one(&pace) < 0.012, "{}", of_one(&pace));
}

#[test]
fn an_engine_without_events_has_no_pace() {
    let mut pace = EventRate::default();
    assert_eq!(pace.seconds_for(10.0), None);
    pace.record(2.0, 0.1);
    assert_eq!(pace.seconds_for(10.0), None);
}
