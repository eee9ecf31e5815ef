//! Tests the output and the exit codes of the commands.

use std::process::Command;

/// Defines a test for each line: its name, the arguments of the command, the exit code and a
/// text that the output must contain.
macro_rules! commands {
    ($($name:ident: $args:expr => $code:expr, $part:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (code, text) = jaypin(&$args);
                assert_eq!(code, Some($code), "{text}");
                assert!(text.contains($part), "{text}");
            }
        )*
    };
}

commands! {
    no_command_prints_the_help: [] => 0, "usage: jaypin COMMAND";
    the_version_is_printed: ["--version"] => 0, "jaypin 0.1.0";
    an_unknown_command_is_named: ["sevre"] => 2, "no such command: sevre";
    an_unknown_rules_command_is_named: ["rules", "aply"] => 2, "no such command: rules aply";
    an_unknown_option_is_named: ["status", "--verbose"] => 2, "`--verbose` is not expected";
    a_missing_file_is_named: ["rules", "check", "none.yaml"] => 2, "none.yaml";
    a_missing_argument_is_named: ["rules", "apply", "x.yaml"] => 2, "--edited-from VERSION is missing";
    an_unreachable_host_is_a_failure: ["status", "--host", "127.0.0.1:1"] => 1, "127.0.0.1:1";
    serving_needs_settings: ["serve"] => 2, "--settings FILE is missing";
    invalid_settings_are_rejected: ["serve", "--settings", "tests/wrong-settings.yaml"] => 2, "fleet-key";
    help_of_serve: ["serve", "--help"] => 0, "usage: jaypin serve";
    help_of_settings: ["settings", "--help"] => 0, "usage: jaypin settings check";
    help_of_rules: ["rules", "--help"] => 0, "usage: jaypin rules COMMAND";
    help_of_check: ["rules", "check", "--help"] => 0, "usage: jaypin rules check";
    help_of_diff: ["rules", "diff", "--help"] => 0, "usage: jaypin rules diff";
    help_of_apply: ["rules", "apply", "--help"] => 0, "usage: jaypin rules apply";
    help_of_show: ["rules", "show", "-h"] => 0, "usage: jaypin rules show";
    help_of_log: ["rules", "log", "--help"] => 0, "usage: jaypin rules log";
    help_of_who: ["rules", "who", "--help"] => 0, "usage: jaypin rules who";
    help_of_audit: ["audit", "--help"] => 0, "usage: jaypin audit";
    help_of_status: ["status", "--help"] => 0, "usage: jaypin status";
    help_of_explain: ["explain", "--help"] => 0, "usage: jaypin explain";
    a_refusal_is_explained_from_a_log:
        ["explain", "6f72d5fc2fa35ad2", "--log", "tests/entry-log.jsonl"] => 0,
        "after 62 ms shed: first event in 161 ms of 288, 10 running, 4612 tokens ahead";
    a_resumed_stream_is_explained_from_a_log:
        ["explain", "2cc62190f03fef8b", "--log", "tests/entry-log.jsonl"] => 0,
        "call to engine-9 ended as complete after 2713 ms, first event after 88 ms";
    refusals_are_summed_by_rank_and_reason: ["explain", "--all", "--log", "tests/heavy-log.jsonl"] => 0,
        "1.2            1       1        2       1   over-limit 1; shed (kept) 1;";
    refusals_are_summed_by_account: ["explain", "--all", "--log", "tests/heavy-log.jsonl"] => 0,
        "depot          0       0        2       1   over-limit 1; shed (kept) 1;";
    the_row_of_a_second_has_served_and_refused_requests:
        ["explain", "--all", "--log", "tests/heavy-log.jsonl"] => 0,
        "     1   1.0 0/1 0.0  1.2 1/2 0.5";
    a_log_without_requests_is_a_failure: ["explain", "--all", "--log", "tests/wrong-settings.yaml"] => 1,
        "has no line about a request";
    a_request_that_a_log_lacks_is_a_failure:
        ["explain", "nobody", "--log", "tests/entry-log.jsonl"] => 1, "no line about request nobody";
    entry_needs_settings: ["entry"] => 2, "--settings FILE is missing";
    help_of_entry: ["entry", "--help"] => 0, "usage: jaypin entry";
    help_of_drain: ["drain", "--help"] => 0, "usage: jaypin drain";
    an_example_is_valid: ["rules", "check", "../../examples/lanyang-rules.yaml"] => 0, "good";
    a_requester_is_named: ["rules", "who", "3", "../../examples/hanbit-rules.yaml"] => 0,
        "tier `alert-label`, asked by depot managers, minute 4";
    a_line_without_a_rule_is_a_failure: ["rules", "who", "99", "../../examples/hanbit-rules.yaml"] => 1,
        "line 99 holds no rule";
    two_files_are_compared: ["rules", "diff", "../../examples/hanbit-rules.yaml", "tests/wrong-settings.yaml"] => 0,
        "-1: host: host-1";
}

/// Runs the binary; returns its exit code and its output, standard output first.
fn jaypin(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jaypin"));
    let output = command.args(args).output().expect("the jaypin binary runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn every_mistake_of_settings_is_named_with_its_line() {
    let (code, text) = jaypin(&["settings", "check", "tests/wrong-settings.yaml"]);
    assert_eq!(code, Some(2));
    insta::assert_snapshot!(text);
}

#[test]
fn every_mistake_of_rules_is_named_for_programs() {
    let file = "../jaypin_rules/tests/wrong-rules.yaml";
    let (code, text) = jaypin(&["rules", "check", "--json", file]);
    assert_eq!(code, Some(2));
    assert_eq!(text.matches("\"line\":").count(), 30);
}
