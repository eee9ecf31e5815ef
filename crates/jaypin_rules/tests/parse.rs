//! Parsing of rule files: valid lines, and the mistakes reported for invalid ones.

use jaypin_rules::{RuleSet, difference, parse, redact_line};

const LANYANG: &str = include_str!("../../../examples/lanyang-rules.yaml");
const HANBIT: &str = include_str!("../../../examples/hanbit-rules.yaml");

/// A valid rule file, to which tests append single lines.
const BASE: &str = "\
- {tier: urgent, rank: 0, first-token-ms: 1000, gap-ms: 66, whole-ms: 5000}  # asked by: vets
- {service: robots, kind: plain, tier: urgent}  # asked by: robot team
";

#[test]
fn all_mistakes_are_reported_at_once() {
    let mistakes = parse(include_str!("wrong-rules.yaml")).expect_err("mistakes");
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Defines a test per case that parses a line. It expects the requester of a valid line, or the
/// first mistake of an invalid one.
macro_rules! lines {
    ($($name:ident: $line:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let text = format!("{BASE}{}\n", $line);
                let found = match parse(&text) {
                    Ok(rules) => rules.routes.last().map(|rule| rule.origin.requester.clone()),
                    Err(mistakes) => mistakes.first().map(ToString::to_string),
                };
                assert_eq!(found.unwrap_or_default(), $expected);
            }
        )*
    };
}

lines! {
    a_requester_may_contain_a_hash:
        "- {route: GET /a, service: robots, repeat: never}  # asked by: vets # 7"
        => "vets # 7";
    a_quoted_hash_does_not_start_a_comment:
        "- {route: 'GET /a#asked by: x', service: robots, repeat: never}"
        => "line 3, column 11: `route`: found `GET /a#asked by: x`, expected a method and a path, for example `POST /gate`";
    a_quoted_brace_does_not_end_the_rule:
        "- {route: 'GET /{a}', service: robots, repeat: never}  # asked by: robot team"
        => "robot team";
    a_comment_without_a_requester_is_reported:
        "- {route: GET /a, service: robots, repeat: never}  # because"
        => "line 3, column 52: found the comment `# because`, expected `# asked by: WHO`";
    two_rules_on_one_line_are_reported:
        "- {route: GET /a, service: robots, repeat: never}, {}  # asked by: vets"
        => "line 3, column 50: not YAML: while parsing a block collection, did not find expected '-' indicator; expected `- {KIND: ..., ...}  # asked by: WHO`";
    a_tag_is_reported:
        "- {route: !!str GET /a, service: robots, repeat: never}  # asked by: vets"
        => "line 3, column 17: tags are not allowed";
    multibyte_letters_count_as_one_column:
        "- {route: GET /a, service: 牛, repeat: never}  # asked by: 獣医"
        => "line 3, column 28: `service`: found `牛`, expected a name of letters, digits, `-`, `_` and `.`";
}

#[test]
fn the_examples_are_valid_and_each_rule_has_a_requester() {
    for text in [LANYANG, HANBIT] {
        let rules = parse(text).expect("a valid rule file");
        for (number, line) in (1..).zip(text.lines()) {
            let rule = rules.rule_at(number).expect("a rule");
            let (_, requester) = line.rsplit_once("# asked by: ").expect("a comment");
            assert_eq!(rule.origin.requester, requester);
        }
    }
}

#[test]
fn rules_of_many_accounts_are_found_by_name() {
    let mut text = BASE.to_owned();
    for number in 0..17_000 {
        let digest = jaypin_rules::digest_credential(&number.to_string());
        let caller = format!("caller: {digest}, account: farm-{number}");
        for rule in [format!("account: farm-{number}"), caller] {
            text.push_str(&["- {", &rule, "}  # asked by: sales\n"].concat());
        }
    }
    let rules = parse(&text).expect("a valid rule file");
    for number in 0..17_000 {
        let digest = jaypin_rules::digest_credential(&number.to_string());
        let caller = rules.caller(&digest).expect("a caller");
        assert_eq!(caller.account, format!("farm-{number}"));
        assert!(rules.account(&caller.account).is_some());
    }
    assert!(rules.caller("no digest").is_none());
}

#[test]
fn rules_are_found_without_an_index() {
    let rules = RuleSet {
        accounts: parse(LANYANG).expect("a valid rule file").accounts,
        ..RuleSet::default()
    };
    assert!(rules.account("farm-luodong").is_some());
}

#[test]
fn a_difference_is_a_list_of_lines() {
    let new = BASE.replace("rank: 0", "rank: 1") + "# a remark\n";
    let lines: Vec<String> = difference(BASE, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Defines a test per case that compares a redacted line with the expected one.
macro_rules! redacted {
    ($($name:ident: $line:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(redact_line($line), $expected);
            }
        )*
    };
}

redacted! {
    a_credential_is_redacted: "- {caller: s3cret, account: a}  # asked by: a"
        => "- {caller: [not a digest, not shown] # asked by: a";
    a_credential_with_a_comma_is_redacted: r#"- {caller: "s3,cret}", account: a}"#
        => "- {caller: [not a digest, not shown]";
    a_credential_in_a_line_that_is_not_yaml_is_redacted: "- {account: a, caller: s3cret"
        => "- {account: a, caller: [not a digest, not shown]";
    other_lines_are_unchanged: "- {account: a}  # asked by: a" => "- {account: a}  # asked by: a";
}

#[test]
fn digests_are_not_redacted() {
    for line in LANYANG.lines() {
        assert_eq!(redact_line(line), line);
    }
}
