//! `jaypin explain`

use jaypin_wire::ExplainBody;
use lexopt::Parser;

use super::target::{TARGET_HELP, Target};
use super::word::Word;
use super::{Outcome, explain_log, help, print_json, required, text_value};

const HELP: &str = "\
usage: jaypin explain REQUEST_ID [OPTIONS]
       jaypin explain REQUEST_ID --log FILE

Says in plain sentences which rules applied to a request, which backend servers were
weighed, why one was chosen, what came back, or why it was refused and whether it ran.
Any host may be asked; it asks the host that owns the request. With --log, the log of an
entry host is read instead, from a file or from standard input (-): for hosts that are gone.
";

/// Explains a request.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    let (mut id, mut log) = (None, None);
    while let Some(word) = Word::next(parser)? {
        match word.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            "--log" => log = Some(text_value(parser)?),
            _ if target.take(&word, parser)? => {}
            _ => id = Some(word.place(id.as_ref())?),
        }
    }
    let id = required(id, "REQUEST_ID")?;
    if let Some(log) = log {
        return explain_log::print(&id, explain_log::open(&log)?);
    }
    let record: ExplainBody = target.host().get(&format!("/explain/{id}"))?;
    if target.json {
        return print_json(&record);
    }
    for line in record.sentences() {
        println!("{line}");
    }
    Ok(())
}
