//! From the text of a rule file to a [`RuleSet`], or to everything that is wrong with it.

use crate::check::check;
use crate::fields::Places;
use crate::kinds::read_rule;
use crate::line::{is_blank, read_line};
use crate::{Mistake, RuleIndex, RuleSet};

/// Parses a rule file as a whole.
///
/// # Errors
/// Gives every mistake found, in order of the file; a file with a single mistake is
/// refused whole.
pub fn parse(text: &str) -> Result<RuleSet, Vec<Mistake>> {
    let mut rules = RuleSet::default();
    let mut places = Places::default();
    let mut mistakes = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        if is_blank(line) {
            continue;
        }
        if let Some(line) = read_line(number, line, &mut mistakes) {
            read_rule(&mut rules, &line, &mut places, &mut mistakes);
        }
    }
    rules.tiers.sort_by_key(|tier| tier.rank);
    rules.index = RuleIndex::build(&rules);
    check(&rules, &places, &mut mistakes);
    if mistakes.is_empty() {
        Ok(rules)
    } else {
        mistakes.sort_by_key(|mistake| (mistake.line, mistake.column));
        Err(mistakes)
    }
}
