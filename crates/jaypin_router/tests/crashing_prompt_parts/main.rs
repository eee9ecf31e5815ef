//! A part of prompts that crashes each engine that begins to write an answer on it, in a fleet of
//! hosts whose reports are delayed and lost.

#[path = "../common/mod.rs"]
mod common;
#[path = "../common/fleet.rs"]
mod fleet;
mod scenario;

use std::ops::Range;
use std::time::Duration;

use common::{Decision, TestHost, report, whole_report};
use jaypin_core::BackendId;
use jaypin_router::{AttemptOutcome, BackendRun, Crash, RequestNumber, RunEnd};
use rand::RngExt;
use scenario::{
    AFTER_EVENTS, BACK_AT_ONCE, LATE_CALLS, LOOKS_COMPLETE, Position, REFUSING, REPLACED, Scenario,
};

const SEEDS: Range<u64> = 1..6;
/// A seed for large fleets, which take long to simulate.
const ONE_SEED: Range<u64> = 1..2;

macro_rules! contained {
    ($($name:ident: $seeds:expr, $hosts:expr, $kind:expr, $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut failed = Vec::new();
                for seed in $seeds {
                    let mut scenario = Scenario::new($hosts, seed, $kind);
                    let change: fn(&mut Scenario) = $change;
                    change(&mut scenario);
                    let counts = scenario.run();
                    println!("seed {seed}: {counts:?}");
                    assert!(counts.begun_before > 0.5, "seed {seed}: {counts:?}");
                    assert!(counts.crashes >= 3 && counts.bad_calls >= 3, "seed {seed}: {counts:?}");
                    let is_served = counts.begun_after >= counts.begun_before / 2.0;
                    if counts.late_calls > LATE_CALLS || !is_served {
                        failed.push((seed, counts));
                    }
                }
                assert!(failed.is_empty(), "{failed:#?}");
            }
        )*
    };
}

// Guards against a prompt part that goes on crashing engines after the fifth, because no two requests
// with it are alike, and against sound requests that are refused with it.
contained! {
    prompt_part_in_the_middle_is_found: SEEDS, 13, REFUSING, |_| {};
    prompt_part_at_the_front_is_found: SEEDS, 13, REFUSING, |it| it.position = Position::First;
    prompt_part_behind_a_common_first_part_is_found: SEEDS, 13, REFUSING, |it| it.first_parts = 1;
    prompt_part_behind_forty_first_parts_is_found: SEEDS, 13, REFUSING, |it| it.first_parts = 40;
    prompt_part_is_found_where_it_crashes_after_events: SEEDS, 13, AFTER_EVENTS, |_| {};
    prompt_part_is_found_where_engines_return_under_other_ids: SEEDS, 13, REPLACED, |_| {};
    prompt_part_is_found_where_engines_return_at_once: SEEDS, 13, BACK_AT_ONCE, |_| {};
    prompt_part_is_found_by_several_hosts_at_once: SEEDS, 13, REFUSING, |it| it.at_once = 4;
    prompt_part_is_found_while_reports_are_lost: SEEDS, 13, REFUSING, |it| {
        it.fleet.report_loss = 0.1;
    };
    prompt_part_is_found_beside_ordinary_crashes: SEEDS, 13, REFUSING, |it| {
        it.ordinary_crashes = [4, 6, 9, 12].map(Duration::from_secs).to_vec();
    };
    prompt_part_is_found_where_cut_answers_look_complete: SEEDS, 13, LOOKS_COMPLETE, |_| {};
    prompt_part_is_found_where_answers_state_no_length: SEEDS, 13, REFUSING, |it| {
        it.fleet.backends.outcome = AttemptOutcome::Unverified;
    };
    prompt_part_is_found_where_answers_are_short: SEEDS, 13, REFUSING, |it| {
        it.fleet.backends.writing_ms = 20..400;
    };
    prompt_part_is_found_beside_few_sound_requests: SEEDS, 13, REFUSING, |it| it.rates.0 = 4.0;
    prompt_part_of_rare_requests_is_found: SEEDS, 13, REFUSING, |it| it.rates.1 = 1.5;
    prompt_part_is_found_over_cells: ONE_SEED, 42, REFUSING, |_| {};
    prompt_part_is_found_by_145_hosts: ONE_SEED, 145, REFUSING, |it| it.end = Duration::from_secs(14);
}

