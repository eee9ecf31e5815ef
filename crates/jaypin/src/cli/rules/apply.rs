//! `jaypin rules apply`

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use jaypin_rules::{LineChange, difference, redact_line, requester_of};
use jaypin_wire::{AuditEntry, AuditKind, RulesChange, RulesObject, digest_entry};
use lexopt::Parser;

use super::wait::wait_in_force;
use super::{Failure, Outcome, help, list, read_file, required};
use crate::cli::target::{TARGET_HELP, Target};
use crate::cli::word::Word;
use crate::cli::{number_value, text_value};
use crate::platform::PlatformClient;
use crate::rules_change::{Applied, AuditTrail, Deadline, NewRules, RulesStore, unix_seconds};

const HELP: &str = "\
usage: jaypin rules apply FILE --edited-from VERSION --author NAME [OPTIONS]

Puts a rule file in force on every host. Nothing changes when the file has a mistake or
when another version than VERSION is in force; the difference to that one is shown then.

  --edited-from VERSION  the version that `jaypin rules show` gave; 0 for the first file
  --author NAME          who applies it
  --asked-by WHO         who asked for the change; the requesters of the added rules when
                         absent, and needed when no rule is added
  --timeout SECONDS      how long to wait for the platform and for every host, 30 by
                         default; exit 1 names the hosts that don't report the version
";

/// How long to wait when nothing else is said.
const DEFAULT_TIMEOUT_S: u64 = 30;
/// Requesters that a change names.
const MAX_REQUESTERS: usize = 20;

/// What the command line says.
#[derive(Debug, Default)]
struct Args {
    file: PathBuf,
    edited_from: u64,
    author: String,
    asked_by: Option<String>,
    timeout: Duration,
    target: Target,
}

/// Puts a rule file in force.
pub fn run(parser: &mut Parser) -> Outcome {
    match read_args(parser)? {
        Some(args) => apply(&args),
        None => help(&format!("{HELP}{TARGET_HELP}")),
    }
}

fn read_args(parser: &mut Parser) -> Result<Option<Args>, Failure> {
    let (mut file, mut edited_from, mut author) = (None, None, None);
    let mut args = Args {
        timeout: Duration::from_secs(DEFAULT_TIMEOUT_S),
        ..Args::default()
    };
    while let Some(word) = Word::next(parser)? {
        match word.option() {
            "--help" => return Ok(None),
            "--edited-from" => edited_from = Some(number_value(parser)?),
            "--author" => author = Some(text_value(parser)?),
            "--asked-by" => args.asked_by = Some(text_value(parser)?),
            "--timeout" => args.timeout = Duration::from_secs(number_value(parser)?),
            _ if args.target.take(&word, parser)? => {}
            _ => file = Some(PathBuf::from(word.place(file.as_ref())?)),
        }
    }
    args.file = required(file, "FILE")?;
    args.edited_from = required(edited_from, "--edited-from VERSION")?;
    args.author = required(author, "--author NAME")?;
    Ok(Some(args))
}

fn apply(args: &Args) -> Outcome {
    let text = read_file(&args.file)?;
    let client = args.target.platform()?;
    let deadline = Deadline::after(args.timeout);
    let store = RulesStore::new(&client);
    let (found_version, before) = store
        .read_at_least(args.edited_from)
        .map_err(Failure::Failed)?;
    let changes = difference(&before.text, &text);
    let mut apply = Apply {
        args,
        client: &client,
        deadline,
        entry: first_entry(args, &text, &changes),
    };
    if let Err(mistakes) = jaypin_rules::parse(&text) {
        return apply.refuse(list(&args.file, &mistakes));
    }
    if apply.entry.requesters.is_empty() {
        let message = "the change adds no rule: say who asked for it with --asked-by WHO";
        return apply.refuse(message.to_owned());
    }
    if found_version > args.edited_from {
        return apply.lose(found_version, &before);
    }
    let change = change(&apply.entry, &changes);
    if let Err(message) = RulesStore::check_size(&text) {
        return apply.refuse(message);
    }
    apply.record(AuditKind::Proposed, None)?;
    apply.entry.difference.clear();
    let new = NewRules {
        text,
        edited_from: args.edited_from,
        change,
    };
    apply.write(&before, &new)
}

/// One apply on its way.
#[derive(Debug)]
struct Apply<'a> {
    args: &'a Args,
    client: &'a PlatformClient,
    deadline: Deadline,
    entry: AuditEntry,
}

