//! The history checker reports each violated promise and accepts correct histories.

use jaypin_bench::history::{
    Answered, CallRecord, ExecutionRecord, History, LeavingRecord, Promise, RulesRecord,
    ShutdownRecord, check,
};

/// Returns a history without violations: a stream, a command that ran once although it was
/// sent twice, a shed label, a summary that waited, a rule change, and a lost backend server.
fn good() -> History {
    History {
        calls: vec![
            call("r1", 1, 1_000, 1_500, complete("w1 w2 ")),
            command("r2", 1_100, 1_200, Answered::Nothing),
            command("r3", 1_300, 1_310, refused("", "key-unknown", "unknown")),
            call("r4", 2, 2_000, 2_010, refused("", "shed", "not-run")),
            call("r5", 3, 1_900, 4_000, complete("w1 w2 ")),
            call(
                "r6",
                1,
                3_000,
                3_500,
                refused("w1 ", "backend-server-lost", "ran"),
            ),
        ],
        executions: vec![
            execution("engine-0", "r1", 1_010),
            app_execution("r2", 1_110),
            execution("engine-1", "r5", 1_920),
            execution("engine-0", "r6", 3_010),
        ],
        rules: vec![
            version("host-0", 1_000, 3),
            version("host-0", 1_500, 4),
            version("host-0", 2_000, 0),
            version("host-0", 2_500, 4),
            version("host-1", 1_200, 3),
        ],
        leaving: vec![LeavingRecord {
            backend: "engine-0".to_owned(),
            from_ms: 5_000,
            until_ms: 9_000,
        }],
        shutdowns: vec![ShutdownRecord {
            host: "host-0".to_owned(),
            from_ms: 1_300,
            until_ms: 1_600,
        }],
    }
}

fn complete(text: &str) -> Answered {
    Answered::Whole {
        text: text.to_owned(),
    }
}

fn refused(text: &str, reason: &str, outcome: &str) -> Answered {
    Answered::Refused {
        text: text.to_owned(),
        reason: reason.to_owned(),
        outcome: outcome.to_owned(),
    }
}

fn call(id: &str, rank: u8, began_ms: u64, ended_ms: u64, answered: Answered) -> CallRecord {
    CallRecord {
        request_id: Some(id.to_owned()),
        host: "host-0".to_owned(),
        account: "farm-yilan".to_owned(),
        service: "chat".to_owned(),
        rank,
        key: None,
        never_repeat: false,
        began_ms,
        ended_ms,
        expected: "w1 w2 ".to_owned(),
        answered,
    }
}

fn command(id: &str, began_ms: u64, ended_ms: u64, answered: Answered) -> CallRecord {
    CallRecord {
        service: "robots".to_owned(),
        key: Some("host-0-1.gate".to_owned()),
        never_repeat: true,
        expected: "POST /gate".to_owned(),
        ..call(id, 0, began_ms, ended_ms, answered)
    }
}

fn execution(backend: &str, id: &str, began_ms: u64) -> ExecutionRecord {
    ExecutionRecord {
        backend: backend.to_owned(),
        request_id: id.to_owned(),
        key: String::new(),
        account: String::new(),
        began_ms,
    }
}

fn app_execution(id: &str, began_ms: u64) -> ExecutionRecord {
    ExecutionRecord {
        key: "host-0-1.gate".to_owned(),
        account: "farm-yilan".to_owned(),
        ..execution("app-0", id, began_ms)
    }
}

fn version(host: &str, at_ms: u64, version: u64) -> RulesRecord {
    RulesRecord {
        host: host.to_owned(),
        at_ms,
        version,
    }
}

/// Defines a test for each case: a correct history, one change to it, and the only promise
/// that the change violates.
macro_rules! violations {
    ($($name:ident: $promise:ident, $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut history = good();
                let change: fn(&mut History) = $change;
                change(&mut history);
                let violations = check(&history).violations;
                let promises: Vec<Promise> = violations.iter().map(|violation| violation.promise).collect();
                assert_eq!(promises, [Promise::$promise], "{violations:?}");
            }
        )*
    };
}

