//! Overload: which requests queue, which are refused, and where the others are sent.

mod common;

use std::time::Duration;

use common::{Decision, ENGINES, TestHost, record};
use jaypin_core::{Ran, Reason};
use jaypin_router::{AttemptOutcome, BackendLoad, Effect, Event, backend_key};

/// Returns a host with engines whose slots are all in use by a peer.
fn host_with_full_engines(engines: &[&str]) -> TestHost {
    let mut host = TestHost::new(common::configuration(1));
    for id in engines {
        host.set_entry(record(id, ENGINES, 9));
    }
    let loads = engines.iter().map(|id| (*id, 9));
    host.receive_loads(loads.collect());
    host
}

trait ReceiveLoads {
    /// Applies a peer's report of its running requests on each engine.
    fn receive_loads(&mut self, loads: Vec<(&str, u32)>);
}

impl ReceiveLoads for TestHost {
    fn receive_loads(&mut self, loads: Vec<(&str, u32)>) {
        let mut report = common::report(self.next_revision(), common::whole_report(2));
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

/// Guards against late refusals. A burst takes every slot of the fleet for seconds; a request
/// that can't be served in time must be refused after a small part of its latency target, with a
/// retry-after time that still lies within it.
#[test]
fn a_request_without_a_slot_is_refused_soon_and_may_be_retried_in_time() {
    let mut host = host_with_full_engines(&["engine-1"]);
    let (number, decision) = host.arrive("/ask/1", (600, 300));
    assert_eq!(decision, Decision::Queued);
    let due = host.router.next_tick(host.now);
    assert!(due <= host.now + Duration::from_millis(60));
    host.wait(Duration::from_millis(60));
    let decision = common::decision_for(&host.tick(), number);
    let refusal = decision.refusal();
    assert_eq!((refusal.reason, refusal.ran), (Reason::Shed, Ran::NotRun));
    let retry_after = refusal.retry_after.expect("a retry-after time");
    assert!(retry_after >= Duration::from_millis(100) && retry_after <= Duration::from_millis(300));
}

/// Guards against a refusal that hides its cause: the first event would have been in time, so the
/// log line must name what was not, which is the wait for a slot.
#[test]
fn a_refusal_for_lack_of_a_slot_names_the_wait() {
    let mut host = host_with_full_engines(&["engine-1"]);
    host.arrive("/ask/1", (600, 300));
    host.wait(Duration::from_millis(60));
    let inputs = common::refusal_inputs(&host.tick());
    insta::assert_snapshot!(
        inputs,
        @"first event in 162 ms of 290, slot in 133 ms of 50, 9 running, 0 tokens ahead, late or cut with 5%"
    );
}

/// Guards against refused callers that all retry at once and are refused again.
#[test]
fn retry_after_times_are_spread() {
    let mut host = host_with_full_engines(&["engine-1"]);
    let numbers: Vec<_> = (0..40)
        .map(|_| host.arrive("/ask/1", (600, 300)).0)
        .collect();
    host.wait(Duration::from_millis(60));
    let fx = host.tick();
    let mut times: Vec<_> = numbers
        .iter()
        .filter_map(|number| common::decision_for(&fx, *number).refusal().retry_after)
        .collect();
    times.sort();
    assert!(
        times[35] >= times[4] + Duration::from_millis(80),
        "{times:?}"
    );
}

/// Guards against a slot that goes to a less urgent request: a peer frees one while three
/// requests of this host are queued.
#[test]
fn the_most_urgent_request_gets_the_free_slot() {
    let mut host = host_with_full_engines(&["engine-1"]);
    let (label, _) = host.arrive("/label/1", (600, 20));
    let (ask, _) = host.arrive("/ask/1", (600, 20));
    let (urgent, _) = host.arrive("/urgent/1", (600, 20));
    host.wait(Duration::from_millis(1));
    host.receive_loads(vec![("engine-1", 8)]);
    host.wait(Duration::from_millis(30));
    let fx = host.tick();
    assert!(matches!(
        common::decision_for(&fx, urgent),
        Decision::Sent(_)
    ));
    assert_eq!(common::decision_for(&fx, ask), Decision::Queued);
    assert_eq!(common::decision_for(&fx, label), Decision::Queued);
}

/// Guards against several hosts that take the same slot. All hosts learn at the same moment that
/// it is free; if each took it at once, one request would start and the others would queue inside
/// the engine for the length of whole answers.
#[test]
fn a_slot_that_a_peer_frees_is_not_taken_in_the_same_moment() {
    let mut host = host_with_full_engines(&["engine-1"]);
    let (ask, _) = host.arrive("/ask/1", (600, 20));
    host.wait(Duration::from_millis(1));
    host.receive_loads(vec![("engine-1", 8)]);
    let due = host.router.next_tick(host.now) - host.now;
    assert!(due >= Duration::from_millis(5), "{due:?}");
    // Another host has taken the slot first and reported it.
    host.wait(Duration::from_millis(4));
    host.receive_loads(vec![("engine-1", 9)]);
    host.wait(Duration::from_millis(20));
    assert_eq!(common::decision_for(&host.tick(), ask), Decision::Queued);
}

/// Guards against a delay where none is needed: a slot that this host frees itself goes to its
/// own queued request at once.
#[test]
fn a_slot_that_comes_free_here_is_taken_at_once() {
    let mut host = TestHost::new(common::configuration(1));
    host.set_entry(record("engine-1", ENGINES, 1));
    let (first, decision) = host.arrive("/ask/1", (600, 300));
    assert!(matches!(decision, Decision::Sent(_)));
    let (second, decision) = host.arrive("/ask/1", (600, 300));
    assert_eq!(decision, Decision::Queued);
    host.wait(Duration::from_millis(10));
    let fx = host.apply(Event::AttemptEnded {
        number: first,
        outcome: AttemptOutcome::Complete,
    });
    assert!(matches!(
        common::decision_for(&fx, second),
        Decision::Sent(_)
    ));
}

/// Guards against peers that count a taken slot as free, as they do until the report of it
/// arrives.
#[test]
fn a_taken_slot_is_reported_within_milliseconds() {
    let mut host = TestHost::with_backends();
    host.receive_loads(Vec::new());
    host.tick();
    host.wait(Duration::from_millis(20));
    host.arrive("/ask/1", (600, 300));
    host.wait(Duration::from_millis(1));
    host.arrive("/ask/1", (600, 300));
    let due = host.router.next_tick(host.now) - host.now;
    assert!(due <= Duration::from_millis(6), "{due:?}");
}

/// Guards against a long answer that takes the time of many short ones while requests are queued:
/// answers differ a hundredfold in length.
#[test]
fn a_long_answer_is_refused_before_a_short_one() {
    let mut host = TestHost::new(common::configuration(1));
    host.set_entry(record("engine-1", ENGINES, 9));
    let send_request = |host: &mut TestHost, expected| {
        host.arrive_with(|it| {
            it.tokens = Some((2_400, 3_000));
            it.expected_answer = Some(expected);
        })
    };
    for _ in 0..60 {
        let (number, _) = send_request(&mut host, 300);
        host.wait(Duration::from_millis(40));
        host.answered(number);
        host.wait(Duration::from_millis(260));
        host.prove();
        host.ended(number, AttemptOutcome::Complete);
    }
    // All slots are in use, and one becomes free every 33 ms.
    host.receive_loads(vec![("engine-1", 9)]);
    let (_, long) = send_request(&mut host, 3_000);
    assert_eq!(long, Decision::Queued);
    let (_, short) = send_request(&mut host, 100);
    assert!(matches!(short, Decision::Sent(_)), "{short:?}");
}

/// Guards against long prompts on slow engines, where they would use up most of the latency
/// target.
#[test]
fn long_prompts_go_to_fast_engines() {
    let mut host = TestHost::with_backends();
    // The engines turn out to process 60 and 15 tokens per millisecond.
    for (prompt, fast, slow) in [(6_000_u32, 100, 400); 6] {
        let pair = [
            host.arrive("/ask/1", (prompt, 30)),
            host.arrive("/ask/1", (prompt, 30)),
        ];
        let mut ends: Vec<_> = pair
            .iter()
            .map(|(number, decision)| {
                let is_fast = decision.backend() == "engine-1";
                (if is_fast { fast } else { slow }, *number)
            })
            .collect();
        ends.sort_unstable();
        let start = host.now;
        for (millis, number) in ends {
            host.now = start + Duration::from_millis(millis + 14);
            host.answered(number);
            host.ended(number, AttemptOutcome::Complete);
        }
        host.wait(Duration::from_millis(100));
        host.boot_time += Duration::from_millis(400);
        host.prove();
    }
    let (_, decision) = host.arrive("/ask/1", (12_000, 30));
    assert_eq!(decision.backend(), "engine-1");
}

/// Guards against an engine that accepts connections but sends no answers: its queue would look
/// short for ever.
#[test]
fn an_engine_that_hangs_gets_no_more_requests() {
    let mut host = TestHost::with_backends();
    let (_, first) = host.arrive("/ask/1", (600, 30));
    host.wait(Duration::from_millis(800));
    host.prove();
    for _ in 0..5 {
        let (_, decision) = host.arrive("/urgent/1", (600, 30));
        assert_ne!(decision.backend(), first.backend());
    }
}

/// Guards against an engine that fails every request at once and would attract all others because
/// it is idle.
#[test]
fn an_engine_that_fails_gets_a_cooldown() {
    let mut host = TestHost::with_backends();
    for _ in 0..30 {
        let (number, decision) = host.arrive("/urgent/1", (600, 30));
        if decision.backend() == "engine-1" {
            host.ended(number, AttemptOutcome::Failed);
        } else {
            host.answered(number);
            host.ended(number, AttemptOutcome::Complete);
        }
        host.wait(Duration::from_millis(20));
    }
    host.prove();
    for _ in 0..5 {
        let (number, decision) = host.arrive("/urgent/1", (600, 30));
        assert_eq!(decision.backend(), "engine-22");
        host.answered(number);
        host.ended(number, AttemptOutcome::Complete);
    }
}

#[test]
fn running_requests_are_reported_as_absolute_loads() {
    let mut host = TestHost::with_backends();
    host.receive_loads(Vec::new());
    host.wait(Duration::from_millis(500));
    host.tick();
    let mut fx = host.arrive_effects("/ask/1", (600, 300));
    let backend = fx.iter().find_map(|effect| match effect {
        Effect::Send { backend, .. } => Some(backend.clone()),
        _ => None,
    });
    let key = backend_key(&backend.expect("it is sent"));
    host.wait(Duration::from_millis(10));
    fx.extend(host.tick());
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
