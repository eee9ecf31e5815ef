//! `jaypin drain`

use lexopt::Parser;

use super::Outcome;
use super::target::Target;

const HELP: &str = "\
usage: jaypin drain [OPTIONS]

Orders a host to refuse new requests, finish the running ones and exit.
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