violations! {
    a_request_on_two_backend_servers: DispatchedOnce,
        |history| history.executions.push(execution("engine-1", "r1", 1_400));
    a_request_twice_on_one_backend_server: DispatchedOnce,
        |history| history.executions.push(execution("engine-0", "r1", 1_400));
    a_key_that_ran_under_two_requests: KeyRunsOnce,
        |history| history.executions.push(app_execution("r3", 1_305));
    a_complete_answer_of_another_request: OwnWholeAnswer,
        |history| history.calls[0].answered = complete("v1 v2 ");
    a_complete_answer_with_a_token_missing: OwnWholeAnswer,
        |history| history.calls[0].answered = complete("w1 ");
    a_complete_answer_with_a_token_twice: OwnWholeAnswer,
        |history| history.calls[0].answered = complete("w1 w1 w2 ");
    a_part_of_another_answer: OwnWholeAnswer,
        |history| history.calls[4].answered = Answered::Broken { text: "v1 ".to_owned() };
    a_marked_end_after_a_token_twice: OwnWholeAnswer,
        |history| history.calls[5].answered = refused("w1 w1 ", "backend-server-lost", "ran");
    a_stream_that_ends_without_an_end_marker: OwnWholeAnswer,
        |history| history.calls[0].answered = Answered::QuietEnd { text: "w1 ".to_owned() };
    a_plain_call_answered_for_another_route: OwnWholeAnswer,
        |history| history.calls[1].answered = complete("POST /teat-cup");
    a_request_reported_not_run_that_ran: NotRunIsNotRun,
        |history| history.calls[5].answered = refused("", "no-scheduler", "not-run");
    a_key_reported_not_run_after_it_ran: NotRunIsNotRun,
        |history| history.calls[2].answered = refused("", "draining", "not-run");
    a_tier_shed_while_a_lower_one_waited: ShedOrder,
        |history| history.executions[2].began_ms = 3_500;
    work_for_another_account: OwnAccount,
        |history| history.executions[1].account = "farm-jiaoxi".to_owned();
    work_on_a_backend_server_that_is_leaving: LeavingGetsNoWork,
        |history| history.executions[3].began_ms = 6_000;
    a_stream_cut_by_a_shutdown: ShutdownCutsNothing,
        |history| history.calls[0].answered = Answered::Broken { text: "w1 ".to_owned() };
    a_rule_version_that_decreases: RulesNeverRevert,
        |history| history.rules.push(version("host-1", 2_600, 2));
    a_rule_version_that_decreases_with_a_restart: RulesNeverRevert,
        |history| history.rules[3].version = 3;
}

/// Defines a test for each case: a change to a correct history that violates no promise.
macro_rules! accepted {
    ($($name:ident: $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut history = good();
                let change: fn(&mut History) = $change;
                change(&mut history);
                assert_eq!(check(&history).violations, []);
            }
        )*
    };
}

accepted! {
    a_good_history: |_| ();
    an_empty_history: |history| *history = History::default();
    a_key_that_ran_after_it_was_reported_not_run: |history| {
        history.calls[1].answered = refused("", "draining", "not-run");
        history.executions[1] = app_execution("r3", 1_305);
    };
    an_idempotent_key_that_ran_twice: |history| {
        for call in &mut history.calls {
            call.never_repeat = false;
        }
        history.executions.push(app_execution("r3", 1_305));
    };
    a_lower_tier_that_waited_for_another_service: |history| {
        history.calls[4].service = "labels".to_owned();
        history.executions[2].began_ms = 3_500;
    };
    a_stream_cut_without_a_shutdown: |history| {
        history.calls[0].answered = Answered::Broken { text: "w1 ".to_owned() };
        history.shutdowns.clear();
    };
    a_higher_tier_that_waited: |history| {
        history.calls[4].rank = 1;
        history.executions[2].began_ms = 3_500;
    };
    a_version_that_another_host_had_before: |history| {
        history.rules.push(version("host-2", 3_000, 3));
    };
}

#[test]
fn a_history_is_the_same_after_json() {
    let text = serde_json::to_string(&good()).expect("JSON");
    let read: History = serde_json::from_str(&text).expect("a history");
    assert_eq!(check(&read).violations, []);
    assert_eq!(check(&read).calls, good().calls.len());
}
