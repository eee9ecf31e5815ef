//! Decisions about requests whose attempts do not succeed.

mod common;

use std::time::{Duration, Instant};

use common::{Decision, ENGINES, TestHost, record};
use jaypin_core::{Ran, Reason};
use jaypin_router::{AttemptOutcome as Outcome, BackendRecord, Effect, ResendBudget};

/// Returns the decision about a request to `path` whose first attempt ended with `outcome`.
fn decision_after(path: &str, outcome: Outcome) -> Decision {
    let mut host = TestHost::with_backends();
    let (number, decision) = host.arrive(path, (100, 100));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
    host.ended(number, outcome)
}

macro_rules! sent_again {
    ($($name:ident: $path:expr, $outcome:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let decision = decision_after($path, Outcome::$outcome);
                assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
            }
        )*
    };
}

sent_again! {
    a_declined_command_goes_elsewhere: "/command/1", NotRun;
    an_unreached_command_goes_elsewhere: "/command/1", Unreached;
    a_command_to_a_replaced_backend_server_goes_elsewhere: "/command/1", Replaced;
    a_failed_read_runs_again: "/read/1", Failed;
    a_lost_read_runs_again: "/read/1", Lost;
    a_read_without_an_answer_runs_again: "/read/1", Silent;
    a_resumable_stream_goes_on_elsewhere: "/ask/1", Lost;
}

macro_rules! not_sent_again {
    ($($name:ident: $path:expr, $outcome:ident => $reason:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let decision = decision_after($path, Outcome::$outcome);
                assert_eq!(decision.refusal().reason, Reason::$reason);
                assert_eq!(decision.refusal().ran, Ran::Unknown);
            }
        )*
    };
}

// Guards against a wrong statement that the request did not run: the caller would repeat a
// command, such as opening a gate, that has already run.
not_sent_again! {
    a_lost_command_may_have_run: "/command/1", Lost => BackendLost;
    a_command_that_died_may_have_run: "/command/1", Died => BackendLost;
    a_command_out_of_time_may_have_run: "/command/1", TimedOut => TooLate;
    a_lost_stream_may_have_run: "/urgent/1", Lost => BackendLost;
}

#[test]
fn the_answer_of_a_failed_command_is_forwarded() {
    assert_eq!(
        decision_after("/command/1", Outcome::Failed),
        Decision::FailureForwarded
    );
}

#[test]
fn a_request_never_goes_to_the_same_backend_server_twice() {
    let mut host = TestHost::with_backends();
    let (number, first) = host.arrive("/read/1", (0, 0));
    let second = host.ended(number, Outcome::Failed);
    assert_ne!(first.backend(), second.backend());
    assert_eq!(
        host.ended(number, Outcome::Failed),
        Decision::FailureForwarded
    );
}

/// Guards against retries that double the load for nothing when all backend servers fail every
/// request.
#[test]
fn resends_keep_to_their_ratio_and_allowance() {
    let window = Duration::from_secs(10);
    let mut budget = ResendBudget::new(window, 0.2, 7.0);
    let mut now = Instant::now();
    let mut resent = 0;
    for _ in 0..1_000 {
        budget.record_request(now);
        resent += u32::from(budget.take(now));
        now += Duration::from_millis(5);
    }
    assert_eq!(resent, 207);
    now += window;
    assert!(
        budget.take(now),
        "resends of an earlier window no longer count"
    );
}

/// Guards against a request that crashes each engine that begins to run it and that its caller
/// repeats: after three engines it must be refused, as not run.
#[test]
fn a_request_that_crashes_engines_is_refused_after_three() {
    let mut host = TestHost::with_backends();
    for round in 0..3 {
        let (number, decision) = host.arrive_with(|it| it.fingerprint = 99);
        let crashed = decision.backend().to_owned();
        let mut decision = host.ended(number, Outcome::Died);
        if matches!(decision, Decision::Sent(_)) {
            decision = host.ended(number, Outcome::TimedOut);
        }
        assert_eq!(decision.refusal().ran, Ran::Unknown);
        host.wait(Duration::from_secs(4));
        // The next process of the engine registers.
        host.set_entry(BackendRecord {
            started: 2 + round,
            ..record(&crashed, ENGINES, 9)
        });
        host.prove();
        host.tick();
    }
    let (_, decision) = host.arrive_with(|it| it.fingerprint = 99);
    assert_eq!(decision.refusal().reason, Reason::Quarantined);
    assert_eq!(decision.refusal().ran, Ran::NotRun);
    let (_, other) = host.arrive("/ask/1", (10, 10));
    assert!(matches!(other, Decision::Sent(_)), "{other:?}");
}

#[test]
fn a_draining_host_accepts_requests_for_a_while_and_then_refuses() {
    let mut host = TestHost::with_backends();
    host.apply(jaypin_router::Event::Drain);
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
    host.wait(Duration::from_millis(2_600));
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    assert_eq!(decision.refusal().reason, Reason::Draining);
    assert!(!host.router.is_ready(host.boot_time));
}

/// Guards against a stream that is moved too early or too late when its engine hangs. The route
/// permits pauses of 600 ms: with the pause of another route, a stream that is only slow would be
/// moved; after the caller's timeout, nobody would be left to move it for.
#[test]
fn a_stream_is_given_up_after_three_pauses_of_its_own_route() {
    let mut configuration = common::configuration(1);
    for route in &mut configuration.routes {
        route.longest_pause = Some(Duration::from_millis(600));
    }
    let mut host = TestHost::new(configuration);
    host.set_entry(record("engine-1", ENGINES, 9));
    let stall_timeout = |host: &mut TestHost, path: &str| {
        let fx = host.arrive_effects(path, (600, 300));
        fx.iter().find_map(|effect| match effect {
            Effect::Send { stall_timeout, .. } => Some(*stall_timeout),
            _ => None,
        })
    };
    let resumable = stall_timeout(&mut host, "/ask/1");
    assert_eq!(resumable, Some(Some(Duration::from_millis(1_800))));
    assert_eq!(stall_timeout(&mut host, "/label/1"), Some(None));
}
