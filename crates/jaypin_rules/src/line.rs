//! One line of a rule file: a YAML flow mapping and the comment that names a requester.

use marked_yaml::types::MarkedMappingNode;
use marked_yaml::{LoadError, LoaderOptions, Marker, Node, parse_yaml_with_options};

use crate::Mistake;
use crate::rule::Origin;

/// What a comment has to say to name a requester.
const ASKED_BY: &str = "asked by:";
/// The shape of a line, for messages.
const SHAPE: &str = "`- {KIND: ..., ...}  # asked by: WHO`";

/// A line that YAML can read.
#[derive(Debug)]
pub struct RuleLine {
    /// Where it stands and who asked for it; nobody when that is a mistake.
    pub origin: Origin,
    /// Its fields, each with its place.
    pub mapping: MarkedMappingNode,
}

/// Whether a line holds no rule.
pub fn is_blank(line: &str) -> bool {
    let trimmed = line.trim();
    trimmed.is_empty() || trimmed.starts_with('#')
}

/// Reads a line, and adds what is wrong with its form to the mistakes.
pub fn read_line(number: u32, text: &str, mistakes: &mut Vec<Mistake>) -> Option<RuleLine> {
    let mapping = match load(text) {
        Ok(mapping) => mapping,
        Err((column, message)) => {
            mistakes.push(Mistake::new(number, column, message));
            return None;
        }
    };
    let end = column_of(mapping.span().end());
    let asked_by = match requester(text, end) {
        Ok(name) => name,
        Err((column, message)) => {
            mistakes.push(Mistake::new(number, column, message));
            String::new()
        }
    };
    let origin = Origin {
        line: number,
        requester: asked_by,
    };
    Some(RuleLine { origin, mapping })
}

type Misplaced = (u32, String);

fn load(text: &str) -> Result<MarkedMappingNode, Misplaced> {
    let options = LoaderOptions::default()
        .toplevel_sequence()
        .prevent_coercion(true)
        .error_on_duplicate_keys(true);
    let node = parse_yaml_with_options(0, text, options).map_err(|error| load_mistake(&error))?;
    let Node::Sequence(list) = node else {
        return Err((1, format!("found no rule, expected {SHAPE}")));
    };
    if list.len() != 1 {
        let message = format!("found {} rules on one line, expected {SHAPE}", list.len());
        return Err((1, message));
    }
    let Some(mapping) = list.get_mapping(0) else {
        return Err((1, format!("found no mapping, expected {SHAPE}")));
    };
    let start = column_of(mapping.span().start());
    if char_at(text, start) != Some('{') {
        let message = format!("found a mapping without braces, expected {SHAPE}");
        return Err((start, message));
    }
    Ok(mapping.clone())
}

fn load_mistake(error: &LoadError) -> Misplaced {
    match error {
        LoadError::DuplicateKey(pair) => {
            let message = format!("field `{}` is given twice", pair.key.as_str());
            (column_of(pair.key.span().start()), message)
        }
        LoadError::TopLevelMustBeMapping(at) | LoadError::TopLevelMustBeSequence(at) => {
            let message = format!("found something other than one rule, expected {SHAPE}");
            (column(at), message)
        }
        LoadError::UnexpectedAnchor(at) => (column(at), "anchors are not allowed".to_owned()),
        LoadError::MappingKeyMustBeScalar(at) => {
            (column(at), "a field's name has to be plain text".to_owned())
        }
        LoadError::UnexpectedTag(at) => (column(at), "tags are not allowed".to_owned()),
        LoadError::ScanError(at, error) => {
            let message = format!("not YAML: {}; expected {SHAPE}", error.info());
            (column(at), message)
        }
    }
}

/// Reads the comment behind the closing brace.
///
/// The place of that brace comes from the YAML library, so a `#` inside quoted text is
/// never taken for the comment.
fn requester(text: &str, brace: u32) -> Result<String, Misplaced> {
    let start = usize::try_from(brace).unwrap_or(usize::MAX);
    let rest: String = text.chars().skip(start).collect();
    let comment = rest.trim();
    let padding = rest.chars().count() - rest.trim_start().chars().count();
    let at = brace + 1 + u32::try_from(padding).unwrap_or(0);
    let Some(said) = comment.strip_prefix('#') else {
        let message = format!("found no comment behind the rule, expected `# {ASKED_BY} WHO`");
        return Err((at, message));
    };
    let Some(name) = said.trim_start().strip_prefix(ASKED_BY) else {
        let message = format!("found the comment `{comment}`, expected `# {ASKED_BY} WHO`");
        return Err((at, message));
    };
    let name = name.trim();
    if name.is_empty() {
        return Err((at, format!("nobody is named behind `# {ASKED_BY}`")));
    }
    Ok(name.to_owned())
}

fn char_at(text: &str, column: u32) -> Option<char> {
    let index = usize::try_from(column).ok()?.checked_sub(1)?;
    text.chars().nth(index)
}

/// Column of a marker, from 1; lines are parsed one at a time.
pub fn column_of(marker: Option<&Marker>) -> u32 {
    marker.map_or(1, column)
}

fn column(marker: &Marker) -> u32 {
    u32::try_from(marker.column()).unwrap_or(u32::MAX)
}
