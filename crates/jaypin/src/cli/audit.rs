//! `jaypin audit`

use jaypin_wire::{AuditEntry, AuditFault, AuditKind, digest_entry, verify_trail};
use lexopt::Parser;

use super::argument::Argument;
use super::target::{TARGET_HELP, Target};
use super::{Failure, Outcome, date, help, print_json, text_value};
use crate::rules_change::{AuditTrail, RulesStore};

const HELP: &str = "\
usage: jaypin audit [--verify] [--expect DIGEST] [OPTIONS]

Shows every change of the rules: who applied it, who asked for it, when, the version
that was edited, the changed lines and the outcome.

  --verify            only check that each entry has the digest of the one before it and
                      that the last accepted changes are in the trail; exit 1 if not
  --expect DIGEST     also check that an entry with this digest still exists; keep the last
                      digest outside of the platform to detect truncation of the trail
";

/// Shows or verifies the audit trail.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    let mut verify_only = false;
    let mut expected = None;
    while let Some(arg) = Argument::next(parser)? {
        match arg.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            "--verify" => verify_only = true,
            "--expect" => expected = Some(text_value(parser)?),
            _ if target.parse_option(&arg, parser)? => {}
            _ => return Err(arg.unexpected()),
        }
    }
    let client = target.platform()?;
    let texts = AuditTrail::new(&client).read().map_err(Failure::Failed)?;
    let (entries, mut faults) = verify_trail(texts.iter().map(String::as_str));
    if let Some(digest) = expected {
        faults.extend(missing_digest(&texts, &digest));
    }
    let (_, rules) = RulesStore::new(&client).read().map_err(Failure::Failed)?;
    for change in &rules.changes {
        faults.extend(missing_change(&entries, &change.apply_id));
    }
    if !verify_only {
        show(&entries, target.json)?;
    }
    report(&texts, &faults)
}

/// Returns a fault if no entry has the digest.
fn missing_digest(texts: &[String], digest: &str) -> Option<AuditFault> {
    let is_present = texts.iter().any(|text| digest_entry(text) == digest);
    (!is_present).then(|| AuditFault {
        position: texts.len() as u64,
        message: format!("no entry has the expected digest {digest}"),
    })
}

/// Returns a fault if no entry belongs to the accepted change.
fn missing_change(entries: &[AuditEntry], apply_id: &str) -> Option<AuditFault> {
    let is_present = entries.iter().any(|entry| entry.apply_id == apply_id);
    (!is_present).then(|| AuditFault {
        position: entries.len() as u64,
        message: format!("the accepted change {apply_id} is not in the trail"),
    })
}

/// Reports the faults as an error, or prints the number of entries and the last digest.
fn report(texts: &[String], faults: &[AuditFault]) -> Outcome {
    if !faults.is_empty() {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        return Err(Failure::Failed(format!(
            "the audit trail was tampered with or damaged\n{}",
            lines.join("\n")
        )));
    }
    match texts.last() {
        None => eprintln!("the audit trail is empty"),
        Some(last) => eprintln!(
            "{} entries hold together; the last digest is {}",
            texts.len(),
            digest_entry(last)
        ),
    }
    Ok(())
}

fn show(entries: &[AuditEntry], json: bool) -> Outcome {
    if json {
        return print_json(&entries);
    }
    for entry in entries {
        println!("{}", describe(entry));
        for line in &entry.difference {
            println!("    {line}");
        }
        if entry.omitted_lines > 0 {
            println!("    and {} more lines", entry.omitted_lines);
        }
    }
    Ok(())
}

fn describe(entry: &AuditEntry) -> String {
    let versions = match (entry.kind, entry.new_version) {
        (AuditKind::Accepted, Some(version)) => {
            format!("version {} to {version}", entry.old_version)
        }
        (AuditKind::LostRace, Some(version)) => {
            format!("edited from version {}, found {version}", entry.old_version)
        }
        _ => format!("edited from version {}", entry.old_version),
    };
    let note = entry
        .note
        .as_ref()
        .map_or(String::new(), |note| format!(": {note}"));
    format!(
        "{}. {}, {}, {versions}, apply {}, by {}, asked by {}{note}",
        entry.number,
        date(entry.at),
        entry.kind,
        entry.apply_id,
        entry.author,
        asked_by(&entry.requesters)
    )
}

/// Lists the requesters of a change.
fn asked_by(names: &[String]) -> String {
    if names.is_empty() {
        return "an unnamed requester".to_owned();
    }
    names.join("; ")
}
