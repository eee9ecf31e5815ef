//! A line of a rule file: a YAML flow mapping and the comment that names its requester.

use marked_yaml::types::MarkedMappingNode;
use marked_yaml::{LoadError, LoaderOptions, Marker, Node, parse_yaml_with_options};

use crate::Mistake;
use crate::rule::Origin;

/// Start of a comment that names a requester.
const ASKED_BY: &str = "asked by:";
/// Form of a line, for error messages.
const LINE_FORM: &str = "`- {KIND: ..., ...}  # asked by: WHO`";

/// A line that was parsed as YAML.
#[derive(Debug)]
pub struct RuleLine {
    /// Line and requester of the rule; the requester is empty when the comment is invalid.
    pub origin: Origin,
    /// Fields of the rule, each with its position.
    pub mapping: MarkedMappingNode,
}

/// Checks whether a line contains no rule, but at most a comment.
pub fn is_blank(line: &str) -> bool {
    let trimmed = line.trim();
    trimmed.is_empty() || trimmed.starts_with('#')
}

/// Parses a line and appends its mistakes to `mistakes`.
pub fn read_line(number: u32, text: &str, mistakes: &mut Vec<Mistake>) -> Option<RuleLine> {
    let mapping = match parse_mapping(text) {
        Ok(mapping) => mapping,
        Err((column, message)) => {
            mistakes.push(Mistake::new(number, column, message));
            return None;
        }
    };
    let end = column_of(mapping.span().end());
    let requester = match parse_requester(text, end) {
        Ok(name) => name,
        Err((column, message)) => {
            mistakes.push(Mistake::new(number, column, message));
            String::new()
        }
    };
    let origin = Origin {
        line: number,
        requester,
    };
    Some(RuleLine { origin, mapping })
}

/// Column and message of a mistake in a line.
type LineMistake = (u32, String);

fn parse_mapping(text: &str) -> Result<MarkedMappingNode, LineMistake> {
    let options = LoaderOptions::default()
        .toplevel_sequence()
        .prevent_coercion(true)
        .error_on_duplicate_keys(true);
    let node = parse_yaml_with_options(0, text, options).map_err(|error| load_mistake(&error))?;
    let Node::Sequence(list) = node else {
        return Err((1, format!("found no rule, expected {LINE_FORM}")));
    };
    if list.len() != 1 {
        let message = format!(
            "found {} rules on one line, expected {LINE_FORM}",
            list.len()
        );
        return Err((1, message));
    }
    let Some(mapping) = list.get_mapping(0) else {
        return Err((1, format!("found no mapping, expected {LINE_FORM}")));
    };
    let start = column_of(mapping.span().start());
    if char_at(text, start) != Some('{') {
        let message = format!("found a mapping without braces, expected {LINE_FORM}");
        return Err((start, message));
    }
    Ok(mapping.clone())
}

fn load_mistake(error: &LoadError) -> LineMistake {
    match error {
        LoadError::DuplicateKey(pair) => {
            let message = format!("field `{}` is given twice", pair.key.as_str());
            (column_of(pair.key.span().start()), message)
        }
        LoadError::TopLevelMustBeMapping(at) | LoadError::TopLevelMustBeSequence(at) => {
            let message = format!("found something other than one rule, expected {LINE_FORM}");
            (column(at), message)
        }
        LoadError::UnexpectedAnchor(at) => (column(at), "anchors are not allowed".to_owned()),
        LoadError::MappingKeyMustBeScalar(at) => (
            column(at),
            "the name of a field must be plain text".to_owned(),
        ),
        LoadError::UnexpectedTag(at) => (column(at), "tags are not allowed".to_owned()),
        LoadError::ScanError(at, error) => {
            let message = format!("not YAML: {}; expected {LINE_FORM}", error.info());
            (column(at), message)
        }
    }
}

/// Reads the requester from the comment after the closing brace.
///
/// The column of that brace comes from the YAML library, so that a `#` inside quoted text is
/// not mistaken for the start of the comment.
fn parse_requester(text: &str, brace: u32) -> Result<String, LineMistake> {
    let start = usize::try_from(brace).unwrap_or(usize::MAX);
    let rest: String = text.chars().skip(start).collect();
    let comment = rest.trim();
    let padding = rest.chars().count() - rest.trim_start().chars().count();
    let at = brace + 1 + u32::try_from(padding).unwrap_or(0);
    let Some(comment_text) = comment.strip_prefix('#') else {
        let message = format!("found no comment after the rule, expected `# {ASKED_BY} WHO`");
        return Err((at, message));
    };
    let Some(name) = comment_text.trim_start().strip_prefix(ASKED_BY) else {
        let message = format!("found the comment `{comment}`, expected `# {ASKED_BY} WHO`");
        return Err((at, message));
    };
    let name = name.trim();
    if name.is_empty() {
        return Err((
            at,
            format!("found no requester after `# {ASKED_BY}`, expected a name"),
        ));
    }
    Ok(name.to_owned())
}

fn char_at(text: &str, column: u32) -> Option<char> {
    let index = usize::try_from(column).ok()?.checked_sub(1)?;
    text.chars().nth(index)
}

/// Returns the column of a marker, from 1. The marker's line is always 1, as each line is
/// parsed on its own.
pub fn column_of(marker: Option<&Marker>) -> u32 {
    marker.map_or(1, column)
}

fn column(marker: &Marker) -> u32 {
    u32::try_from(marker.column()).unwrap_or(u32::MAX)
}
