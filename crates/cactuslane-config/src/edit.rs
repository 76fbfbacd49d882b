//! Edits of one section that keep the rest of the text byte for byte, comments included.

use std::fmt;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::document::{Document, Section};
use crate::reader::{Diagnostic, Reader};

/// An error of reading or replacing a section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// The text has no field with the name of the section, or is no object.
    NoSection(Section),
    /// The text, or the document after the edit, has these errors.
    Invalid(Vec<Diagnostic>),
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSection(section) => {
                write!(
                    f,
                    "the document has no section `{}`; add it once by hand",
                    section.as_str()
                )
            }
            Self::Invalid(diagnostics) => {
                for diagnostic in diagnostics {
                    writeln!(f, "{diagnostic}")?;
                }
                Ok(())
            }
        }
    }
}

/// Returns the source text of the value of a section, with the comments inside it.
///
/// # Errors
///
/// Returns an error if the text has a syntax error or lacks the section.
pub fn section_text(text: &str, section: Section) -> Result<String, EditError> {
    let (start, end) = section_range(text, section)?;
    Ok(text[start..end].to_owned())
}

/// Replaces the value of a section by `new`, trimmed, and validates the resulting document.
///
/// # Errors
///
/// Returns an error if the text has a syntax error or lacks the section, or if the result is
/// invalid.
pub fn replace_section(text: &str, section: Section, new: &str) -> Result<String, EditError> {
    let (start, end) = section_range(text, section)?;
    let result = format!("{}{}{}", &text[..start], new.trim(), &text[end..]);
    Document::parse("document", &result).map_err(EditError::Invalid)?;
    Ok(result)
}

/// Returns the byte range of the value of a section; for a duplicate field, that of the first.
fn section_range(text: &str, section: Section) -> Result<(usize, usize), EditError> {
    let mut reader = Reader::new("document", text);
    let Some(value) = reader.parse() else {
        return Err(EditError::Invalid(reader.finish()));
    };
    let Value::Object(object) = &value else {
        return Err(EditError::NoSection(section));
    };
    for property in &object.properties {
        if property.name.as_str() == section.as_str() {
            return Ok((property.value.start(), property.value.end()));
        }
    }
    Err(EditError::NoSection(section))
}
