//! Sentences of decision records for operators, and the redacted ones for callers.

use std::time::Duration;

use jaypin_core::{CallOutcome, Candidate, GrantNumber, Reason, Refusal, Shard, Step};
use jaypin_wire::{AppliedRule, ExplainBody, ExplainStep, StepBody};

fn candidate(name: &str, first_token_ms: u64, running: u32) -> Candidate {
    Candidate {
        backend: name.into(),
        first_token: Duration::from_millis(first_token_ms),
        running,
        limit: 8,
    }
}

fn slot_requested() -> Step {
    Step::Asked {
        shard: Shard {
            service: "chat".into(),
            index: 0,
        },
        leader: "host-2".into(),
        attempt: 1,
    }
}

fn dispatched() -> Step {
    Step::Dispatched {
        backend: "engine-1".into(),
        grant: Some(GrantNumber {
            incarnation: 1_764,
            sequence: 9,
        }),
        candidates: vec![
            candidate("engine-1", 120, 3),
            candidate("engine-0", 80, 8),
            candidate("engine-2", 300, 2),
        ],
    }
}

fn body(steps: &[(u64, Step)]) -> ExplainBody {
    let rule = |line, rule: &str, asked_by: &str| AppliedRule {
        line,
        rule: rule.to_owned(),
        asked_by: Some(asked_by.to_owned()),
    };
    let steps = steps
        .iter()
        .map(|(after, step)| ExplainStep::new(Duration::from_millis(*after), StepBody::from(step)));
    ExplainBody {
        request_id: "host-0-1764-12".to_owned(),
        account: "farm-yilan".to_owned(),
        service: "chat".to_owned(),
        tier: "cow-status".to_owned(),
        rules_version: 7,
        rules: vec![
            rule(13, "caller of `farm-yilan`", "farm-yilan, contract 1"),
            rule(2, "tier `cow-status`", "barn team, ticket 115"),
        ],
        steps: steps.collect(),
    }
}

fn arrived() -> Step {
    Step::Arrived {
        tier: 1,
        rule_lines: vec![13, 2],
        rules_version: 7,
    }
}

fn served() -> ExplainBody {
    let end = Step::Finished {
        tokens: 40,
        outcome: CallOutcome::Complete,
    };
    body(&[
        (0, arrived()),
        (1, slot_requested()),
        (3, dispatched()),
        (130, Step::FirstToken),
        (900, end),
    ])
}

fn refused() -> ExplainBody {
    let refusal = Refusal::not_run(Reason::TooLate)
        .retry_after(Duration::from_secs(2))
        .rule_line(2);
    body(&[
        (0, arrived()),
        (1, slot_requested()),
        (1_500, Step::Refused(refusal)),
    ])
}

/// Defines a test per case that compares the sentences of a record with a snapshot.
macro_rules! sentences_snapshots {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                insta::assert_snapshot!($body.sentences().join("\n"));
            }
        )*
    };
}

sentences_snapshots! {
    a_served_request_to_an_operator: served();
    a_refused_request_to_an_operator: refused();
    a_served_request_to_its_caller: served().for_caller();
    a_refused_request_to_its_caller: refused().for_caller();
}

#[test]
fn the_record_for_callers_hides_the_fleet_and_requesters() {
    for body in [served().for_caller(), refused().for_caller()] {
        let text = serde_json::to_string(&body).expect("JSON");
        for word in ["engine", "host-2", "ticket", "contract"] {
            assert!(!text.contains(word), "{word} in {text}");
        }
    }
}
