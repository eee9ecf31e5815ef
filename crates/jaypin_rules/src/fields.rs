//! Reads the fields of a rule and reports every invalid field.

use std::collections::{HashMap, HashSet};
use std::fmt::Display;
use std::str::FromStr;

use marked_yaml::Node;
use marked_yaml::types::MarkedScalarNode;

use crate::Mistake;
use crate::line::{RuleLine, column_of};
use crate::nearest::name_hint;

/// Data about the rules that the checks over the whole file need.
#[derive(Debug, Default)]
pub struct CheckContext {
    /// Column of the value of each field, by line and field name.
    pub columns: HashMap<(u32, &'static str), u32>,
    /// Kind and name of invalid rules, so that references to them are not reported as
    /// references to missing rules.
    pub invalid_rules: HashSet<(String, String)>,
}

/// Reader for the fields of a rule.
#[derive(Debug)]
pub struct Fields<'a> {
    line: &'a RuleLine,
    read_names: Vec<&'static str>,
    context: &'a mut CheckContext,
    mistakes: &'a mut Vec<Mistake>,
}

impl<'a> Fields<'a> {
    /// Creates a reader for the fields of a line that appends mistakes to `mistakes`.
    pub fn new(
        line: &'a RuleLine,
        context: &'a mut CheckContext,
        mistakes: &'a mut Vec<Mistake>,
    ) -> Self {
        Self {
            line,
            read_names: Vec::new(),
            context,
            mistakes,
        }
    }

