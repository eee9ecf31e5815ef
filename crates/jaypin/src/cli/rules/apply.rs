//! `jaypin rules apply`

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use jaypin_rules::{LineChange, difference, redact_line, requester_of};
use jaypin_wire::{AuditEntry, AuditKind, RulesChange, RulesObject, digest_entry};
use lexopt::Parser;

use super::wait::wait_in_force;
use super::{Failure, Outcome, help, list, read_file, required};
use crate::cli::argument::Argument;
use crate::cli::target::{TARGET_HELP, Target};
use crate::cli::{number_value, text_value};
use crate::platform::PlatformClient;
use crate::rules_change::{Applied, AuditTrail, Deadline, NewRules, RulesStore, unix_seconds};

const HELP: &str = "\
usage: jaypin rules apply FILE --edited-from VERSION --author NAME [OPTIONS]

Puts a rule file in force on every host. Nothing is changed if the file has a mistake or if
a version other than VERSION is in force; in this case the difference to it is shown.

  --edited-from VERSION  the version that `jaypin rules show` printed; 0 for the first file
  --author NAME          who applies it
  --asked-by WHO         who asked for the change; by default the requesters of the added
                         rules; required if the change adds no rule
  --timeout SECONDS      how long to wait for the platform and for every host, 30 by
                         default; exit 1 names the hosts that don't report the version
";

/// Default of `--timeout`, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 30;
/// Maximum number of requesters that are stored with a change.
const MAX_REQUESTERS: usize = 20;

/// The arguments of the command.
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

/// Parses the arguments; returns `None` for `--help`.
fn read_args(parser: &mut Parser) -> Result<Option<Args>, Failure> {
    let (mut file, mut edited_from, mut author) = (None, None, None);
    let mut args = Args {
        timeout: Duration::from_secs(DEFAULT_TIMEOUT_S),
        ..Args::default()
    };
    while let Some(arg) = Argument::next(parser)? {
        match arg.option() {
            "--help" => return Ok(None),
            "--edited-from" => edited_from = Some(number_value(parser)?),
            "--author" => author = Some(text_value(parser)?),
            "--asked-by" => args.asked_by = Some(text_value(parser)?),
            "--timeout" => args.timeout = Duration::from_secs(number_value(parser)?),
            _ if args.target.parse_option(&arg, parser)? => {}
            _ => file = Some(PathBuf::from(arg.positional(file.as_ref())?)),
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
        return apply.reject(list(&args.file, &mistakes));
    }
    if apply.entry.requesters.is_empty() {
        let message = "the change adds no rule: say who asked for it with --asked-by WHO";
        return apply.reject(message.to_owned());
    }
    if found_version > args.edited_from {
        return apply.fail_lost_race(found_version, &before);
    }
    let change = change(&apply.entry, &changes);
    if let Err(message) = RulesStore::check_size(&text) {
        return apply.reject(message);
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

/// The state of one run of the command.
#[derive(Debug)]
struct Apply<'a> {
    args: &'a Args,
    client: &'a PlatformClient,
    deadline: Deadline,
    /// Audit entry of this run; `record` sets kind, version and time before appending it.
    entry: AuditEntry,
}

impl Apply<'_> {
    fn write(&mut self, before: &RulesObject, new: &NewRules) -> Outcome {
        let store = RulesStore::new(self.client);
        let applied = store.write(before, new, self.deadline).map_err(|error| {
            Failure::Failed(format!(
                "{error}; it is not known whether apply {} took effect: `jaypin rules log` \
                 lists it if it did",
                self.entry.apply_id
            ))
        })?;
        match applied {
            Applied::Accepted(version) => self.finish(version),
            Applied::Superseded(newer) => {
                self.record(AuditKind::Accepted, None)?;
                println!("accepted, and meanwhile replaced by version {newer}");
                Ok(())
            }
            Applied::LostRace(version, found) => self.fail_lost_race(version, &found),
        }
    }

    /// Records that the rules were accepted, and waits until they are in force on every host.
    fn finish(&mut self, version: u64) -> Outcome {
        println!("version {version} is accepted");
        self.record(AuditKind::Accepted, Some(version))?;
        let port = self.args.target.operator_port()?;
        let hosts = wait_in_force(self.client, port, version, self.deadline)?;
        println!("version {version} is in force on {hosts} of {hosts} hosts");
        Ok(())
    }

    /// Records that the rules were rejected, and returns the reason as an error. The message is
    /// also stored in the audit trail.
    fn reject(&mut self, message: String) -> Outcome {
        self.entry.note = Some(message.clone());
        self.record(AuditKind::Refused, None)?;
        Err(Failure::Usage(message))
    }

    /// Records that another change was accepted first. The error message shows who changed what
    /// since the version that was edited.
    fn fail_lost_race(&mut self, version: u64, found: &RulesObject) -> Outcome {
        self.record(AuditKind::LostRace, Some(version))?;
        Err(Failure::Failed(lost_race_message(
            self.args, version, found,
        )))
    }

    /// Appends an entry of the given kind to the audit trail.
    fn record(&mut self, kind: AuditKind, new_version: Option<u64>) -> Outcome {
        self.entry.kind = kind;
        self.entry.new_version = new_version;
        self.entry.at = unix_seconds();
        let appended = AuditTrail::new(self.client).append(self.entry.clone(), self.deadline);
        appended.map_err(|error| Failure::Failed(format!("audit trail: {error}")))
    }
}

/// Creates the first audit entry of this run, with the redacted difference.
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

/// Returns the requesters that an option or the added rules name.
fn requesters(args: &Args, changes: &[LineChange]) -> Vec<String> {
    if let Some(name) = &args.asked_by {
        return vec![name.clone()];
    }
    let added = changes.iter().filter_map(|change| match change {
        LineChange::Added { text, .. } => requester_of(text),
        LineChange::Removed { .. } => None,
    });
    limit_names(added.collect())
}

/// Limits the number of names, since they are stored in the rules object. The difference in the
/// audit entry names the others.
fn limit_names(names: BTreeSet<String>) -> Vec<String> {
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

fn lost_race_message(args: &Args, version: u64, found: &RulesObject) -> String {
    let mut lines = vec![format!(
        "edited from version {}, but version {version} is in force; nothing was changed and \
         {} was left as it is",
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
    lines.push(format!("changes of your file to version {version}:"));
    if let Ok(own) = read_file(&args.file) {
        let changes = difference(&found.text, &own);
        lines.extend(changes.iter().map(|change| format!("  {change}")));
    }
    lines.push(format!(
        "merge your change into `jaypin rules show`, then apply it with --edited-from {version}"
    ));
    lines.join("\n")
}
