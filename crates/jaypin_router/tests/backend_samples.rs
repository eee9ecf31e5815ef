//! Samples of backend servers' speed and failures that hosts report to each other.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, record};
use jaypin_router::{AttemptOutcome, BackendSamples, Effect, Event, Report, backend_key};

/// Returns the samples in the reports that are sent at the end of a call and for `time` after it.
fn samples_reported_after_call(host: &mut TestHost, time: Duration) -> Vec<BackendSamples> {
    let (number, _) = host.arrive("/ask/1", (600, 30));
    host.wait(Duration::from_millis(30));
    host.answered(number);
    let outcome = AttemptOutcome::Complete;
    let mut fx = host.apply(Event::AttemptEnded { number, outcome });
    let end = host.now + time;
    while host.now < end {
        host.wait(Duration::from_millis(50));
        fx.extend(host.tick());
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

/// Returns samples with `bad` failed calls of `engine-1`.
fn failures(bad: u32) -> BackendSamples {
    BackendSamples {
        bad,
        ..BackendSamples::none(backend_key("engine-1"))
    }
}

/// Guards against reports that repeat old samples. A host that has used thirty engines reported
/// its samples of each to thirty others several times a second, although only two of them were
/// new; on a small host's link, this was most of what it sent.
#[test]
fn each_sample_is_reported_twice_only() {
    let mut host = TestHost::new(common::configuration(1));
    host.set_entry(record("engine-1", ENGINES, 9));
    host.receive_report(report(1, Vec::new()));
    let first = samples_reported_after_call(&mut host, Duration::from_secs(3));
    assert_eq!(first.iter().map(|it| it.good).collect::<Vec<_>>(), [1, 1]);
    host.prove();
    host.receive_report(report(2, Vec::new()));
    let again = samples_reported_after_call(&mut host, Duration::from_secs(3));
    assert_eq!(again.iter().map(|it| it.good).collect::<Vec<_>>(), [2, 2]);
}

/// Guards against a host that has to call a failing engine itself although a peer has reported
/// the failures.
#[test]
fn samples_of_a_peer_known_from_its_start_count_at_once() {
    let mut host = TestHost::new(common::configuration(1));
    host.set_entry(record("engine-1", ENGINES, 9));
    host.set_entry(record("engine-22", ENGINES, 9));
    host.receive_report(report(1, Vec::new()));
    host.receive_report(report(2, vec![failures(20)]));
    let (_, decision) = host.arrive("/ask/1", (600, 30));
    assert_eq!(decision.backend(), "engine-22");
}

/// Guards against failures of long ago that count as recent: a host that has just started
/// receives the totals of a peer that has run for hours.
#[test]
fn totals_of_a_peer_that_ran_before_are_only_a_baseline() {
    let mut host = TestHost::new(common::configuration(1));
    host.set_entry(record("engine-1", ENGINES, 9));
    host.receive_report(report(5_000, Vec::new()));
    host.receive_report(report(5_001, vec![failures(2_000)]));
    let (_, decision) = host.arrive("/ask/1", (600, 30));
    assert_eq!(decision.backend(), "engine-1");
    host.receive_report(report(5_002, vec![failures(2_020)]));
    host.set_entry(record("engine-22", ENGINES, 9));
    let (_, decision) = host.arrive("/ask/1", (600, 30));
    assert_eq!(decision.backend(), "engine-22");
}