impl Apply<'_> {
    fn write(&mut self, before: &RulesObject, new: &NewRules) -> Outcome {
        let store = RulesStore::new(self.client);
        let applied = store.write(before, new, self.deadline).map_err(|error| {
            Failure::Failed(format!(
                "{error}; whether apply {} took effect is not known: `jaypin rules log` names \
                 it when it did",
                self.entry.apply_id
            ))
        })?;
        match applied {
            Applied::Accepted(version) => self.accepted(version),
            Applied::Superseded(newer) => {
                self.record(AuditKind::Accepted, None)?;
                println!("accepted, and replaced by version {newer} meanwhile");
                Ok(())
            }
            Applied::LostRace(version, found) => self.lose(version, &found),
        }
    }

    fn accepted(&mut self, version: u64) -> Outcome {
        println!("version {version} is accepted");
        self.record(AuditKind::Accepted, Some(version))?;
        let port = self.args.target.operator_port()?;
        let hosts = wait_in_force(self.client, port, version, self.deadline)?;
        println!("version {version} is in force on {hosts} of {hosts} hosts");
        Ok(())
    }

    fn refuse(&mut self, message: String) -> Outcome {
        self.entry.note = Some(message.clone());
        self.record(AuditKind::Refused, None)?;
        Err(Failure::Usage(message))
    }

    /// The loser of a race sees who changed what since the version it edited.
    fn lose(&mut self, version: u64, found: &RulesObject) -> Outcome {
        self.record(AuditKind::LostRace, Some(version))?;
        Err(Failure::Failed(lost_race(self.args, version, found)))
    }

    fn record(&mut self, kind: AuditKind, new_version: Option<u64>) -> Outcome {
        self.entry.kind = kind;
        self.entry.new_version = new_version;
        self.entry.at = unix_seconds();
        let appended = AuditTrail::new(self.client).append(self.entry.clone(), self.deadline);
        appended.map_err(|error| Failure::Failed(format!("audit trail: {error}")))
    }
}

fn first_entry(args: &Args, text: &str, changes: &[LineChange]) -> AuditEntry {
    AuditEntry {
        number: 0,
        previous: String::new(),
        at: 0,
        kind: AuditKind::Proposed,
        apply_id: format!("{:016x}", rand::random::<u64>()),
        author: args.author.clone(),
        requesters: requesters(args, changes),
        old_version: args.edited_from,
        new_version: None,
        text_digest: digest_entry(text),
        difference: changes.iter().map(redacted).collect(),
        omitted_lines: 0,
        note: None,
    }
}

fn requesters(args: &Args, changes: &[LineChange]) -> Vec<String> {
    if let Some(name) = &args.asked_by {
        return vec![name.clone()];
    }
    let added = changes.iter().filter_map(|change| match change {
        LineChange::Added { text, .. } => requester_of(text),
        LineChange::Removed { .. } => None,
    });
    shorten(added.collect())
}

/// Keeps the list short enough for the rules object; the difference names the others.
fn shorten(names: BTreeSet<String>) -> Vec<String> {
    let more = names.len().saturating_sub(MAX_REQUESTERS);
    let mut kept: Vec<String> = names.into_iter().take(MAX_REQUESTERS).collect();
    if more > 0 {
        kept.push(format!("and {more} more"));
    }
    kept
}

fn redacted(change: &LineChange) -> String {
    redact_line(&change.to_string())
}

fn change(entry: &AuditEntry, changes: &[LineChange]) -> RulesChange {
    let is_added = |change: &&LineChange| matches!(change, LineChange::Added { .. });
    let added = changes.iter().filter(is_added).count();
    RulesChange {
        apply_id: entry.apply_id.clone(),
        author: entry.author.clone(),
        at: unix_seconds(),
        requesters: entry.requesters.clone(),
        edited_from: entry.old_version,
        added,
        removed: changes.len() - added,
    }
}

fn lost_race(args: &Args, version: u64, found: &RulesObject) -> String {
    let mut lines = vec![format!(
        "edited from version {}, but version {version} is in force; nothing was changed and \
         {} is kept as it is",
        args.edited_from,
        Path::display(&args.file)
    )];
    for change in found
        .changes
        .iter()
        .filter(|it| it.edited_from >= args.edited_from)
    {
        lines.push(format!(
            "  version {} was changed by {}, asked by {}: +{} -{} lines",
            change.edited_from,
            change.author,
            change.requesters.join("; "),
            change.added,
            change.removed
        ));
    }
    lines.push(format!("what your file would change in version {version}:"));
    if let Ok(own) = read_file(&args.file) {
        let changes = difference(&found.text, &own);
        lines.extend(changes.iter().map(|change| format!("  {change}")));
    }
    lines.push(format!(
        "merge your change into `jaypin rules show`, then apply it with --edited-from {version}"
    ));
    lines.join("\n")
}
