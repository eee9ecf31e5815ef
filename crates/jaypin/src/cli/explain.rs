//! `jaypin explain`

use jaypin_wire::ExplainBody;
use lexopt::Parser;

use super::target::{TARGET_HELP, Target};
use super::word::Word;
use super::{Outcome, help, print_json, required};

const HELP: &str = "\
usage: jaypin explain REQUEST_ID [OPTIONS]

Says in plain sentences which rules applied to a request, which backend servers were
weighed, why one was chosen, what came back, or why it was refused and whether it ran.
Any host may be asked; it asks the host that owns the request.
";

/// Explains a request.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    let mut id = None;
    while let Some(word) = Word::next(parser)? {
        match word.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            _ if target.take(&word, parser)? => {}
            _ => id = Some(word.place(id.as_ref())?),
        }
    }
    let id = required(id, "REQUEST_ID")?;
    let record: ExplainBody = target.host().get(&format!("/explain/{id}"))?;
    if target.json {
        return print_json(&record);
    }
    for line in record.sentences() {
        println!("{line}");
    }
    Ok(())
}
