//! `jaypin rules log`

use lexopt::Parser;

use super::{Failure, Outcome, help};
use crate::cli::target::{TARGET_HELP, Target};
use crate::cli::word::Word;
use crate::cli::{date, print_json};
use crate::rules_change::RulesStore;

const HELP: &str = "\
usage: jaypin rules log [OPTIONS]

Lists the last accepted changes, newest last; `jaypin audit` shows all.
";

/// Lists the last changes.
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
        return print_json(&object.changes);
    }
    for change in &object.changes {
        println!(
            "{}, apply {}, from version {}, by {}, asked by {}: +{} -{} lines",
            date(change.at),
            change.apply_id,
            change.edited_from,
            change.author,
            change.requesters.join("; "),
            change.added,
            change.removed
        );
    }
    eprintln!("version {version} is in force");
    Ok(())
}
