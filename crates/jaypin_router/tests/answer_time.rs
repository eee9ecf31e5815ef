//! Placement of long answers on engines of different speed, and on engines that become slow.

mod common;

use std::time::Duration;

use common::{Decision, ENGINES, TestHost, record};
use jaypin_router::{BackendSamples, Effect, Event, EventRate, RequestNumber, backend_key};

/// Time between two events of a fast engine's answer, and of a slow one's.
const FAST_INTERVAL: Duration = Duration::from_millis(8);
const SLOW_INTERVAL: Duration = Duration::from_millis(40);
/// Tokens of an answer that takes 8 s on the slow engine, out of the route's timeout of 10 s.
const LONG_ANSWER: u32 = 1_200;

/// Returns a host with a fast and a slow engine, whose event rates a peer has reported.
fn host_with_two_engines() -> TestHost {
    let mut host = TestHost::new(common::configuration(1));
    let mut report = common::report(1, common::whole_report(2));
    for (id, interval) in [("engine-1", FAST_INTERVAL), ("engine-22", SLOW_INTERVAL)] {
        host.set_entry(record(id, ENGINES, 9));
        report.samples.push(BackendSamples {
            events: 100.0,
            event_seconds: interval.as_secs_f64() * 100.0,
            ..BackendSamples::none(backend_key(id))
        });
    }
    host.receive_report(report);
    host
}

/// Applies `events` events of an answer that arrive at the given interval.
fn stream_events(
    host: &mut TestHost,
    number: RequestNumber,
    events: u32,
    interval: Duration,
) -> Vec<Effect> {
    let time = interval * events;
    host.wait(time);
    host.apply(Event::Streamed {
        number,
        events,
        time,
        longest_pause: time / events,
    })
}

fn send_request(host: &mut TestHost, expected: u32) -> (RequestNumber, Decision) {
    host.arrive_with(|it| {
        it.tokens = Some((600, 4_000));
        it.expected_answer = Some(expected);
    })
}

/// Guards against long answers on slow engines. The longest answer holds a slot of a slow engine
/// until its caller times out, and nobody gets it; a fast engine needs a fifth of the time.
#[test]
fn a_long_answer_goes_where_it_ends_in_time() {
    let mut host = host_with_two_engines();
    // The fast engine has more requests, so a short answer goes to the other one.
    for _ in 0..6 {
        let (number, decision) = send_request(&mut host, LONG_ANSWER);
        assert_eq!(decision.backend(), "engine-1");
        host.wait(Duration::from_millis(30));
        host.answered(number);
    }
    let (_, short) = send_request(&mut host, 60);
    assert_eq!(short.backend(), "engine-22");
    let (_, long) = send_request(&mut host, LONG_ANSWER);
    assert_eq!(long.backend(), "engine-1");
}

/// Guards against an engine whose slowness is noticed only at the end of an answer. The engine
/// becomes five times slower in the middle of its answers; two events must show it, so that long
/// answers go elsewhere before any of the running ones has ended.
#[test]
fn an_engine_that_turns_slow_is_known_after_two_events_of_a_stream() {
    let mut host = host_with_two_engines();
    let (number, decision) = send_request(&mut host, LONG_ANSWER);
    assert_eq!(decision.backend(), "engine-1");
    host.answered(number);
    let before = host.now;
    for _ in 0..2 {
        stream_events(&mut host, number, 2, FAST_INTERVAL * 10);
    }
    assert!(host.now - before <= Duration::from_millis(320));
    let (_, decision) = send_request(&mut host, LONG_ANSWER);
    assert_eq!(decision.backend(), "engine-22");
}

/// Guards against peers that go on sending long answers to a slow engine: the host with an answer
/// there notices it first, and the others only once their own answers show it.
#[test]
fn an_engine_that_turns_slow_is_reported_at_once() {
    let mut host = host_with_two_engines();
    host.tick();
    let (number, _) = send_request(&mut host, LONG_ANSWER);
    host.answered(number);
    host.wait(Duration::from_millis(20));
    host.tick();
    let mut fx = stream_events(&mut host, number, 2, FAST_INTERVAL * 10);
    host.wait(Duration::from_millis(10));
    fx.extend(host.tick());
    let is_reported = fx.iter().any(|effect| match effect {
        Effect::SendReport { report, .. } => report.samples.iter().any(|it| it.events > 0.0),
        _ => false,
    });
    assert!(is_reported, "{fx:?}");
}

/// Guards against an engine that counts as slow for too long after some slow seconds, and against
/// one that counts as fast too soon: a slow event rate applies at once, a fast one gradually,
/// since events come fast for a moment between two long prompts of other requests.
#[test]
fn an_engine_counts_as_fast_again_within_a_few_answers() {
    let mut estimate = EventRate::default();
    let seconds_per_event = |estimate: &EventRate| estimate.seconds_for(1.0).unwrap_or_default();
    estimate.record(100.0, 0.8);
    estimate.record(4.0, 0.32);
    estimate.record(4.0, 0.32);
    assert!(
        seconds_per_event(&estimate) > 0.04,
        "{}",
        seconds_per_event(&estimate)
    );
    estimate.record(8.0, 0.064);
    assert!(
        seconds_per_event(&estimate) > 0.02,
        "{}",
        seconds_per_event(&estimate)
    );
    for _ in 0..20 {
        estimate.record(8.0, 0.064);
    }
    assert!(
        seconds_per_event(&estimate) < 0.012,
        "{}",
        seconds_per_event(&estimate)
    );
}

#[test]
fn an_engine_without_events_has_no_event_rate() {
    let mut estimate = EventRate::default();
    assert_eq!(estimate.seconds_for(10.0), None);
    estimate.record(2.0, 0.1);
    assert_eq!(estimate.seconds_for(10.0), None);
}
