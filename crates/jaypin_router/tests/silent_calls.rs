//! Decisions about calls on which nothing arrives.

mod common;

use std::time::Duration;

use common::{Decision, ENGINES, PLAIN, TestHost, configuration, record, report, whole_report};
use jaypin_router::{
    AttemptOutcome, BackendRecord, BackendRun, BackendStatus, Crash, Event, RequestNumber, RunEnd,
    SilentCall, StayReason,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Three of the pauses that the routes allow.
const STALL: Duration = Duration::from_millis(1_500);
/// Longer than a sound engine is silent.
const LONG: Duration = Duration::from_millis(1_800);

/// A host on whose routes a request may run `attempts` times, with `allowance` resends and two backend
/// servers of each service.
fn host_with(attempts: u32, allowance: f64) -> TestHost {
    let mut host = TestHost::with_bounds(|bounds| {
        bounds.resend_allowance = allowance;
        bounds.resend_ratio = 0.0;
    });
    let mut configuration = configuration(1);
    for route in &mut configuration.routes {
        route.attempts = attempts;
    }
    host.configure(configuration);
    host.prove();
    host.tick();
    for (id, service) in [
        ("engine-1", ENGINES),
        ("engine-22", ENGINES),
        ("plain-1", PLAIN),
        ("plain-22", PLAIN),
    ] {
        host.set_entry(record(id, service, 9));
    }
    host
}

/// Sends a request; the first event of a stream arrives.
fn send(host: &mut TestHost, path: &str) -> (RequestNumber, String) {
    let (number, decision) = host.arrive(path, (100, 100));
    let backend = decision.backend().to_owned();
    if path.starts_with("/ask/") {
        host.wait(Duration::from_millis(50));
        host.answered(number);
    }
    (number, backend)
}

fn ask(host: &mut TestHost, number: RequestNumber, silence: Duration, accepts: bool) -> SilentCall {
    host.router.silent_call(host.now, number, silence, accepts)
}

/// Returns the reason for which a call goes on after a silence of [`LONG`], if it does.
fn reason_to_stay(host: &mut TestHost, number: RequestNumber) -> Option<StayReason> {
    host.wait(LONG);
    match ask(host, number, LONG, true) {
        SilentCall::Ends => None,
        SilentCall::GoesOn { reason, .. } => Some(reason),
    }
}

/// Makes all backend servers except one leave.
fn leave_only(host: &mut TestHost, kept: &str) {
    for id in ["engine-1", "engine-22", "plain-1", "plain-22"] {
        if id != kept {
            let service = if id.starts_with('e') { ENGINES } else { PLAIN };
            host.set_entry(BackendRecord {
                status: BackendStatus::Leaving,
                ..record(id, service, 9)
            });
        }
    }
}

macro_rules! silent_calls {
    ($($name:ident: $path:expr, attempts $attempts:expr, resends $allowance:expr, $act:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut host = host_with($attempts, $allowance);
                let (number, backend) = send(&mut host, $path);
                let act: fn(&mut TestHost, &str) = $act;
                act(&mut host, &backend);
                assert_eq!(reason_to_stay(&mut host, number), $expected);
            }
        )*
    };
}

// Guards against an answer that is ended because of a silence although its request can't go on elsewhere,
// and against a request that waits although it can.
silent_calls! {
    a_silent_stream_moves: "/ask/1", attempts 2, resends 8.0, |_, _| {} => None;
    a_silent_read_moves: "/read/1", attempts 2, resends 8.0, |_, _| {} => None;
    a_silent_command_stays: "/command/1", attempts 2, resends 8.0, |_, _| {} => Some(StayReason::NoRunLeft);
    a_silent_stream_with_one_attempt_stays: "/ask/1", attempts 1, resends 8.0, |_, _| {} => Some(StayReason::NoRunLeft);
    a_silent_read_with_one_attempt_stays: "/read/1", attempts 1, resends 8.0, |_, _| {} => Some(StayReason::NoRunLeft);
    a_silent_stream_without_a_resend_stays: "/ask/1", attempts 2, resends 0.0, |_, _| {} => Some(StayReason::NoResendLeft);
    a_silent_read_without_a_resend_stays: "/read/1", attempts 2, resends 0.0, |_, _| {} => Some(StayReason::NoResendLeft);
    a_silent_stream_at_the_only_engine_stays: "/ask/1", attempts 2, resends 8.0, leave_only => Some(StayReason::NoBackend);
    a_silent_read_at_the_only_server_stays: "/read/1", attempts 2, resends 8.0, leave_only => Some(StayReason::NoBackend);
    a_silent_stream_of_a_host_that_is_cut_off_stays: "/ask/1", attempts 2, resends 8.0, |host, _| {
        for id in ["engine-1", "engine-22", "plain-1", "plain-22"] {
            host.apply(Event::BackendUnreached(id.into()));
        }
    } => Some(StayReason::CutOff);
    a_silent_stream_out_of_time_stays: "/ask/1", attempts 2, resends 8.0, |host, _| {
        host.wait(Duration::from_secs(10));
    } => Some(StayReason::NoTimeLeft);
}

/// Guards against streams that leave a sound engine, which may be silent for a second or so, and against
/// streams that stay at one that is dead.
#[test]
fn an_engine_that_accepts_connections_may_be_silent_for_longer() {
    let mut host = host_with(2, 8.0);
    let (number, _) = send(&mut host, "/ask/1");
    host.wait(STALL);
    let short = SilentCall::GoesOn {
        reason: StayReason::Short,
        ask_again_after: LONG.checked_sub(STALL).expect("a shorter time"),
    };
    assert_eq!(ask(&mut host, number, STALL, true), short);
    assert_eq!(ask(&mut host, number, STALL, false), SilentCall::Ends);
    assert_eq!(ask(&mut host, number, LONG, true), SilentCall::Ends);
}

