//! Which request contents are suspected of crashing backend servers, and which are
//! quarantined.

use std::time::{Duration, Instant};

use jaypin_core::{BackendId, LostCall, Quarantine};

const QUARANTINE_DURATION: Duration = Duration::from_mins(10);
const CRASH_LIMIT: u32 = 2;

fn lost(fingerprint: u64) -> LostCall {
    LostCall {
        fingerprint,
        had_first_token: false,
    }
}

/// Crashes a backend server that was running these calls, and returns the time of the
/// evaluation 1 s later.
fn crash(quarantine: &mut Quarantine, now: Instant, calls: &[LostCall]) -> Instant {
    for lost in calls {
        quarantine.record_lost_call(now, &BackendId::from("engine-0"), *lost);
    }
    let later = now + Duration::from_secs(1);
    quarantine.evaluate_crashes(later, CRASH_LIMIT);
    later
}

fn is_quarantined(quarantine: &Quarantine, now: Instant, fingerprint: u64) -> bool {
    quarantine
        .remaining_quarantine(now, fingerprint, CRASH_LIMIT, QUARANTINE_DURATION)
        .is_some()
}

#[test]
fn two_crashes_under_one_request_quarantine_it_for_a_time() {
    let mut quarantine = Quarantine::default();
    let now = crash(&mut quarantine, Instant::now(), &[lost(1)]);
    assert!(!is_quarantined(&quarantine, now, 1));
    let now = crash(&mut quarantine, now, &[lost(1)]);
    assert!(is_quarantined(&quarantine, now, 1));
    assert!(!is_quarantined(&quarantine, now + QUARANTINE_DURATION, 1));
}

#[test]
fn a_request_with_a_first_token_is_not_suspected() {
    let mut quarantine = Quarantine::default();
    let served = LostCall {
        had_first_token: true,
        ..lost(2)
    };
    let mut now = Instant::now();
    for _ in 0..2 {
        now = crash(&mut quarantine, now, &[lost(1), served]);
    }
    assert!(is_quarantined(&quarantine, now, 1));
    assert_eq!(quarantine.crash_count(2), 0);
}

/// Two requests without a first token are always lost in the same crash. Either may be the
/// cause, so neither is quarantined until one of them is lost alone.
#[test]
fn requests_lost_together_are_suspected_but_not_quarantined() {
    let mut quarantine = Quarantine::default();
    let mut now = Instant::now();
    for _ in 0..3 {
        now = crash(&mut quarantine, now, &[lost(1), lost(2)]);
    }
    assert!(!is_quarantined(&quarantine, now, 1) && !is_quarantined(&quarantine, now, 2));
    now = crash(&mut quarantine, now, &[lost(1)]);
    assert!(is_quarantined(&quarantine, now, 1) && !is_quarantined(&quarantine, now, 2));
}

#[test]
fn a_received_crash_count_is_applied_once() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    assert!(quarantine.record_crash_count(now, 1, 2));
    assert!(!quarantine.record_crash_count(now, 1, 2) && !quarantine.record_crash_count(now, 1, 1));
    assert!(is_quarantined(&quarantine, now, 1));
}
