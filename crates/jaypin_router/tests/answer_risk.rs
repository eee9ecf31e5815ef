//! Placement by the risk that an answer is late because of a pause, or cut off at its timeout.

mod common;

use std::time::{Duration, Instant};

use common::{Decision, ENGINES, TestHost, record};
use jaypin_core::Reason;
use jaypin_router::{
    AnswerLengths, AttemptOutcome, BackendLoad, BackendSamples, Event, PauseTally, RequestNumber,
    Route, ServicePauses, backend_key, pause_risk,
};

const FAST: &str = "engine-1";
const SLOW: &str = "engine-22";
/// Time between two events of the fast engine, and of the slow one.
const FAST_INTERVAL: Duration = Duration::from_millis(25);
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Tokens of an event in the configuration of the tests.
const EVENT_TOKENS: u32 = 6;
/// Longest pause of the routes of the tests.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Events of a mean answer.
const MEAN_EVENTS: u32 = 35;

/// Returns samples of a peer: 100 events at this interval, and the prefill of 100,000 tokens at this
/// rate in tokens per millisecond.
fn samples(id: &str, interval: Option<Duration>, prefill_rate: f64) -> BackendSamples {
    BackendSamples {
        tokens: 100_000.0,
        seconds: 100.0 / prefill_rate,
        events: interval.map_or(0.0, |_| 100.0),
        event_seconds: interval.map_or(0.0, |it| it.as_secs_f64() * 100.0),
        ..BackendSamples::none(backend_key(id))
    }
}

/// Returns a host with engines of which a peer has reported samples, and which run this many requests
/// of the peer.
fn host_with(engines: &[(BackendSamples, &str, u32)], change: impl Fn(&mut Route)) -> TestHost {
    let mut configuration = common::configuration(1);
    configuration.routes.iter_mut().for_each(change);
    let mut host = TestHost::new(configuration);
    let mut report = common::report(1, common::whole_report(2));
    for (samples, id, running) in engines {
        host.set_entry(record(id, ENGINES, 9));
        report.samples.push(*samples);
        report.loads.push(BackendLoad {
            running: *running,
            ..BackendLoad::none(samples.key)
        });
    }
    host.receive_report(report);
    host
}

/// Returns a host with a fast and a slow engine that read prompts equally fast, so that only the
/// answer distinguishes them.
fn fast_and_slow(fast_running: u32, slow_running: u32) -> TestHost {
    let engines = [
        (samples(FAST, Some(FAST_INTERVAL), 70.0), FAST, fast_running),
        (samples(SLOW, Some(SLOW_INTERVAL), 70.0), SLOW, slow_running),
    ];
    host_with(&engines, |_| {})
}

fn send(host: &mut TestHost, expected_events: u32) -> (RequestNumber, Decision) {
    host.arrive_with(|it| {
        it.tokens = Some((600, expected_events * EVENT_TOKENS * 20));
        it.expected_answer = Some(expected_events * EVENT_TOKENS);
    })
}

/// Lets an answer of so many events arrive in groups of one, each after this time, and ends it.
fn answer(
    host: &mut TestHost,
    number: RequestNumber,
    times: impl Iterator<Item = Duration>,
    outcome: AttemptOutcome,
) {
    host.answered(number);
    for time in times {
        host.apply(Event::Streamed {
            number,
            events: 1,
            time,
            longest_pause: time,
        });
    }
    host.ended(number, outcome);
}

/// Guards against long answers on engines where they pause for too long, which their callers count
/// as late. The engines are equally fast otherwise, and the one that pauses has fewer requests.
#[test]
fn an_answer_goes_where_it_does_not_pause() {
    let engines = [
        (samples(FAST, Some(FAST_INTERVAL), 70.0), FAST, 2),
        (samples(SLOW, Some(FAST_INTERVAL), 70.0), SLOW, 0),
    ];
    let mut host = host_with(&engines, |_| {});
    assert_eq!(send(&mut host, MEAN_EVENTS).1.backend(), SLOW);
    for _ in 0..20 {
        let (number, decision) = send(&mut host, MEAN_EVENTS);
        let is_pausing = decision.backend() == SLOW;
        // One event in 20 comes after a pause of 600 ms.
        let times = (0..40).map(|n| {
            if is_pausing && n % 20 == 10 {
                LONGEST_PAUSE + Duration::from_millis(100)
            } else {
                FAST_INTERVAL
            }
        });
        answer(&mut host, number, times, AttemptOutcome::Complete);
    }
    assert_eq!(send(&mut host, MEAN_EVENTS).1.backend(), FAST);
}

