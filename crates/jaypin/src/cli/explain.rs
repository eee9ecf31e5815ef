//! `jaypin explain`

use jaypin_wire::ExplainBody;
use lexopt::Parser;

use super::argument::Argument;
use super::target::{TARGET_HELP, Target};
use super::{Outcome, explain_log, help, load_summary, print_json, required, text_value};

const HELP: &str = "\
usage: jaypin explain REQUEST_ID [OPTIONS]
       jaypin explain REQUEST_ID --log FILE
       jaypin explain --all --log FILE

Explains which rules applied to a request, which backend servers were candidates, why one
was chosen and how the call ended, or why the request was refused and whether it ran. Any
host can be queried; it forwards the query to the host that owns the request.

With --log, the log of an entry host is read instead, from a file or from standard input
(-), for example after the host has exited. With --all, the log is summarized: requests
sent, served and refused, by rank, account and second, the reasons of the refusals, and the
slots that each rank held. Logs of several hosts can be concatenated.
";

/// Explains a request.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    let (mut id, mut log, mut is_all) = (None, None, false);
    while let Some(arg) = Argument::next(parser)? {
        match arg.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            "--all" => is_all = true,
            "--log" => log = Some(text_value(parser)?),
            _ if target.parse_option(&arg, parser)? => {}
            _ => id = Some(arg.positional(id.as_ref())?),
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