/// Guards against a common first part that is refused for minutes with the bad one, because no answer
/// had been written on it before the first crash, so that the two can't be told apart.
#[test]
fn prompt_part_is_found_from_the_first_request_on() {
    let cases = [
        (1, Position::Middle, (30.0, 8.0)),
        (1, Position::Middle, (4.0, 8.0)),
        (1, Position::Middle, (30.0, 30.0)),
        (1, Position::Middle, (10.0, 20.0)),
        (1, Position::First, (30.0, 30.0)),
        (40, Position::Middle, (30.0, 8.0)),
    ];
    for (first_parts, position, rates) in cases {
        for seed in 1..9 {
            let mut scenario = Scenario::new(13, seed, REFUSING);
            scenario.first_parts = first_parts;
            scenario.position = position;
            scenario.rates = rates;
            scenario.bad_from = Duration::ZERO;
            let counts = scenario.run();
            println!("{first_parts} {position:?} {rates:?}, seed {seed}: {counts:?}");
            assert!(counts.late_calls <= LATE_CALLS, "seed {seed}: {counts:?}");
            assert!(counts.begun_after >= 0.5, "seed {seed}: {counts:?}");
        }
    }
}

/// Guards against parts of sound prompts that are refused because they were lost in crashes that have
/// another cause.
#[test]
fn ordinary_crashes_quarantine_nothing() {
    for seed in 1..11 {
        for first_parts in [1, 8, 40] {
            let mut scenario = Scenario::new(13, seed, REFUSING);
            scenario.first_parts = first_parts;
            scenario.rates.1 = 0.0;
            let crashes = [1, 4, 7, 10, 13].map(Duration::from_secs);
            scenario.ordinary_crashes = crashes.to_vec();
            let counts = scenario.run();
            assert_eq!(counts.quarantined, 0, "seed {seed}: {counts:?}");
        }
    }
}

/// Guards against harmless contents that are refused because all hosts lose all connections for a
/// moment, while their callers ask for them again and again.
#[test]
fn contents_that_were_served_before_a_cut_of_all_hosts_are_not_quarantined() {
    for seed in SEEDS {
        let mut scenario = Scenario::new(6, seed, REFUSING);
        let fleet = &mut scenario.fleet;
        let mut asked: Vec<RequestNumber> = Vec::new();
        let mut is_cut = false;
        while fleet.since_start() < Duration::from_secs(16) {
            let at = fleet.since_start();
            if at >= Duration::from_secs(8) && !is_cut {
                is_cut = true;
                let until = fleet.now + Duration::from_millis(500);
                fleet.backends.cut_until = Some(until);
                let all: Vec<_> = (0..fleet.hosts.len()).collect();
                for n in 0..scenario.engines {
                    let id = BackendId::from(format!("engine-{n}").as_str());
                    let after = Duration::from_millis(15);
                    fleet.lose_calls(&id, &all, after, AttemptOutcome::Died);
                }
            }
            // While the cut lasts, some connections are made and lost at once.
            if fleet.backends.cut_until.is_some_and(|it| fleet.now < it) {
                for n in 0..scenario.engines {
                    if fleet.rng.random_range(0.0..1.0) < 0.3 {
                        let id = BackendId::from(format!("engine-{n}").as_str());
                        let host = fleet.rng.random_range(0..fleet.hosts.len());
                        fleet.lose_calls(&id, &[host], Duration::ZERO, AttemptOutcome::Died);
                    }
                }
            }
            if at.as_millis().is_multiple_of(30) {
                let n = fleet.rng.random_range(0..fleet.hosts.len());
                let content = u64::MAX - fleet.rng.random_range(0..6);
                asked.push(fleet.arrive_content(n, content));
            }
            fleet.step();
        }
        let quarantined = asked.iter().filter(|it| fleet.quarantined.contains(it));
        let quarantined = quarantined.count();
        println!("seed {seed}: {quarantined} of {} quarantined", asked.len());
        assert_eq!(quarantined, 0, "seed {seed}");
    }
}

/// Guards against a lost request that crashes a second engine, although another crash under a part of
/// its prompt is known.
#[test]
fn a_lost_request_with_a_suspected_part_is_not_repeated() {
    let cases = [
        (vec![], 0, true),
        (vec![8], 1, true),
        (vec![7], 1, false),
        (vec![7], 3, false),
    ];
    for (crashed, crashes, is_repeated) in cases {
        let mut host = TestHost::with_backends();
        let mut whole = whole_report(2);
        let crash = |key| Crash {
            run: BackendRun { key, started: 1 },
            end: RunEnd::Confirmed,
            age: Duration::from_secs(1),
            suspects: crashed.clone(),
        };
        whole.crashes = (0..crashes).map(crash).collect();
        host.receive_report(report(1, whole));
        let mut number = 0;
        host.arrive_all(|arrival| {
            number = arrival.number;
            arrival.shared_parts = vec![7];
        });
        let decision = host.ended(number, AttemptOutcome::Died);
        let is_sent = matches!(decision, Decision::Sent(_));
        assert_eq!(is_sent, is_repeated, "{decision:?}");
    }
}