    /// Reads a required name, which consists of letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, field: &'static str) -> Option<String> {
        let scalar = self.required(field, "a name")?;
        self.check_name(field, &scalar)
    }

    /// Reads an optional name.
    pub fn optional_name(&mut self, field: &'static str) -> Option<String> {
        let scalar = self.scalar(field, "a name")?;
        self.check_name(field, &scalar)
    }

    /// Reads an optional list of names; an absent list is empty.
    pub fn names(&mut self, field: &'static str) -> Vec<String> {
        let expected = "a list of names, `[ONE, OTHER]`";
        let line = self.line;
        let Some(node) = self.node(field) else {
            return Vec::new();
        };
        let Node::Sequence(list) = node else {
            self.reject(field, describe(node), expected);
            return Vec::new();
        };
        let mut names = Vec::new();
        for node in list.iter() {
            match node.as_scalar().map(MarkedScalarNode::as_str) {
                Some(text) if is_name(text) => names.push(text.to_owned()),
                _ => {
                    let column = column_of(node.span().start());
                    let message =
                        format!("`{field}`: found {}, expected {expected}", describe(node));
                    self.mistakes
                        .push(Mistake::new(line.origin.line, column, message));
                }
            }
        }
        names
    }

    /// Reads a required text.
    pub fn text(&mut self, field: &'static str, expected: &str) -> Option<String> {
        let scalar = self.required(field, expected)?;
        Some(scalar.as_str().to_owned())
    }

    /// Reads a required number, or a boolean when `T` is `bool`.
    pub fn number<T: FromStr>(&mut self, field: &'static str, expected: &str) -> Option<T> {
        let scalar = self.required(field, expected)?;
        self.parse(field, &scalar, expected)
    }

    /// Reads an optional number.
    pub fn optional_number<T: FromStr>(
        &mut self,
        field: &'static str,
        expected: &str,
    ) -> Option<T> {
        let scalar = self.scalar(field, expected)?;
        self.parse(field, &scalar, expected)
    }

    /// Reads an optional number with a default.
    pub fn number_or<T: FromStr>(
        &mut self,
        field: &'static str,
        default: T,
        expected: &str,
    ) -> Option<T> {
        match self.scalar(field, expected) {
            Some(scalar) => self.parse(field, &scalar, expected),
            None => Some(default),
        }
    }

    /// Reads a required keyword and returns the value that belongs to it.
    pub fn keyword<T: Copy>(&mut self, field: &'static str, keywords: &[(&str, T)]) -> Option<T> {
        let known: Vec<&str> = keywords.iter().map(|(keyword, _)| *keyword).collect();
        let expected = format!("one of `{}`", known.join("`, `"));
        let scalar = self.required(field, &expected)?;
        let found = keywords
            .iter()
            .find(|(keyword, _)| *keyword == scalar.as_str());
        if found.is_none() {
            let hint = name_hint(scalar.as_str(), known);
            let found = format!("`{}`", scalar.as_str());
            self.reject(field, &found, &format!("{expected}{hint}"));
        }
        found.map(|(_, value)| *value)
    }

    /// Returns whether a field is present, valid or not.
    pub fn has(&self, field: &str) -> bool {
        self.line.mapping.get_node(field).is_some()
    }

    /// Reports that the value of a field is invalid.
    pub fn reject(&mut self, field: &'static str, found: impl Display, expected: &str) {
        let message = format!("`{field}`: found {found}, expected {expected}");
        self.report(field, message);
    }

    /// Reports a mistake at the value of a field, or at the start of the line when the field is
    /// absent.
    pub fn report(&mut self, field: &'static str, message: String) {
        let line = self.line.origin.line;
        let column = self
            .context
            .columns
            .get(&(line, field))
            .copied()
            .unwrap_or(1);
        self.mistakes.push(Mistake::new(line, column, message));
    }

    /// Reports every field that this kind of rule does not have. It is called after all known
    /// fields were read.
    pub fn finish(self) {
        for key in self.line.mapping.keys() {
            let name = key.as_str();
            if self.read_names.contains(&name) {
                continue;
            }
            let hint = name_hint(name, self.read_names.iter().copied());
            let message = format!(
                "unknown field `{name}`, expected one of `{}`{hint}",
                self.read_names.join("`, `")
            );
            let column = column_of(key.span().start());
            self.mistakes
                .push(Mistake::new(self.line.origin.line, column, message));
        }
    }

    fn node(&mut self, field: &'static str) -> Option<&'a Node> {
        self.read_names.push(field);
        let node = self.line.mapping.get_node(field)?;
        let column = column_of(node.span().start());
        let key = (self.line.origin.line, field);
        self.context.columns.insert(key, column);
        Some(node)
    }

    fn scalar(&mut self, field: &'static str, expected: &str) -> Option<MarkedScalarNode> {
        let node = self.node(field)?;
        let scalar = node.as_scalar().filter(|scalar| !scalar.is_empty());
        if scalar.is_none() {
            self.reject(field, describe(node), expected);
        }
        scalar.cloned()
    }

    fn required(&mut self, field: &'static str, expected: &str) -> Option<MarkedScalarNode> {
        if self.line.mapping.get_node(field).is_none() {
            self.read_names.push(field);
            let column = column_of(self.line.mapping.span().start());
            let message = format!("field `{field}` is missing, expected {expected}");
            self.mistakes
                .push(Mistake::new(self.line.origin.line, column, message));
            return None;
        }
        self.scalar(field, expected)
    }

    fn check_name(&mut self, field: &'static str, scalar: &MarkedScalarNode) -> Option<String> {
        let name = scalar.as_str();
        if is_name(name) {
            return Some(name.to_owned());
        }
        let found = format!("`{name}`");
        self.reject(field, found, "a name of letters, digits, `-`, `_` and `.`");
        None
    }

    fn parse<T: FromStr>(
        &mut self,
        field: &'static str,
        scalar: &MarkedScalarNode,
        expected: &str,
    ) -> Option<T> {
        let parsed = scalar
            .may_coerce()
            .then(|| scalar.as_str().parse().ok())
            .flatten();
        if parsed.is_none() {
            let found = if scalar.may_coerce() {
                format!("`{}`", scalar.as_str())
            } else {
                format!("the quoted text `{}`", scalar.as_str())
            };
            self.reject(field, found, expected);
        }
        parsed
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().all(allowed)
}

fn describe(node: &Node) -> String {
    match node {
        Node::Scalar(scalar) if scalar.is_empty() => "nothing".to_owned(),
        Node::Scalar(scalar) => format!("`{}`", scalar.as_str()),
        Node::Mapping(_) => "a mapping".to_owned(),
        Node::Sequence(_) => "a list".to_owned(),
    }
}