/// Guards against a share of pauses that is learned too slowly to matter: a host sees some 30 events
/// per second of all slow engines, and of each only a few.
#[test]
fn pauses_at_one_speed_count_for_all_engines_of_that_speed() {
    let now = Instant::now();
    let mut pauses = ServicePauses::default();
    for second in 0..60 {
        let at = now + Duration::from_secs(second);
        pauses.record(Some(0.1), 30.0, 0.3, at);
        pauses.record(Some(0.025), 240.0, 0.24, at);
    }
    let now = now + Duration::from_mins(1);
    let risk = |seconds| {
        let share = pauses.share(PauseTally::default(), seconds, now);
        pause_risk(share, f64::from(MEAN_EVENTS))
    };
    assert!(risk(Some(0.1)) > 0.2, "{}", risk(Some(0.1)));
    assert!(risk(Some(0.025)) < 0.06, "{}", risk(Some(0.025)));
    // Engines of nearly equal speed have nearly equal risks.
    let difference = risk(Some(0.1)) - risk(Some(0.097));
    assert!(difference.abs() < 0.02, "{difference}");
}

/// Guards against an engine that is avoided after one lost packet, which delays any stream, and
/// against one that is avoided forever, since nothing is observed of an engine that gets no requests.
#[test]
fn a_single_pause_costs_little_and_is_forgotten() {
    let now = Instant::now();
    let mut tally = PauseTally::default();
    let mut pauses = ServicePauses::default();
    let risk = |tally, pauses: &ServicePauses, now| {
        pause_risk(
            pauses.share(tally, Some(0.025), now),
            f64::from(MEAN_EVENTS),
        )
    };
    let unknown = risk(tally, &pauses, now);
    assert!((0.01..0.06).contains(&unknown), "{unknown}");
    tally.record(1.0, 1.0, now);
    pauses.record(Some(0.025), 1.0, 1.0, now);
    let other = risk(PauseTally::default(), &pauses, now);
    let after_one = risk(tally, &pauses, now);
    assert!(after_one - other < 0.04, "{other} to {after_one}");
    for _ in 0..30 {
        tally.record(1.0, 1.0, now);
    }
    let after_many = risk(tally, &pauses, now);
    assert!(after_many > 0.5, "{after_many}");
    let later = risk(tally, &pauses, now + Duration::from_mins(5));
    assert!(later < after_one, "{later}");
}

/// Guards against slow engines that count as fast until four of their events were seen. Its prefill
/// rate says what to expect of the engine.
#[test]
fn an_engine_of_unknown_event_rate_is_judged_by_its_prefill_rate() {
    let known = samples("engine-333", Some(FAST_INTERVAL), 70.0);
    let slow = samples(SLOW, None, 17.0);
    let engines = [(known, "engine-333", 4), (slow, SLOW, 0)];
    let mut host = host_with(&engines, |route| {
        route.latency_target = Duration::from_secs(2);
    });
    // At 25 ms per event it takes 3 s, and at 100 ms 12 s of the 10 s that it has.
    assert_eq!(send(&mut host, 120).1.backend(), "engine-333");
    // A short answer goes where there is room.
    assert_eq!(send(&mut host, 2).1.backend(), SLOW);
}

