//! `jaypin drain`

use lexopt::Parser;

use super::target::{TARGET_HELP, Target};
use super::word::Word;
use super::{Outcome, help};

const HELP: &str = "\
usage: jaypin drain [OPTIONS]

Tells a host to refuse new work, finish what it has and end its process.
";

/// Drains a host.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    while let Some(word) = Word::next(parser)? {
        match word.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            _ if target.take(&word, parser)? => {}
            _ => return Err(word.unexpected()),
        }
    }
    target.host().post("/drain")?;
    println!("draining");
    Ok(())
}
