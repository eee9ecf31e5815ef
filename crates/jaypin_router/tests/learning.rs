//! What hosts tell each other of backend servers' speed.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, record};
use jaypin_router::{AttemptOutcome, BackendSamples, Effect, Event, Report, backend_key};

/// Samples in the reports of a call and of the while after it.
fn told_of_a_call(bed: &mut TestHost, time: Duration) -> Vec<BackendSamples> {
    let (number, _) = bed.arrive("/ask/1", (600, 30));
    bed.wait(Duration::from_millis(30));
    bed.answered(number);
    let outcome = AttemptOutcome::Complete;
    let mut fx = bed.apply(Event::AttemptEnded { number, outcome });
    let end = bed.now + time;
    while bed.now < end {
        bed.wait(Duration::from_millis(50));
        fx.extend(bed.tick());
    }
    let samples = fx.into_iter().filter_map(|effect| match effect {
        Effect::SendReport { report, .. } => Some(report.samples),
        _ => None,
    });
    samples.flatten().collect()
}

fn report(sequence: u64, samples: Vec<BackendSamples>) -> Report {
    Report {
        samples,
        ..common::report(sequence, common::whole_report(2))
    }
}

/// Calls that a peer had no success with.
fn failures(bad: u32) -> BackendSamples {
    BackendSamples {
        bad,
        ..BackendSamples::none(backend_key("engine-1"))
    }
}

/// A host that has used thirty engines tells thirty others what it learned of each, several
/// times a second, though it learns something of two: on a small host's link that is most
/// of what it sends.
#[test]
fn what_was_learned_is_told_twice_and_not_for_ever() {
    let mut bed = TestHost::new(common::configuration(1));
    bed.set_entry(record("engine-1", ENGINES, 9));
    bed.receive_report(report(1, Vec::new()));
    let first = told_of_a_call(&mut bed, Duration::from_secs(3));
    assert_eq!(first.iter().map(|it| it.good).collect::<Vec<_>>(), [1, 1]);
    bed.prove();
    bed.receive_report(report(2, Vec::new()));
    let again = told_of_a_call(&mut bed, Duration::from_secs(3));
    assert_eq!(again.iter().map(|it| it.good).collect::<Vec<_>>(), [2, 2]);
}

/// A peer's engine fails everything; this host has not called it and must not have to.
#[test]
fn a_peer_that_was_heard_from_its_start_teaches_at_once() {
    let mut bed = TestHost::new(common::configuration(1));
    bed.set_entry(record("engine-1", ENGINES, 9));
    bed.set_entry(record("engine-22", ENGINES, 9));
    bed.receive_report(report(1, Vec::new()));
    bed.receive_report(report(2, vec![failures(20)]));
    let (_, told) = bed.arrive("/ask/1", (600, 30));
    assert_eq!(told.backend(), "engine-22");
}

/// A host that has just started hears a peer that has run for hours. What failed there in
/// that time says nothing of now.
#[test]
fn totals_of_a_peer_that_ran_before_are_where_its_differences_begin() {
    let mut bed = TestHost::new(common::configuration(1));
    bed.set_entry(record("engine-1", ENGINES, 9));
    bed.receive_report(report(5_000, Vec::new()));
    bed.receive_report(report(5_001, vec![failures(2_000)]));
    let (_, told) = bed.arrive("/ask/1", (600, 30));
    assert_eq!(told.backend(), "engine-1");
    bed.receive_report(report(5_002, vec![failures(2_020)]));
    bed.set_entry(record("engine-22", ENGINES, 9));
    let (_, told) = bed.arrive("/ask/1", (600, 30));
    assert_eq!(told.backend(), "engine-22");
}
