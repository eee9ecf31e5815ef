//! `jaypin rules diff`

use std::path::PathBuf;

use jaypin_rules::difference;
use lexopt::Parser;

use super::{Failure, Outcome, help, read_file, required};
use crate::cli::argument::Argument;
use crate::cli::print_json;
use crate::cli::target::{TARGET_HELP, Target};
use crate::rules_change::RulesStore;

const HELP: &str = "\
usage: jaypin rules diff FILE [OTHER] [OPTIONS]

Lists the lines that FILE removes from (-) and adds to (+) the rules in force, or OTHER.
";

/// Compares a rule file with the rules in force or with another file.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    let mut files = Vec::new();
    while let Some(arg) = Argument::next(parser)? {
        match arg.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            _ if target.parse_option(&arg, parser)? => {}
            _ => files.push(PathBuf::from(arg.positional(files.get(1))?)),
        }
    }
    let new = read_file(required(files.first(), "FILE")?)?;
    let old = if let Some(other) = files.get(1) {
        read_file(other)?
    } else {
        let client = target.platform()?;
        let (version, object) = RulesStore::new(&client).read().map_err(Failure::Failed)?;
        eprintln!("compared with version {version}");
        object.text
    };
    let changes = difference(&old, &new);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    if target.json {
        return print_json(&lines);
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}
