//! `jaypin rules show`

use lexopt::Parser;

use super::{Failure, Outcome, help};
use crate::cli::print_json;
use crate::cli::target::{TARGET_HELP, Target};
use crate::cli::word::Word;
use crate::rules_change::RulesStore;

const HELP: &str = "\
usage: jaypin rules show [OPTIONS]

Prints the rules in force as they were written, and their version to standard error:
`jaypin rules show > rules.yaml` gives the file to edit, and the version to edit from.
";

/// Shows the rules in force.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    while let Some(word) = Word::next(parser)? {
        match word.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            _ if target.take(&word, parser)? => {}
            _ => return Err(word.unexpected()),
        }
    }
    let client = target.platform()?;
    let (version, object) = RulesStore::new(&client).read().map_err(Failure::Failed)?;
    if target.json {
        let body = serde_json::json!({ "version": version, "text": object.text });
        return print_json(&body);
    }
    print!("{}", object.text);
    eprintln!("version {version}");
    Ok(())
}
