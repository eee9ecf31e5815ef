//! Reads settings one by one and collects the mistakes with their line numbers.

use std::str::FromStr;

use jaypin_rules::name_hint;
use marked_yaml::types::{MarkedMappingNode, MarkedScalarNode};
use marked_yaml::{LoadError, LoaderOptions, Marker, Node, Span, parse_yaml_with_options};

/// The settings of a file, the names that were read, and the mistakes found so far.
#[derive(Debug)]
pub struct Reader {
    mapping: MarkedMappingNode,
    /// Names of the settings that the program knows; every other key is a mistake.
    known: Vec<&'static str>,
    /// Line numbers and messages.
    mistakes: Vec<(usize, String)>,
}

impl Reader {
    /// Parses the text of a file. A text that isn't a YAML mapping with unique keys is rejected
    /// with a single mistake, given by its line number and message.
    pub fn new(text: &str) -> Result<Self, (usize, String)> {
        let options = LoaderOptions::default().error_on_duplicate_keys(true);
        let node =
            parse_yaml_with_options(0, text, options).map_err(|error| load_mistake(&error))?;
        let Node::Mapping(mapping) = node else {
            return Err((1, "`NAME: VALUE` lines are expected".to_owned()));
        };
        Ok(Self {
            mapping,
            known: Vec::new(),
            mistakes: Vec::new(),
        })
    }

    /// Reads a setting that must be present.
    pub fn required<T: FromStr>(&mut self, name: &'static str, expected: &str) -> Option<T> {
        let is_present = self.mapping.get_node(name).is_some();
        if !is_present {
            self.mistakes
                .push((1, format!("`{name}` is missing, expected {expected}")));
        }
        self.optional(name, expected)
    }

    /// Reads a setting that may be absent.
    pub fn optional<T: FromStr>(&mut self, name: &'static str, expected: &str) -> Option<T> {
        self.known.push(name);
        let node = self.mapping.get_node(name)?;
        let text = node.as_scalar().map_or("", MarkedScalarNode::as_str);
        let value = value_of(node);
        if value.is_none() {
            self.report(name, &format!("found `{text}`, expected {expected}"));
        }
        value
    }

    /// Returns whether a setting is present, valid or not.
    pub fn has(&self, name: &str) -> bool {
        self.mapping.get_node(name).is_some()
    }

    /// Reads a list; an absent one is empty.
    pub fn list<T: FromStr>(&mut self, name: &'static str, expected: &str) -> Vec<T> {
        self.known.push(name);
        let values = match self.mapping.get_node(name) {
            None => return Vec::new(),
            Some(Node::Sequence(list)) => list.iter().map(value_of).collect(),
            Some(_) => None,
        };
        if values.is_none() {
            self.report(name, &format!("expected a list, {expected} each"));
        }
        values.unwrap_or_default()
    }

    /// Records a mistake in a setting. The setting's value is not added to the message, since
    /// it may be secret.
    pub fn report(&mut self, name: &'static str, message: &str) {
        let node = self.mapping.get_node(name);
        let line = node.map_or(1, |node| line_of(node.span()));
        self.mistakes.push((line, format!("`{name}`: {message}")));
    }

    /// Returns all mistakes in the order of their lines, including the unknown settings.
    pub fn finish(mut self) -> Vec<(usize, String)> {
        for key in self.mapping.keys() {
            let name = key.as_str();
            if !self.known.contains(&name) {
                let hint = name_hint(name, self.known.iter().copied());
                let message = format!("unknown setting `{name}`{hint}");
                self.mistakes.push((line_of(key.span()), message));
            }
        }
        self.mistakes.sort();
        self.mistakes
    }
}

fn value_of<T: FromStr>(node: &Node) -> Option<T> {
    let text = node.as_scalar()?.as_str();
    text.parse().ok().filter(|_| !text.is_empty())
}

fn load_mistake(error: &LoadError) -> (usize, String) {
    match error {
        LoadError::DuplicateKey(pair) => (
            line_of(pair.key.span()),
            format!("`{}` is given twice", pair.key.as_str()),
        ),
        LoadError::ScanError(at, error) => (at.line(), format!("not YAML: {}", error.info())),
        LoadError::TopLevelMustBeMapping(at)
        | LoadError::TopLevelMustBeSequence(at)
        | LoadError::UnexpectedAnchor(at)
        | LoadError::MappingKeyMustBeScalar(at)
        | LoadError::UnexpectedTag(at) => {
            (at.line(), "`NAME: VALUE` lines are expected".to_owned())
        }
    }
}

fn line_of(span: &Span) -> usize {
    span.start().map_or(1, Marker::line)
}
