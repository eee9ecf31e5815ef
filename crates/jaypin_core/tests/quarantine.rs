//! Who is suspected of crashing backend servers, and who is refused.

use std::time::{Duration, Instant};

use jaypin_core::{BackendId, LostCall, Quarantine};

const HOLD: Duration = Duration::from_mins(10);
const LIMIT: u32 = 2;

fn lost(fingerprint: u64) -> LostCall {
    LostCall {
        fingerprint,
        had_first_token: false,
    }
}

fn die(quarantine: &mut Quarantine, now: Instant, together: &[LostCall]) -> Instant {
    for lost in together {
        quarantine.record_lost_call(now, &BackendId::from("engine-0"), *lost);
    }
    let later = now + Duration::from_secs(1);
    quarantine.evaluate_crashes(later, LIMIT);
    later
}

fn is_held(quarantine: &Quarantine, now: Instant, fingerprint: u64) -> bool {
    quarantine
        .remaining_quarantine(now, fingerprint, LIMIT, HOLD)
        .is_some()
}

#[test]
fn two_deaths_under_one_request_hold_it_for_a_time() {
    let mut quarantine = Quarantine::default();
    let now = die(&mut quarantine, Instant::now(), &[lost(1)]);
    assert!(!is_held(&quarantine, now, 1));
    let now = die(&mut quarantine, now, &[lost(1)]);
    assert!(is_held(&quarantine, now, 1));
    assert!(!is_held(&quarantine, now + HOLD, 1));
}

#[test]
fn who_had_a_token_is_not_suspected() {
    let mut quarantine = Quarantine::default();
    let served = LostCall {
        had_first_token: true,
        ..lost(2)
    };
    let mut now = Instant::now();
    for _ in 0..2 {
        now = die(&mut quarantine, now, &[lost(1), served]);
    }
    assert!(is_held(&quarantine, now, 1));
    assert_eq!(quarantine.crash_count(2), 0);
}

/// Two new requests always die together: either may be the cause, so neither is refused
/// until one of them dies alone.
#[test]
fn those_that_die_together_are_suspected_and_not_refused() {
    let mut quarantine = Quarantine::default();
    let mut now = Instant::now();
    for _ in 0..3 {
        now = die(&mut quarantine, now, &[lost(1), lost(2)]);
    }
    assert!(!is_held(&quarantine, now, 1) && !is_held(&quarantine, now, 2));
    now = die(&mut quarantine, now, &[lost(1)]);
    assert!(is_held(&quarantine, now, 1) && !is_held(&quarantine, now, 2));
}

#[test]
fn strikes_that_are_heard_of_count_once() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    assert!(quarantine.record_crash_count(now, 1, 2));
    assert!(!quarantine.record_crash_count(now, 1, 2) && !quarantine.record_crash_count(now, 1, 1));
    assert!(is_held(&quarantine, now, 1));
}
