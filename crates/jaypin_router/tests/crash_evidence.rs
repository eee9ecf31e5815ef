//! What one host concludes from lost calls, answers and the reports of its peers.

use std::time::{Duration, Instant};

use jaypin_router::{BackendRun, ClearedSuspect, Crash, CrashEvidence, RunEnd};

const BAD: u64 = 7;
const MS: Duration = Duration::from_millis(1);

fn run(key: u32) -> BackendRun {
    BackendRun { key, started: 1 }
}

/// Records a call with the bad content that was lost with an unreachable run, and an answer of
/// another run. Returns the time afterwards.
fn lose(evidence: &mut CrashEvidence, key: u32, now: Instant) -> Instant {
    evidence.record_lost_call(run(key), BAD, true, now);
    evidence.record_answer(run(100), now + 5 * MS, now + 10 * MS);
    now + 20 * MS
}

/// Refutes a crash by an answer to a later request. Returns the time afterwards.
fn refute(evidence: &mut CrashEvidence, key: u32, now: Instant) -> Instant {
    let sent_at = now + 200 * MS;
    evidence.record_answer(run(key), sent_at, sent_at + 10 * MS);
    sent_at + 20 * MS
}

fn reported(end: RunEnd, age: Duration) -> Crash {
    Crash {
        run: run(1),
        end,
        age,
        suspects: vec![BAD],
    }
}

/// Guards against crashes that never count, because an earlier cut between hosts and the same runs
/// was refuted.
#[test]
fn a_crash_after_a_refuted_one_counts() {
    let mut evidence = CrashEvidence::default();
    let mut now = Instant::now();
    for key in 1..4 {
        now = lose(&mut evidence, key, now);
        now = refute(&mut evidence, key, now);
    }
    assert_eq!(evidence.crash_count(BAD), 0);
    for key in 1..4 {
        now = lose(&mut evidence, key, now + 2_000 * MS);
    }
    assert_eq!(evidence.crash_count(BAD), 3);
    assert!(evidence.remaining_quarantine(BAD, now).is_some());
}

/// Guards against a content that counts as lost in the end of a run that outlived the cut in which
/// the content was lost.
#[test]
fn the_end_of_a_run_long_after_a_refuted_crash_counts_nothing() {
    let mut evidence = CrashEvidence::default();
    let now = lose(&mut evidence, 1, Instant::now());
    let now = refute(&mut evidence, 1, now);
    evidence.record_end(run(1), now + 60_000 * MS);
    assert_eq!(evidence.crash_count(BAD), 0);
}

#[test]
fn a_lost_call_without_any_contact_counts_nothing() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    evidence.record_lost_call(run(1), BAD, true, now);
    assert!(evidence.needs_contact(now + 100 * MS));
    evidence.record_answer(run(2), now + 2_000 * MS, now + 2_010 * MS);
    assert_eq!(evidence.crash_count(BAD), 0);
    evidence.record_end(run(1), now + 3_000 * MS);
    assert_eq!(evidence.crash_count(BAD), 1);
}

#[test]
fn a_content_that_is_served_completely_is_cleared() {
    let mut evidence = CrashEvidence::default();
    let mut now = Instant::now();
    for key in 1..4 {
        now = lose(&mut evidence, key, now);
    }
    assert!(evidence.remaining_quarantine(BAD, now).is_some());
    let age = 10 * MS;
    evidence.apply_completion(&ClearedSuspect { suspect: BAD, age }, now);
    assert!(evidence.remaining_quarantine(BAD, now).is_none());
}

macro_rules! orders {
    ($($name:ident: $first:expr, $second:expr => $count:expr;)*) => {
        $(
            /// Guards against hosts that conclude different things from the same reports in
            /// another order.
            #[test]
            fn $name() {
                let [first, second] = [$first, $second].map(|(end, age)| reported(end, age * MS));
                for reports in [[&first, &second, &first], [&second, &first, &second]] {
                    let mut evidence = CrashEvidence::default();
                    let now = Instant::now() + Duration::from_mins(1);
                    for report in reports {
                        evidence.apply_crash(report, now);
                    }
                    assert_eq!(evidence.crash_count(BAD), $count, "{reports:?}");
                }
            }
        )*
    };
}

orders! {
    a_refuted_crash_counts_in_no_order: (RunEnd::Suspected, 900), (RunEnd::Refuted, 500) => 0;
    a_crash_after_a_refutation_counts_in_any_order: (RunEnd::Refuted, 900), (RunEnd::Suspected, 500) => 1;
    a_confirmed_crash_counts_in_any_order: (RunEnd::Refuted, 500), (RunEnd::Confirmed, 900) => 1;
    the_same_crash_counts_once: (RunEnd::Suspected, 900), (RunEnd::Suspected, 800) => 1;
}
