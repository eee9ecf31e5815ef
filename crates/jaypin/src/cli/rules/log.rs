//! `jaypin rules log`

use lexopt::Parser;

use super::{Failure, Outcome};
use crate::cli::target::Target;
use crate::cli::{date, print_json};
use crate::rules_change::RulesStore;

const HELP: &str = "\
usage: jaypin rules log [OPTIONS]

Lists the last accepted changes, the newest one last; `jaypin audit` shows all changes.
";

/// Lists the last accepted changes.
pub fn run(parser: &mut Parser) -> Outcome {
    let Some(target) = Target::read(parser, HELP)? else {
        return Ok(());
    };
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
