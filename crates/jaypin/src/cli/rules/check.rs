//! `jaypin rules check`

use std::path::PathBuf;

use lexopt::Parser;
use serde::Serialize;

use super::{Failure, Outcome, help, list, read_file, required};
use crate::cli::argument::Argument;
use crate::cli::print_json;

const HELP: &str = "\
usage: jaypin rules check FILE [--json]

Lists every mistake with its line and column; exit 2 if there is one.";

/// A mistake in the JSON output.
#[derive(Debug, Serialize)]
struct MistakeBody {
    line: u32,
    column: u32,
    message: String,
}

/// Checks a rule file.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut file = None;
    let mut json = false;
    while let Some(arg) = Argument::next(parser)? {
        match arg.option() {
            "--help" => return help(HELP),
            "--json" => json = true,
            _ => file = Some(PathBuf::from(arg.positional(file.as_ref())?)),
        }
    }
    let file = required(file, "FILE")?;
    let text = read_file(&file)?;
    let mistakes = jaypin_rules::parse(&text).err().unwrap_or_default();
    if json {
        let bodies = mistakes.iter().map(|mistake| MistakeBody {
            line: mistake.line,
            column: mistake.column,
            message: mistake.message.clone(),
        });
        print_json(&bodies.collect::<Vec<_>>())?;
    }
    if !mistakes.is_empty() {
        return Err(Failure::Usage(list(&file, &mistakes)));
    }
    if !json {
        println!("{}: good", file.display());
    }
    Ok(())
}
