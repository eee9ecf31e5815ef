//! `jaypin rules show`

use lexopt::Parser;

use super::{Failure, Outcome};
use crate::cli::print_json;
use crate::cli::target::Target;
use crate::rules_change::RulesStore;

const HELP: &str = "\
usage: jaypin rules show [OPTIONS]

Prints the text of the rules in force, and their version to standard error.
`jaypin rules show > rules.yaml` writes a file to edit; `jaypin rules apply` takes the
version as --edited-from.
";

/// Shows the rules in force.
pub fn run(parser: &mut Parser) -> Outcome {
    let Some(target) = Target::read(parser, HELP)? else {
        return Ok(());
    };
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
