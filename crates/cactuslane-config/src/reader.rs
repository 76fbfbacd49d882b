//! Reading of JSON with comments into typed values, with every fault located.

use std::collections::BTreeMap;
use std::fmt;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// Collects faults while typed values are read from one text.
#[derive(Debug)]
pub struct Reader<'t> {
    /// The name of the file that faults report.
    file: String,
    /// The text that positions refer to.
    text: &'t str,
    /// Holds the faults found so far.
    faults: Vec<Fault>,
}

/// One fault of a text: where it is, what was expected and how to cure it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the value, such as `callers.desk.rate`.
    pub path: String,
    /// Says what was expected and what was found.
    pub message: String,
    /// Says how to cure the fault.
    pub hint: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}", self.message)?;
        if !self.hint.is_empty() {
            write!(f, " (hint: {})", self.hint)?;
        }
        Ok(())
    }
}

/// A value of the syntax tree with its path.
#[derive(Clone, Debug)]
pub struct Node<'t, 'v> {
    /// The path from the document's root.
    pub path: String,
    /// The syntax tree's value.
    value: &'v Value<'t>,
}

/// An object whose fields are taken one by one; what is left at the end is unknown.
#[derive(Debug)]
pub struct Fields<'t, 'v> {
    /// The path of the object.
    path: String,
    /// The byte offset of the object.
    offset: usize,
    /// Holds the fields not yet taken, with the byte offsets of their names.
    remaining: BTreeMap<String, (usize, &'v Value<'t>)>,
    /// Holds the names that were asked for.
    requested: Vec<&'static str>,
}

impl<'t> Reader<'t> {
    /// Creates a reader for a text under a file's name.
    #[must_use]
    pub fn new(file: &str, text: &'t str) -> Self {
        Self {
            file: file.to_owned(),
            text,
            faults: Vec::new(),
        }
    }

    /// Parses the text, or records the syntax fault.
    pub fn parse(&mut self) -> Option<Value<'t>> {
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: true,
        };
        match parse_to_ast(self.text, &CollectOptions::default(), &options) {
            Ok(result) if result.value.is_some() => result.value,
            Ok(_) => {
                self.report_at(
                    0,
                    "",
                    "expected an object, found an empty text",
                    "write `{}`",
                );
                None
            }
            Err(error) => {
                let message = format!("syntax error: {}", error.kind());
                let hint = "check commas, quotes and brackets just before this place";
                self.report_at(error.range().start, "", &message, hint);
                None
            }
        }
    }

    /// Returns the faults, in the order of the text.
    #[must_use]
    pub fn finish(mut self) -> Vec<Fault> {
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        self.faults
    }

    /// Returns whether no fault was found so far.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.faults.is_empty()
    }

    /// Records a fault at a node.
    pub fn report(&mut self, node: &Node<'_, '_>, message: &str, hint: &str) {
        self.report_at(node.value.start(), &node.path, message, hint);
    }

    /// Records a fault at a byte offset.
    pub fn report_at(&mut self, offset: usize, path: &str, message: &str, hint: &str) {
        let before = &self.text[..floor_char_boundary(self.text, offset)];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        let column = before[start..].chars().count() + 1;
        self.faults.push(Fault {
            file: self.file.clone(),
            line,
            column,
            path: path.to_owned(),
            message: message.to_owned(),
            hint: hint.to_owned(),
        });
    }
}

