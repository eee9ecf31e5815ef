//! `jaypin audit`

use jaypin_wire::{AuditEntry, AuditFault, AuditKind, digest_entry, verify_trail};
use lexopt::Parser;

use super::target::{TARGET_HELP, Target};
use super::word::Word;
use super::{Failure, Outcome, date, help, print_json, text_value};
use crate::rules_change::{AuditTrail, RulesStore};

const HELP: &str = "\
usage: jaypin audit [--verify] [--expect DIGEST] [OPTIONS]

Shows every change of the rules: who applied it, who asked for it, when, from which
version, what changed and what became of it.

  --verify            only check that each entry follows from the one before, and that
                      the last accepted changes are in the trail; exit 1 when not
  --expect DIGEST     check also that an entry with this digest is there still; note the
                      last digest outside the platform to find entries that were cut off
";

/// Shows or verifies the audit trail.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    let mut verify_only = false;
    let mut expected = None;
    while let Some(word) = Word::next(parser)? {
        match word.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            "--verify" => verify_only = true,
            "--expect" => expected = Some(text_value(parser)?),
            _ if target.take(&word, parser)? => {}
            _ => return Err(word.unexpected()),
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

fn missing_digest(texts: &[String], digest: &str) -> Option<AuditFault> {
    let is_there = texts.iter().any(|text| digest_entry(text) == digest);
    (!is_there).then(|| AuditFault {
        position: texts.len() as u64,
        message: format!("no entry has the expected digest {digest}"),
    })
}

fn missing_change(entries: &[AuditEntry], apply_id: &str) -> Option<AuditFault> {
    let is_there = entries.iter().any(|entry| entry.apply_id == apply_id);
    (!is_there).then(|| AuditFault {
        position: entries.len() as u64,
        message: format!("the accepted change {apply_id} is not in the trail"),
    })
}

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
            println!("    and {} lines more", entry.omitted_lines);
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

/// Names the requesters of a change.
pub fn asked_by(names: &[String]) -> String {
    if names.is_empty() {
        return "nobody that is named".to_owned();
    }
    names.join("; ")
}
