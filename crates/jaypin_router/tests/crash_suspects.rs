//! Which contents and parts of prompts one host holds to be the cause of crashes.

use std::time::{Duration, Instant};

use jaypin_router::{BackendRun, ClearedSuspect, Crash, CrashEvidence, RunEnd};

const BAD: u64 = 7;
const COMMON: u64 = 8;
const CONTENT: u64 = 9;
const MS: Duration = Duration::from_millis(1);

fn crash(key: u32, age: Duration, suspects: &[u64]) -> Crash {
    Crash {
        run: BackendRun { key, started: 1 },
        end: RunEnd::Confirmed,
        age,
        suspects: suspects.to_vec(),
    }
}

/// Returns the evidence of crashes, one every 200 ms, and the time of the last one.
fn evidence_of(crashes: &[Vec<u64>]) -> (CrashEvidence, Instant) {
    let mut evidence = CrashEvidence::default();
    let mut now = Instant::now();
    for (key, suspects) in (1..).zip(crashes) {
        now += 200 * MS;
        evidence.apply_crash(&crash(key, Duration::ZERO, suspects), now);
    }
    (evidence, now)
}

fn is_refused(evidence: &CrashEvidence, parts: &[u64], now: Instant) -> bool {
    let mut quarantined = parts
        .iter()
        .filter_map(|it| evidence.remaining_part_quarantine(*it, parts, now));
    quarantined.next().is_some()
}

#[test]
fn a_part_is_quarantined_from_four_crashes_on() {
    let (evidence, now) = evidence_of(&vec![vec![BAD]; 3]);
    assert!(!is_refused(&evidence, &[BAD], now));
    let (evidence, now) = evidence_of(&vec![vec![BAD]; 4]);
    assert!(is_refused(
        &evidence,
        &[BAD, COMMON],
        now + Duration::from_mins(1)
    ));
}

/// Guards against parts that are refused after backend servers failed together.
#[test]
fn crashes_at_the_same_time_quarantine_no_part() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now() + Duration::from_secs(1);
    for key in 1..9 {
        evidence.apply_crash(&crash(key, key * 10 * MS, &[COMMON]), now);
    }
    assert!(!is_refused(&evidence, &[COMMON], now));
}

/// Guards against a part that all requests share, and that is refused with the one at fault.
#[test]
fn a_part_that_was_sound_before_the_crashes_is_not_suspected() {
    let mut evidence = CrashEvidence::default();
    let mut now = Instant::now();
    evidence.record_completion(COMMON, now);
    for key in 1..6 {
        now += 200 * MS;
        evidence.apply_crash(&crash(key, Duration::ZERO, &[BAD, COMMON]), now);
    }
    let later = now + Duration::from_secs(10);
    assert!(is_refused(&evidence, &[BAD, COMMON], later));
    assert!(!is_refused(&evidence, &[COMMON], later));
}

/// Guards against a harmless content that was lost in several crashes, all caused by something else.
#[test]
fn crashes_that_one_part_explains_count_for_no_other_suspect() {
    let mut crashes = vec![vec![BAD, CONTENT]; 3];
    crashes.extend(vec![vec![BAD]; 3]);
    let (evidence, now) = evidence_of(&crashes);
    assert!(is_refused(&evidence, &[BAD], now));
    assert!(evidence.remaining_quarantine(CONTENT, now).is_none());
}

/// Guards against a verdict on two parts that nothing can end, because no request is sent that would
/// tell them apart.
#[test]
fn parts_that_cannot_be_told_apart_are_tried_separately() {
    let (mut evidence, now) = evidence_of(&vec![vec![BAD, COMMON]; 5]);
    assert!(is_refused(&evidence, &[COMMON], now + 500 * MS));
    let now = now + Duration::from_secs(2);
    assert!(!is_refused(&evidence, &[COMMON], now));
    assert!(is_refused(&evidence, &[BAD, COMMON], now));
    evidence.record_completion(COMMON, now);
    assert!(is_refused(&evidence, &[BAD], now));
}

/// Guards against trials that go on crashing backend servers.
#[test]
fn trials_end_after_a_few_crashes() {
    let (mut evidence, mut now) = evidence_of(&vec![vec![BAD, COMMON]; 5]);
    let mut trials = 0;
    for key in 10..20 {
        now += Duration::from_secs(2);
        if !is_refused(&evidence, &[BAD], now) {
            trials += 1;
            evidence.apply_crash(&crash(key, Duration::ZERO, &[BAD]), now);
        }
    }
    assert!(trials <= 3, "{trials} trials");
}