/// Reading of one value, with its fault recorded where it has another type.
impl<'t> Reader<'t> {
    /// Opens an object to take its fields.
    pub fn fields<'v>(&mut self, node: &Node<'t, 'v>) -> Option<Fields<'t, 'v>> {
        let object = self.object(node)?;
        let mut remaining = BTreeMap::new();
        for property in &object.properties {
            let name = property.name.as_str().to_owned();
            let offset = property.range.start;
            if remaining
                .insert(name.clone(), (offset, &property.value))
                .is_some()
            {
                let path = join_path(&node.path, &name);
                self.report_at(
                    offset,
                    &path,
                    "the field stands twice",
                    "remove one of the two",
                );
            }
        }
        let offset = node.value.start();
        Some(Fields {
            path: node.path.clone(),
            offset,
            remaining,
            requested: Vec::new(),
        })
    }

    /// Reads an object whose names are free, as pairs of name and node.
    pub fn entries<'v>(&mut self, node: &Node<'t, 'v>) -> Vec<(String, Node<'t, 'v>)> {
        let Some(object) = self.object(node) else {
            return Vec::new();
        };
        let mut entries: Vec<(String, Node<'t, 'v>)> = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str().to_owned();
            let path = join_path(&node.path, &name);
            if entries.iter().any(|(known, _)| *known == name) {
                let hint = "remove or rename one of the two";
                self.report_at(property.range.start, &path, "the name stands twice", hint);
                continue;
            }
            entries.push((
                name,
                Node {
                    path,
                    value: &property.value,
                },
            ));
        }
        entries
    }

    /// Reads an array as nodes.
    pub fn items<'v>(&mut self, node: &Node<'t, 'v>) -> Vec<Node<'t, 'v>> {
        let Value::Array(array) = node.value else {
            self.report_mismatch(node, "an array");
            return Vec::new();
        };
        let path = |index| format!("{}[{index}]", node.path);
        let nodes = array.elements.iter().enumerate();
        nodes
            .map(|(index, value)| Node {
                path: path(index),
                value,
            })
            .collect()
    }

    /// Reads a string.
    pub fn string(&mut self, node: &Node<'t, '_>) -> Option<String> {
        let Value::StringLit(literal) = node.value else {
            self.report_mismatch(node, "a string");
            return None;
        };
        Some(literal.value.to_string())
    }

    /// Reads a boolean.
    pub fn boolean(&mut self, node: &Node<'t, '_>) -> Option<bool> {
        let Value::BooleanLit(literal) = node.value else {
            self.report_mismatch(node, "true or false");
            return None;
        };
        Some(literal.value)
    }

    /// Reads a number within an inclusive range.
    pub fn number(&mut self, node: &Node<'t, '_>, min: f64, max: f64) -> Option<f64> {
        let expected = format!("a number from {min} to {max}");
        let Value::NumberLit(literal) = node.value else {
            self.report_mismatch(node, &expected);
            return None;
        };
        let Ok(number) = literal.value.parse::<f64>() else {
            self.report_mismatch(node, &expected);
            return None;
        };
        if !(min..=max).contains(&number) {
            let message = format!("expected {expected}, found {}", literal.value);
            self.report(node, &message, "choose a number within the range");
            return None;
        }
        Some(number)
    }

    /// Reads a whole number within an inclusive range.
    pub fn integer(&mut self, node: &Node<'t, '_>, min: u64, max: u64) -> Option<u64> {
        let number = self.number(node, min as f64, max as f64)?;
        if number.fract() != 0.0 {
            self.report(node, "expected a whole number", "remove the fraction");
            return None;
        }
        Some(number as u64)
    }

    /// Reads one of some words.
    pub fn one_of(&mut self, node: &Node<'t, '_>, allowed: &[&str]) -> Option<String> {
        let text = self.string(node)?;
        if allowed.contains(&text.as_str()) {
            return Some(text);
        }
        let message = format!("expected one of {}, found \"{text}\"", allowed.join(", "));
        self.report(
            node,
            &message,
            &nearest_hint(&text, allowed.iter().copied()),
        );
        None
    }

    /// Reads the array of strings below a node.
    pub fn strings(&mut self, node: &Node<'t, '_>) -> Vec<String> {
        let nodes = self.items(node);
        nodes.iter().filter_map(|item| self.string(item)).collect()
    }

    /// Reports the fields that were never asked for, each with the nearest known name.
    pub fn report_unknown(&mut self, fields: Fields<'t, '_>) {
        for (name, (offset, _)) in fields.remaining {
            let path = join_path(&fields.path, &name);
            let hint = nearest_hint(&name, fields.requested.iter().copied());
            self.report_at(offset, &path, "unknown field", &hint);
        }
    }

    /// Returns the object of a node, or records the mismatch.
    fn object<'v>(&mut self, node: &Node<'t, 'v>) -> Option<&'v Object<'t>> {
        let Value::Object(object) = node.value else {
            self.report_mismatch(node, "an object");
            return None;
        };
        Some(object)
    }

    /// Records that a node has another type than expected.
    fn report_mismatch(&mut self, node: &Node<'t, '_>, expected: &str) {
        let found = match node.value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "a boolean",
            Value::Object(_) => "an object",
            Value::Array(_) => "an array",
            Value::NullKeyword(_) => "null",
        };
        let message = format!("expected {expected}, found {found}");
        self.report(node, &message, &format!("write {expected} here"));
    }
}

impl<'t, 'v> Fields<'t, 'v> {
    /// Takes a field that may be absent.
    pub fn optional(&mut self, name: &'static str) -> Option<Node<'t, 'v>> {
        self.requested.push(name);
        let (_, value) = self.remaining.remove(name)?;
        Some(Node {
            path: join_path(&self.path, name),
            value,
        })
    }

    /// Takes a field that must be present, or records its absence.
    pub fn required(
        &mut self,
        reader: &mut Reader<'t>,
        name: &'static str,
    ) -> Option<Node<'t, 'v>> {
        let node = self.optional(name);
        if node.is_none() {
            let message = format!("the field `{name}` is missing");
            let hint = format!("add \"{name}\" to this object");
            reader.report_at(self.offset, &self.path, &message, &hint);
        }
        node
    }
}

impl<'t, 'v> Node<'t, 'v> {
    /// Creates the root node of a syntax tree.
    #[must_use]
    pub fn root(value: &'v Value<'t>) -> Self {
        Self {
            path: String::new(),
            value,
        }
    }
}

/// Returns a hint that names the closest of some known names.
fn nearest_hint<'n>(name: &str, known: impl Iterator<Item = &'n str>) -> String {
    let known: Vec<&str> = known.collect();
    let nearest = known
        .iter()
        .max_by(|a, b| strsim::jaro_winkler(name, a).total_cmp(&strsim::jaro_winkler(name, b)));
    match nearest {
        Some(nearest) => format!("the nearest known name is `{nearest}`"),
        None => "remove it".to_owned(),
    }
}

/// Joins a path and a name with a dot.
fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns the largest character boundary at or below an offset.
fn floor_char_boundary(text: &str, offset: usize) -> usize {
    let mut at = offset.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}
