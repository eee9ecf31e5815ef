//! `jaypin drain`

use lexopt::Parser;

use super::Outcome;
use super::target::Target;

const HELP: &str = "\
usage: jaypin drain [OPTIONS]

Tells a host to refuse new work, finish what it has and end its process.
";

/// Drains a host.
pub fn run(parser: &mut Parser) -> Outcome {
    let Some(target) = Target::read(parser, HELP)? else {
        return Ok(());
    };
    target.host().post("/drain")?;
    println!("draining");
    Ok(())
}
