//! What shows that a part of a prompt does not crash backend servers.

mod common;

use std::time::Duration;

use common::{Decision, TestHost, report, whole_report};
use jaypin_core::Reason;
use jaypin_router::{AttemptOutcome, BackendRun, Crash, Event, RunEnd};

const PART: u64 = 7;

/// Returns the decision about a request with the part, after a stream with it was lost of which these
/// events arrived over this time, and four backend servers crashed under it elsewhere.
fn decision_after(events: u32, time: Duration) -> Decision {
    let mut host = TestHost::with_backends();
    let (number, _) = host.arrive_with(|it| it.shared_parts = vec![PART]);
    host.answered(number);
    host.wait(time);
    host.apply(Event::Streamed {
        number,
        events,
        time,
        longest_pause: time / events,
    });
    host.ended(number, AttemptOutcome::Died);
    let mut whole = whole_report(2);
    let crashes = (1_u32..=4).map(|key| Crash {
        run: BackendRun { key, started: 1 },
        end: RunEnd::Confirmed,
        age: Duration::from_millis(200) * key,
        suspects: vec![PART],
    });
    whole.crashes = crashes.collect();
    host.wait(Duration::from_secs(1));
    host.receive_report(report(1, whole));
    let (_, decision) = host.arrive_with(|it| it.shared_parts = vec![PART]);
    decision
}

/// Guards against a part that crashes backend servers and is held to be sound, because one of them
/// paused between its first two events.
#[test]
fn a_pause_between_events_is_no_writing() {
    let decision = decision_after(1, Duration::from_millis(984));
    assert_eq!(decision.refusal().reason, Reason::Quarantined);
}

#[test]
fn a_part_that_was_written_on_for_long_is_sound() {
    let decision = decision_after(20, Duration::from_millis(984));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
}
