//! Parses the text of a rule file into a [`RuleSet`] or a list of mistakes.

use crate::check::check;
use crate::fields::CheckContext;
use crate::kinds::read_rule;
use crate::line::{is_blank, read_line};
use crate::{Mistake, RuleIndex, RuleSet};

/// Parses and checks a rule file.
///
/// # Errors
/// Returns every mistake found, in the order of the file; a single mistake makes the whole file
/// invalid.
pub fn parse(text: &str) -> Result<RuleSet, Vec<Mistake>> {
    let mut rules = RuleSet::default();
    let mut context = CheckContext::default();
    let mut mistakes = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        if is_blank(line) {
            continue;
        }
        if let Some(line) = read_line(number, line, &mut mistakes) {
            read_rule(&mut rules, &line, &mut context, &mut mistakes);
        }
    }
    rules.tiers.sort_by_key(|tier| tier.rank);
    rules.index = RuleIndex::build(&rules);
    check(&rules, &context, &mut mistakes);
    if mistakes.is_empty() {
        Ok(rules)
    } else {
        mistakes.sort_by_key(|mistake| (mistake.line, mistake.column));
        Err(mistakes)
    }
}