/// Guards against long answers on an engine of which nothing is known, beside a fast one: the mean of
/// the service speaks for neither of two such engines, but against the unknown one here.
#[test]
fn an_engine_of_which_nothing_is_known_counts_as_average() {
    let engines = [
        (samples(FAST, Some(FAST_INTERVAL), 70.0), FAST, 3),
        (samples(SLOW, Some(SLOW_INTERVAL), 70.0), SLOW, 9),
        (
            BackendSamples::none(backend_key("engine-333")),
            "engine-333",
            0,
        ),
    ];
    let mut host = host_with(&engines, |_| {});
    assert_eq!(send(&mut host, 100).1.backend(), FAST);
    assert_eq!(send(&mut host, 2).1.backend(), "engine-333");
}

/// Guards against answers that are cut off on slow engines although they were expected to end there.
/// Where answers are often three times as long as expected, 4 s of 10 s are not enough.
#[test]
fn lengths_beyond_the_expectation_are_learned() {
    let mut host = fast_and_slow(5, 0);
    // 20 events of 100 ms take 2 s of the 10 s: the prior does not speak against the slow engine.
    let (_, before) = send(&mut host, 20);
    assert_eq!(before.backend(), SLOW);
    let mut host = fast_and_slow(5, 0);
    for n in 0..60 {
        let (number, decision) = send(&mut host, 20);
        let interval = if decision.backend() == SLOW {
            SLOW_INTERVAL
        } else {
            FAST_INTERVAL
        };
        let events = if n % 2 == 0 { 19 } else { 160 };
        answer(
            &mut host,
            number,
            (0..events).map(|_| interval),
            AttemptOutcome::Complete,
        );
    }
    assert_eq!(send(&mut host, 20).1.backend(), FAST);
}

/// Guards against lengths that are learned from answers that ended in time only: the longest are cut
/// off, and would not count.
#[test]
fn an_answer_that_was_cut_off_counts_as_at_least_as_long() {
    let (mut ignored, mut counted) = (AnswerLengths::default(), AnswerLengths::default());
    for _ in 0..60 {
        for _ in 0..3 {
            ignored.record_complete(1.0);
            counted.record_complete(1.0);
        }
        counted.record_cut(2.5);
    }
    let (ignored, counted) = (ignored.exceeds(2.5, 0.0), counted.exceeds(2.5, 0.0));
    assert!(ignored < 0.05, "{ignored}");
    assert!((0.2..0.35).contains(&counted), "{counted}");
}

/// Guards against a distribution that forgets that half of the answers are longer than expected, or
/// how much of an answer was received.
#[test]
fn the_prior_is_right_at_the_median() {
    let lengths = AnswerLengths::default();
    let longer = lengths.exceeds(1.0, 0.0);
    assert!((0.45..0.55).contains(&longer), "{longer}");
    assert!(lengths.exceeds(4.0, 0.0) < 0.05);
    assert!(lengths.exceeds(4.0, 2.0) > lengths.exceeds(4.0, 0.0));
    assert!((lengths.exceeds(2.0, 2.0) - 1.0).abs() < 1e-9);
    assert!(lengths.exceeds(1.0e9, 0.0).abs() < 1e-9);
}

/// Guards against refusals while slow engines are free: an answer that may pause there is worth more
/// than none.
#[test]
fn a_slow_engine_is_better_than_a_refusal() {
    let mut host = fast_and_slow(12, 0);
    let (_, decision) = send(&mut host, 60);
    assert_eq!(decision.backend(), SLOW);
}

/// Guards against slots that are held for the whole timeout for nothing. The answer needs five times
/// the time that it has on the only engine with room, and the refusal says that it has not run.
#[test]
fn an_answer_that_cannot_end_is_refused_instead_of_cut_off() {
    let mut host = fast_and_slow(12, 0);
    let (number, decision) = send(&mut host, 500);
    assert_eq!(decision, Decision::Queued);
    host.wait(Duration::from_millis(61));
    let fx = host.tick();
    let decision = common::decision_for(&fx, number);
    assert_eq!(decision.refusal().reason, Reason::Shed);
    let inputs = common::refusal_inputs(&fx);
    assert!(inputs.contains("late or cut"), "{inputs}");
}

