//! Takes the fields of one rule, and notes every field that is wrong.

use std::collections::{HashMap, HashSet};
use std::fmt::Display;
use std::str::FromStr;

use marked_yaml::Node;
use marked_yaml::types::MarkedScalarNode;

use crate::Mistake;
use crate::line::{RuleLine, column_of};
use crate::nearest::name_hint;

/// What the checks over the whole file have to know beside the rules.
#[derive(Debug, Default)]
pub struct Places {
    /// Where each field of each rule stands: line and field to column.
    pub columns: HashMap<(u32, &'static str), u32>,
    /// Kind and name of rules that are wrong, so that references to them are not
    /// reported as references to nothing.
    pub faulty: HashSet<(String, String)>,
}

/// The fields of one rule that are not taken yet.
#[derive(Debug)]
pub struct Fields<'a> {
    line: &'a RuleLine,
    taken: Vec<&'static str>,
    places: &'a mut Places,
    mistakes: &'a mut Vec<Mistake>,
}

impl<'a> Fields<'a> {
    /// Begins with every field of a line.
    pub fn new(line: &'a RuleLine, places: &'a mut Places, mistakes: &'a mut Vec<Mistake>) -> Self {
        Self {
            line,
            taken: Vec::new(),
            places,
            mistakes,
        }
    }

    // ------------------------------------------------------------------ taking

    /// Takes a name: letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, field: &'static str) -> Option<String> {
        let scalar = self.required(field, "a name")?;
        self.check_name(field, &scalar)
    }

    /// Takes a name that may be absent.
    pub fn optional_name(&mut self, field: &'static str) -> Option<String> {
        let scalar = self.scalar(field, "a name")?;
        self.check_name(field, &scalar)
    }

    /// Takes a list of names; an absent one is empty.
    pub fn names(&mut self, field: &'static str) -> Vec<String> {
        let expected = "a list of names, `[ONE, OTHER]`";
        let line = self.line;
        let Some(node) = self.node(field) else {
            return Vec::new();
        };
        let Node::Sequence(list) = node else {
            self.wrong(field, describe(node), expected);
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

    /// Takes text of any kind.
    pub fn text(&mut self, field: &'static str, expected: &str) -> Option<String> {
        let scalar = self.required(field, expected)?;
        Some(scalar.as_str().to_owned())
    }

    /// Takes a number.
    pub fn number<T: FromStr>(&mut self, field: &'static str, expected: &str) -> Option<T> {
        let scalar = self.required(field, expected)?;
        self.parse(field, &scalar, expected)
    }

    /// Takes a number that may be absent.
    pub fn optional_number<T: FromStr>(
        &mut self,
        field: &'static str,
        expected: &str,
    ) -> Option<T> {
        let scalar = self.scalar(field, expected)?;
        self.parse(field, &scalar, expected)
    }

    /// Takes a number, or its default when it is absent.
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

    /// Takes one of a few words.
    pub fn word<T: Copy>(&mut self, field: &'static str, words: &[(&str, T)]) -> Option<T> {
        let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let expected = format!("one of `{}`", known.join("`, `"));
        let scalar = self.required(field, &expected)?;
        let found = words.iter().find(|(word, _)| *word == scalar.as_str());
        if found.is_none() {
            let hint = name_hint(scalar.as_str(), known);
            let found = format!("`{}`", scalar.as_str());
            self.wrong(field, &found, &format!("{expected}{hint}"));
        }
        found.map(|(_, value)| *value)
    }

    // ------------------------------------------------------------------ judging

    /// Whether a field is there, right or wrong.
    pub fn has(&self, field: &str) -> bool {
        self.line.mapping.get_node(field).is_some()
    }

    /// Notes that a field can't have the value it has.
    pub fn wrong(&mut self, field: &'static str, found: impl Display, expected: &str) {
        let message = format!("`{field}`: found {found}, expected {expected}");
        self.note(field, message);
    }

    /// Notes a mistake at a field.
    pub fn note(&mut self, field: &'static str, message: String) {
        let line = self.line.origin.line;
        let column = self
            .places
            .columns
            .get(&(line, field))
            .copied()
            .unwrap_or(1);
        self.mistakes.push(Mistake::new(line, column, message));
    }

    /// Notes every field that this kind of rule does not have.
    pub fn finish(self) {
        for key in self.line.mapping.keys() {
            let name = key.as_str();
            if self.taken.contains(&name) {
                continue;
            }
            let hint = name_hint(name, self.taken.iter().copied());
            let message = format!(
                "unknown field `{name}`, expected one of `{}`{hint}",
                self.taken.join("`, `")
            );
            let column = column_of(key.span().start());
            self.mistakes
                .push(Mistake::new(self.line.origin.line, column, message));
        }
    }

    // ------------------------------------------------------------------ inside

    fn node(&mut self, field: &'static str) -> Option<&'a Node> {
        self.taken.push(field);
        let node = self.line.mapping.get_node(field)?;
        let column = column_of(node.span().start());
        let place = (self.line.origin.line, field);
        self.places.columns.insert(place, column);
        Some(node)
    }

    fn scalar(&mut self, field: &'static str, expected: &str) -> Option<MarkedScalarNode> {
        let node = self.node(field)?;
        let scalar = node.as_scalar().filter(|scalar| !scalar.is_empty());
        if scalar.is_none() {
            self.wrong(field, describe(node), expected);
        }
        scalar.cloned()
    }

    fn required(&mut self, field: &'static str, expected: &str) -> Option<MarkedScalarNode> {
        if self.line.mapping.get_node(field).is_none() {
            self.taken.push(field);
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
        self.wrong(field, found, "a name of letters, digits, `-`, `_` and `.`");
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
            self.wrong(field, found, expected);
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
