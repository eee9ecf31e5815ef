//! `jaypin explain`

use jaypin_wire::ExplainBody;
use lexopt::Parser;

use super::target::{TARGET_HELP, Target};
use super::word::Word;
use super::{Outcome, explain_log, help, load_summary, print_json, required, text_value};

const HELP: &str = "\
usage: jaypin explain REQUEST_ID [OPTIONS]
       jaypin explain REQUEST_ID --log FILE
       jaypin explain --all --log FILE

Says in plain sentences which rules applied to a request, which backend servers were
weighed, why one was chosen, what came back, or why it was refused and whether it ran.
Any host may be asked; it asks the host that owns the request. With --log, the log of an
entry host is read instead, from a file or from standard input (-): for hosts that are gone.
With --all, the log says who was asked, served and refused, by rank, account and second,
on which grounds, and how many slots each rank held meanwhile. Logs of several hosts may be
put together.
";

/// Explains a request.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    let (mut id, mut log, mut is_all) = (None, None, false);
    while let Some(word) = Word::next(parser)? {
        match word.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            "--all" => is_all = true,
            "--log" => log = Some(text_value(parser)?),
            _ if target.take(&word, parser)? => {}
            _ => id = Some(word.place(id.as_ref())?),
        }
    }
    if is_all {
        let log = required(log, "--log FILE")?;
        return load_summary::print(explain_log::open(&log)?);
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