/// Guards against a choice by pauses or lengths where engines are of equal speed: the one with fewer
/// requests is chosen, also on a host that has just started and after a single pause.
#[test]
fn engines_of_equal_speed_are_chosen_by_their_load() {
    let engines = [
        (samples(FAST, Some(FAST_INTERVAL), 70.0), FAST, 3),
        (samples(SLOW, Some(FAST_INTERVAL), 70.0), SLOW, 0),
    ];
    let mut host = host_with(&engines, |_| {});
    let (number, decision) = send(&mut host, MEAN_EVENTS);
    assert_eq!(decision.backend(), SLOW);
    let times = (0..40).map(|n| {
        if n == 20 {
            LONGEST_PAUSE * 2
        } else {
            FAST_INTERVAL
        }
    });
    answer(&mut host, number, times, AttemptOutcome::Complete);
    assert_eq!(send(&mut host, MEAN_EVENTS).1.backend(), SLOW);
}

/// Guards against a host that forgets what it has seen of slow engines while it hears no peer for 3 s,
/// and against one that trusts a report that arrives late: the older totals say nothing new.
#[test]
fn a_host_without_reports_keeps_its_own_observations() {
    let mut host = fast_and_slow(0, 0);
    host.wait(Duration::from_secs(3));
    host.tick();
    assert_eq!(send(&mut host, MEAN_EVENTS).1.backend(), FAST);
    let mut stale = common::report(0, common::whole_report(2));
    let fast = samples(SLOW, Some(FAST_INTERVAL / 25), 70.0);
    stale.samples.push(fast);
    host.receive_report(stale);
    assert_eq!(send(&mut host, MEAN_EVENTS).1.backend(), FAST);
}

/// Guards against answers that are refused on a restarted host for what it does not know: without any
/// event rate, an answer of any length has a place.
#[test]
fn a_restarted_host_refuses_nothing_for_its_length() {
    let mut host = TestHost::with_backends();
    for expected in [2, 35, 350, 3_500] {
        let (_, decision) = send(&mut host, expected);
        assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
    }
}

/// Guards against a part of a stream that is lost to it because the rest looks too long: its caller has
/// the beginning, so it goes on wherever there is a slot.
#[test]
fn a_stream_that_has_begun_goes_on_at_a_slow_engine() {
    let mut host = fast_and_slow(0, 4);
    let (number, decision) = send(&mut host, 200);
    assert_eq!(decision.backend(), FAST);
    host.answered(number);
    host.wait(Duration::from_secs(8));
    let decision = host.ended(number, AttemptOutcome::Died);
    let decision = match decision {
        Decision::Queued => {
            host.wait(Duration::from_millis(1_001));
            host.prove();
            common::decision_for(&host.tick(), number)
        }
        other => other,
    };
    assert_eq!(decision.backend(), SLOW);
}

/// Guards against an engine that is refused all requests forever after some slow seconds: without
/// requests nothing shows that it is fast again.
#[test]
fn a_slow_engine_is_tried_again() {
    let mut host = fast_and_slow(12, 0);
    host.wait(Duration::from_secs(6));
    host.prove();
    // The fast engine is still full, and nobody has seen an event of the slow one.
    let mut report = common::report(2, common::whole_report(2));
    report.loads.push(BackendLoad {
        running: 12,
        ..BackendLoad::none(backend_key(FAST))
    });
    host.receive_report(report);
    let (number, decision) = send(&mut host, 500);
    assert_eq!(decision, Decision::Queued);
    host.wait(Duration::from_millis(61));
    let decision = common::decision_for(&host.tick(), number);
    assert_eq!(decision.backend(), SLOW);
}

/// Guards against refusals of requests without a hint, whose greatest length is far beyond what most
/// answers have.
#[test]
fn the_greatest_length_alone_refuses_nothing() {
    let mut host = fast_and_slow(12, 0);
    let (number, decision) = host.arrive_with(|it| {
        it.tokens = Some((600, 500 * EVENT_TOKENS));
    });
    assert_eq!(decision, Decision::Queued);
    host.wait(Duration::from_millis(61));
    let decision = common::decision_for(&host.tick(), number);
    assert_eq!(decision.backend(), SLOW);
}
