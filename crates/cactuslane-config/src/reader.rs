//! Reading of JSON with comments into typed values, with the source position of every error.

use std::collections::BTreeMap;
use std::fmt;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// Reads typed values from one text and collects all errors of its values instead of stopping at
/// the first.
#[derive(Debug)]
pub struct Reader<'t> {
    /// The file name used in error messages.
    file: String,
    /// The source text, from which byte offsets are converted to lines and columns.
    text: &'t str,
    /// The errors found so far, in the order of discovery.
    diagnostics: Vec<Diagnostic>,
}

/// An error at one place of a text: its position, what was expected and how to fix it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The name of the text: a file's path, or a label such as `document` for text from the store.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters (not bytes), counted from 1.
    pub column: usize,
    /// The path of the value, such as `callers.desk.rate`; empty for the root.
    pub path: String,
    /// What was expected and, where it applies, what was found.
    pub message: String,
    /// A suggested fix; left out of the display form if empty.
    pub hint: String,
}

impl fmt::Display for Diagnostic {
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

/// A value of the syntax tree with its path from the root.
#[derive(Clone, Debug)]
pub struct Node<'t, 'v> {
    /// The path in the dotted form of [`Diagnostic::path`]; array elements add an index such as
    /// `[0]`.
    pub path: String,
    /// The value in the syntax tree.
    value: &'v Value<'t>,
}

/// An object whose fields are read one by one; fields that remain unread at the end are unknown.
#[derive(Debug)]
pub struct Fields<'t, 'v> {
    /// The path of the object, to which field names are appended.
    path: String,
    /// The byte offset of the object, where missing fields are reported.
    offset: usize,
    /// The fields not yet read, with the byte offsets of their names.
    remaining: BTreeMap<String, (usize, &'v Value<'t>)>,
    /// The field names requested so far, which are suggested in place of unknown ones.
    requested: Vec<&'static str>,
}

impl<'t> Reader<'t> {
    /// Creates a reader for a text; `file` is the name used in error messages.
    #[must_use]
    pub fn new(file: &str, text: &'t str) -> Self {
        Self {
            file: file.to_owned(),
            text,
            diagnostics: Vec::new(),
        }
    }

    /// Parses the text into a syntax tree. Returns `None` and reports an error if the text has a
    /// syntax error, of which only the first is reported, or holds no value.
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
                let hint = "check commas, quotes and brackets just before this position";
                self.report_at(error.range().start, "", &message, hint);
                None
            }
        }
    }

    /// Returns the reported errors, ordered by line and column.
    #[must_use]
    pub fn finish(mut self) -> Vec<Diagnostic> {
        self.diagnostics
            .sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
        self.diagnostics
    }

    /// Returns whether no error has been reported so far.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.diagnostics.is_empty()
    }

    /// Reports an error at the start of a node, under its path.
    pub fn report(&mut self, node: &Node<'_, '_>, message: &str, hint: &str) {
        self.report_at(node.value.start(), &node.path, message, hint);
    }

    /// Reports an error at a byte offset; an offset inside a character counts as the character's
    /// start.
    pub fn report_at(&mut self, offset: usize, path: &str, message: &str, hint: &str) {
        let before = &self.text[..floor_char_boundary(self.text, offset)];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        let column = before[start..].chars().count() + 1;
        self.diagnostics.push(Diagnostic {
            file: self.file.clone(),
            line,
            column,
            path: path.to_owned(),
            message: message.to_owned(),
            hint: hint.to_owned(),
        });
    }
}

/// Typed access to nodes. A value of another type than requested is reported as an error.
impl<'t> Reader<'t> {
    /// Reads an object with a fixed set of field names. Reports names that occur twice; the last
    /// value is kept.
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
                self.report_at(offset, &path, "duplicate field", "remove one of the two");
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

    /// Reads an object whose keys are arbitrary names, as pairs of name and node in the order of
    /// the text. Reports names that occur twice; the first value is kept.
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
                self.report_at(property.range.start, &path, "duplicate name", hint);
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

    /// Reads the elements of an array as nodes; empty for a value that is no array.
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

    /// Reads a string, with escapes resolved.
    pub fn string(&mut self, node: &Node<'t, '_>) -> Option<String> {
        let Value::StringLit(literal) = node.value else {
            self.report_mismatch(node, "a string");
            return None;
        };
        Some(literal.value.to_string())
    }

    /// Reads `true` or `false`.
    pub fn boolean(&mut self, node: &Node<'t, '_>) -> Option<bool> {
        let Value::BooleanLit(literal) = node.value else {
            self.report_mismatch(node, "true or false");
            return None;
        };
        Some(literal.value)
    }

    /// Reads a number from `min` to `max`, both included.
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

    /// Reads an integer from `min` to `max`, both included. `1.0` is accepted, `1.5` is not.
    pub fn integer(&mut self, node: &Node<'t, '_>, min: u64, max: u64) -> Option<u64> {
        let number = self.number(node, min as f64, max as f64)?;
        if number.fract() != 0.0 {
            self.report(node, "expected a whole number", "remove the fraction");
            return None;
        }
        Some(number as u64)
    }

    /// Reads a string that must equal one of `allowed`; the error suggests the most similar one.
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

    /// Reads an array of strings; elements of another type are reported and left out.
    pub fn strings(&mut self, node: &Node<'t, '_>) -> Vec<String> {
        let nodes = self.items(node);
        nodes.iter().filter_map(|item| self.string(item)).collect()
    }

    /// Reports the fields that were not requested, with the most similar requested name as a hint.
    ///
    /// Called once all fields of the object have been requested.
    pub fn report_unknown(&mut self, fields: Fields<'t, '_>) {
        for (name, (offset, _)) in fields.remaining {
            let path = join_path(&fields.path, &name);
            let hint = nearest_hint(&name, fields.requested.iter().copied());
            self.report_at(offset, &path, "unknown field", &hint);
        }
    }

    /// Returns the object of a node, or reports that the node has another type.
    fn object<'v>(&mut self, node: &Node<'t, 'v>) -> Option<&'v Object<'t>> {
        let Value::Object(object) = node.value else {
            self.report_mismatch(node, "an object");
            return None;
        };
        Some(object)
    }

    /// Reports that a node has another type than `expected`, a noun phrase such as `a string`.
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
    /// Returns an optional field, or `None` if it is absent.
    pub fn optional(&mut self, name: &'static str) -> Option<Node<'t, 'v>> {
        self.requested.push(name);
        let (_, value) = self.remaining.remove(name)?;
        Some(Node {
            path: join_path(&self.path, name),
            value,
        })
    }

    /// Returns a required field. Reports an error at the object if it is absent.
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
    /// Creates the root node of a syntax tree, with an empty path.
    #[must_use]
    pub fn root(value: &'v Value<'t>) -> Self {
        Self {
            path: String::new(),
            value,
        }
    }
}

/// Returns a hint with the known name that is most similar to `name` by Jaro-Winkler similarity.
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

/// Appends a name to a dotted path; below the root it is the name alone.
fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns the largest character boundary at or below a byte offset, at most the text length.
fn floor_char_boundary(text: &str, offset: usize) -> usize {
    let mut at = offset.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}
