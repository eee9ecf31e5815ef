//! `jaypin rules who`

use std::path::PathBuf;

use lexopt::Parser;

use super::{Failure, Outcome, help, parse, read_file, required};
use crate::cli::argument::Argument;
use crate::cli::print_json;
use crate::cli::target::{TARGET_HELP, Target};
use crate::rules_change::RulesStore;

const HELP: &str = "\
usage: jaypin rules who LINE [FILE] [OPTIONS]

Shows who asked for the rule in a line of the rules in force, or of FILE.
";

/// Shows the requester of a rule.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    let mut line: Option<u32> = None;
    let mut file = None;
    while let Some(arg) = Argument::next(parser)? {
        match arg.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            _ if target.parse_option(&arg, parser)? => {}
            _ if line.is_none() => line = Some(line_number(arg)?),
            _ => file = Some(PathBuf::from(arg.positional(file.as_ref())?)),
        }
    }
    let line = required(line, "LINE")?;
    let (name, text) = if let Some(file) = file {
        let text = read_file(&file)?;
        (file, text)
    } else {
        let client = target.platform()?;
        let (version, object) = RulesStore::new(&client).read().map_err(Failure::Failed)?;
        (format!("version {version}").into(), object.text)
    };
    let rules = parse(&name, &text)?;
    let Some(rule) = rules.rule_at(line) else {
        return Err(Failure::Failed(format!("line {line} holds no rule")));
    };
    if target.json {
        let body = serde_json::json!({
            "line": line,
            "rule": rule.name,
            "asked_by": rule.origin.requester,
        });
        return print_json(&body);
    }
    println!("{}, asked by {}", rule.name, rule.origin.requester);
    Ok(())
}

fn line_number(arg: Argument) -> Result<u32, Failure> {
    let text = arg.positional::<()>(None)?;
    let number = text.parse();
    number.map_err(|_| Failure::Usage(format!("`{text}` is not a line number")))
}