/// Guards against a stream that stays at a silent engine until its caller has left.
#[test]
fn a_silent_stream_moves_before_its_caller_leaves() {
    for (target, pause) in [(50, 20), (100, 100), (500, 300), (500, 500), (2_000, 1_000)] {
        let (target, pause) = (Duration::from_millis(target), Duration::from_millis(pause));
        let patience = Duration::from_secs(2).max(target * 4).max(pause * 8);
        let mut host = host_with(2, 8.0);
        let mut configuration = configuration(2);
        for route in &mut configuration.routes {
            (route.latency_target, route.longest_pause) = (target, Some(pause));
        }
        host.configure(configuration);
        host.prove();
        let (number, _) = send(&mut host, "/ask/1");
        let mut silence = pause * 3;
        host.wait(silence);
        while let SilentCall::GoesOn {
            reason,
            ask_again_after,
        } = ask(&mut host, number, silence, true)
        {
            assert_eq!(reason, StayReason::Short);
            silence += ask_again_after;
            host.wait(ask_again_after);
        }
        assert!(silence < patience, "{silence:?} of {patience:?}");
    }
}

/// Guards against a request that leaves a silent backend server and is then refused everywhere, because
/// its latency target has passed.
#[test]
fn a_request_that_left_a_silent_server_may_be_late() {
    for path in ["/read/1", "/ask/1"] {
        let mut host = TestHost::with_backends();
        let (number, _) = host.arrive(path, (100, 100));
        host.wait(LONG);
        let decision = host.ended(number, AttemptOutcome::Silent);
        assert!(
            matches!(decision, Decision::Sent(_)),
            "{path}: {decision:?}"
        );
    }
}

/// Guards against a decision that does not hold: a call that is ended because its request can go on
/// elsewhere, and then no backend server takes the request.
#[test]
fn a_request_whose_silent_call_ends_is_sent_at_once() {
    let (mut moved, mut stayed) = (0, 0);
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut host = host_with(rng.random_range(1..4), f64::from(rng.random_range(0..8)));
        let mut numbers = Vec::new();
        for n in 0..rng.random_range(1..30) {
            let path = ["/ask", "/read", "/command"][rng.random_range(0..3)];
            let (number, decision) =
                host.arrive(&format!("{path}/{n}"), (rng.random_range(1..9_000), 100));
            if matches!(decision, Decision::Sent(_)) {
                if rng.random_bool(0.6) {
                    host.answered(number);
                }
                numbers.push(number);
            }
            host.wait(Duration::from_millis(rng.random_range(0..60)));
        }
        for id in ["engine-1", "engine-22", "plain-1", "plain-22"] {
            match rng.random_range(0..24) {
                0 => leave_only(&mut host, id),
                1 => host.remove_entry(id),
                2 => drop(host.apply(Event::BackendUnreached(id.into()))),
                _ => {}
            }
        }
        for number in numbers {
            host.wait(Duration::from_millis(rng.random_range(0..300)));
            let silence = Duration::from_millis(rng.random_range(900..2_500));
            if ask(&mut host, number, silence, rng.random_bool(0.5)) != SilentCall::Ends {
                stayed += 1;
                continue;
            }
            moved += 1;
            let decision = host.ended(number, AttemptOutcome::Silent);
            assert!(
                matches!(decision, Decision::Sent(_)),
                "seed {seed}: {decision:?}"
            );
        }
    }
    assert!(
        moved > 1_000 && stayed > 1_000,
        "{moved} moved, {stayed} stayed"
    );
}

/// Guards against a stream that a silence cuts off because its request would not be sent elsewhere: an
/// engine has crashed under a part of its prompt.
#[test]
fn a_request_with_a_suspected_part_stays_at_a_silent_engine() {
    let mut host = host_with(2, 10.0);
    let part = 7;
    let (number, decision) = host.arrive_with(|it| it.shared_parts = vec![part]);
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
    host.answered(number);
    let mut whole = whole_report(2);
    whole.crashes = vec![Crash {
        run: BackendRun {
            key: 99,
            started: 1,
        },
        end: RunEnd::Confirmed,
        age: Duration::ZERO,
        suspects: vec![part],
    }];
    host.receive_report(report(1, whole));
    let reason = reason_to_stay(&mut host, number);
    assert_eq!(reason, Some(StayReason::Quarantined));
}

macro_rules! declined_elsewhere {
    ($($name:ident: $path:expr, more engines $more:expr, $outcome:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut host = host_with(2, 8.0);
                for n in (2..).take($more) {
                    host.set_entry(record(&format!("engine-{n}{n}{n}"), ENGINES, 9));
                }
                let (number, backend) = send(&mut host, $path);
                assert_eq!(reason_to_stay(&mut host, number), None);
                let mut decision = host.ended(number, AttemptOutcome::Silent);
                for _ in 0..10 {
                    host.wait(Duration::from_millis(5));
                    if decision.backend() == backend {
                        return;
                    }
                    decision = host.ended(number, AttemptOutcome::$outcome);
                }
                panic!("{decision:?}");
            }
        )*
    };
}

// Guards against an answer that is lost because its request has left a silent backend server, which would
// have gone on, for others that do not run it.
declined_elsewhere! {
    a_stream_that_another_engine_declines_returns: "/ask/1", more engines 0, NotRun;
    a_stream_that_does_not_reach_another_engine_returns: "/ask/1", more engines 0, Unreached;
    a_stream_that_is_withheld_from_another_engine_returns: "/ask/1", more engines 0, Withheld;
    a_stream_that_many_engines_decline_returns: "/ask/1", more engines 5, NotRun;
    a_read_that_another_server_declines_returns: "/read/1", more engines 0, NotRun;
}
