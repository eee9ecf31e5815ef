//! What becomes of calls that do not succeed.

mod common;

use std::time::{Duration, Instant};

use common::{ENGINES, TestHost, Told, record};
use jaypin_core::{Ran, Reason};
use jaypin_router::{AttemptOutcome as Outcome, Effect, ResendBudget};

/// What a request of a path is told after its first call ended so.
fn after(path: &str, outcome: Outcome) -> Told {
    let mut bed = TestHost::usual();
    let (number, told) = bed.arrive(path, (100, 100));
    assert!(matches!(told, Told::Sent(_)), "{told:?}");
    bed.ended(number, outcome)
}

macro_rules! once_more {
    ($($name:ident: $path:expr, $outcome:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let told = after($path, Outcome::$outcome);
                assert!(matches!(told, Told::Sent(_)), "{told:?}");
            }
        )*
    };
}

once_more! {
    a_declined_command_goes_elsewhere: "/command/1", NotRun;
    an_unreached_command_goes_elsewhere: "/command/1", Unreached;
    a_command_whose_address_has_another_goes_elsewhere: "/command/1", Replaced;
    a_failed_read_runs_again: "/read/1", Failed;
    a_lost_read_runs_again: "/read/1", Lost;
    a_read_without_an_answer_runs_again: "/read/1", Silent;
    a_resumable_stream_goes_on_elsewhere: "/ask/1", Lost;
}

macro_rules! never_again {
    ($($name:ident: $path:expr, $outcome:ident => $reason:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let told = after($path, Outcome::$outcome);
                assert_eq!(told.refusal().reason, Reason::$reason);
                assert_eq!(told.refusal().ran, Ran::Unknown);
            }
        )*
    };
}

// Whoever says "not run" of these could be wrong, and a gate would open twice.
never_again! {
    a_lost_command_may_have_run: "/command/1", Lost => BackendLost;
    a_command_that_died_may_have_run: "/command/1", Died => BackendLost;
    a_command_out_of_time_may_have_run: "/command/1", TimedOut => TooLate;
    a_lost_stream_may_have_run: "/urgent/1", Lost => BackendLost;
}

#[test]
fn a_command_that_failed_gets_its_own_answer() {
    assert_eq!(after("/command/1", Outcome::Failed), Told::PassedOn);
}

#[test]
fn a_request_never_goes_to_the_same_backend_server_twice() {
    let mut bed = TestHost::usual();
    let (number, first) = bed.arrive("/read/1", (0, 0));
    let second = bed.ended(number, Outcome::Failed);
    assert_ne!(first.backend(), second.backend());
    assert_eq!(bed.ended(number, Outcome::Failed), Told::PassedOn);
}

/// All backend servers fail everything. If each request were sent twice, they would get
/// twice the load for nothing.
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
    assert!(budget.take(now), "an old window is forgotten");
}

/// A request crashes each engine that begins to run it, and its caller sends it again and
/// again. After three engines it is refused, as not run.
#[test]
fn a_request_that_kills_engines_is_refused_after_three() {
    let mut bed = TestHost::usual();
    for _ in 0..3 {
        let (number, told) = bed.arrive_as(|it| it.fingerprint = 99);
        assert!(matches!(told, Told::Sent(_)), "{told:?}");
        let mut told = bed.ended(number, Outcome::Died);
        if matches!(told, Told::Sent(_)) {
            told = bed.ended(number, Outcome::TimedOut);
        }
        assert_eq!(told.refusal().ran, Ran::Unknown);
        bed.wait(Duration::from_secs(4));
        bed.prove();
        bed.tick();
    }
    let (_, told) = bed.arrive_as(|it| it.fingerprint = 99);
    assert_eq!(told.refusal().reason, Reason::Quarantined);
    assert_eq!(told.refusal().ran, Ran::NotRun);
    let (_, other) = bed.arrive("/ask/1", (10, 10));
    assert!(matches!(other, Told::Sent(_)), "{other:?}");
}

#[test]
fn a_leaving_host_takes_requests_for_a_while_and_then_refuses() {
    let mut bed = TestHost::usual();
    bed.apply(jaypin_router::Event::Drain);
    let (_, told) = bed.arrive("/ask/1", (10, 10));
    assert!(matches!(told, Told::Sent(_)), "{told:?}");
    bed.wait(Duration::from_millis(2_600));
    let (_, told) = bed.arrive("/ask/1", (10, 10));
    assert_eq!(told.refusal().reason, Reason::Draining);
    assert!(!bed.router.is_ready(bed.boot));
}

/// A route allows pauses of 600 ms. Its engine hangs in the middle of a stream: after the
/// pause of another route the stream would be moved while it was only slow, and after the
/// caller's patience there would be nobody left to move it for.
#[test]
fn a_stream_is_given_up_after_three_pauses_of_its_own_route() {
    let mut configuration = common::configuration(1);
    for route in &mut configuration.routes {
        route.longest_pause = Some(Duration::from_millis(600));
    }
    let mut bed = TestHost::new(configuration);
    bed.set_entry(record("engine-1", ENGINES, 9));
    let pauses = |bed: &mut TestHost, path: &str| {
        let fx = bed.arrive_fx(path, (600, 300));
        fx.iter().find_map(|effect| match effect {
            Effect::Send {
                stall_timeout: longest_pause,
                ..
            } => Some(*longest_pause),
            _ => None,
        })
    };
    let resumable = pauses(&mut bed, "/ask/1");
    assert_eq!(resumable, Some(Some(Duration::from_millis(1_800))));
    assert_eq!(pauses(&mut bed, "/label/1"), Some(None));
}