/// Guards against a part that goes on crashing backend servers in requests that are sent to tell it
/// apart from something that was lost in fewer crashes, such as the content of a repeated request.
#[test]
fn a_part_that_was_lost_in_more_crashes_than_its_rivals_is_not_tried() {
    let repeated = vec![BAD, COMMON, CONTENT];
    let mut crashes = vec![repeated; 3];
    crashes.extend([vec![BAD, 21], vec![BAD, 22]]);
    let (evidence, now) = evidence_of(&crashes);
    let later = now + Duration::from_secs(3);
    assert!(is_refused(&evidence, &[BAD, 23], later));
    assert!(!is_refused(&evidence, &[COMMON, 23], later));
}

/// Guards against reports that grow with each call that was lost beside the bad one.
#[test]
fn reports_leave_out_what_is_sound() {
    let (mut evidence, now) = evidence_of(&vec![vec![BAD, COMMON]; 2]);
    evidence.record_completion(COMMON, now);
    let reported = evidence.crashes_to_report(now);
    assert!(!reported.is_empty());
    assert!(
        reported.iter().all(|it| it.suspects == [BAD]),
        "{reported:?}"
    );
    assert_eq!(evidence.latest_crashes(now)[0].suspects, [BAD]);
}

/// Guards against hosts that suspect a part which another host saw to be sound before the crashes.
#[test]
fn a_host_tells_of_a_suspect_that_it_saw_to_be_sound() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now() + Duration::from_secs(9);
    evidence.record_completion(COMMON, now);
    assert!(evidence.completions_to_report(now).is_empty());
    evidence.apply_crash(&crash(1, 300 * MS, &[COMMON]), now);
    assert!(evidence.apply_crash(&crash(2, Duration::ZERO, &[COMMON]), now));
    let told = evidence.completions_to_report(now);
    assert_eq!(
        told.iter().map(|it| it.suspect).collect::<Vec<_>>(),
        [COMMON]
    );
    assert!(!evidence.apply_crash(&crash(3, Duration::ZERO, &[COMMON]), now));
    let mut peer = CrashEvidence::default();
    peer.apply_completion(&told[0], now);
    for key in 1..9 {
        let age = key * 200 * MS;
        peer.apply_crash(&crash(key, age, &[COMMON]), now + Duration::from_secs(2));
    }
    assert_eq!(peer.crash_count(COMMON), 0);
}

/// Guards against a crash between two events that looks like the end of the answer.
#[test]
fn an_answer_that_a_crash_may_have_cut_off_is_lost_with_it() {
    let now = Instant::now() + Duration::from_secs(9);
    for (age, is_lost) in [(Duration::ZERO, true), (5_000 * MS, false)] {
        let mut evidence = CrashEvidence::default();
        let run = BackendRun { key: 1, started: 1 };
        evidence.record_possible_cut(run, BAD, now);
        evidence.apply_crash(&crash(1, age, &[CONTENT]), now);
        assert_eq!(evidence.crash_count(BAD), usize::from(is_lost), "{age:?}");
    }
}

/// Guards against lost calls that don't count, because answers that end with their connection fill
/// the memory of what is not yet evidence.
#[test]
fn answers_that_may_be_cut_off_leave_room_for_lost_calls() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    let run = |key| BackendRun { key, started: 1 };
    let run_of = |content| run(100 + content % 50);
    for content in 1_000..5_000_u32 {
        evidence.record_possible_cut(run_of(content), content.into(), now);
    }
    evidence.record_lost_call(run(2), BAD, true, now);
    evidence.record_contact(run(3), now + 10 * MS);
    assert_eq!(evidence.crash_count(BAD), 1);
    let last = crash(run_of(4_999).key, Duration::ZERO, &[]);
    evidence.apply_crash(&last, now + 20 * MS);
    assert_eq!(evidence.crash_count(4_999), 1);
}

/// Guards against a memory that grows with each request.
#[test]
fn what_is_sound_is_forgotten_when_there_is_too_much() {
    let mut evidence = CrashEvidence::default();
    let now = Instant::now();
    for suspect in 0..20_000 {
        let at = now + u32::try_from(suspect).expect("few") * MS;
        evidence.record_completion(1_000 + suspect, at);
    }
    let later = now + Duration::from_secs(20);
    evidence.apply_crash(&crash(1, Duration::ZERO, &[1_000, 20_999]), later);
    assert_eq!(evidence.crash_count(1_000), 1);
    assert_eq!(evidence.crash_count(20_999), 0);
    let cleared = ClearedSuspect {
        suspect: 1_000,
        age: MS,
    };
    evidence.apply_completion(&cleared, later);
    assert_eq!(evidence.crash_count(1_000), 0);
}
