//! Edits of one section that leave the rest of the text as it is.

use std::fmt;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::document::{Document, Section};
use crate::reader::{Fault, Reader};

/// Says why an edit was not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// The text does not hold the section.
    NoSection(Section),
    /// The document that would result has faults.
    Invalid(Vec<Fault>),
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
            Self::Invalid(faults) => {
                for fault in faults {
                    writeln!(f, "{fault}")?;
                }
                Ok(())
            }
        }
    }
}

/// Returns the text of one section, with its comments.
///
/// # Errors
///
/// Returns an error where the text has a fault or lacks the section.
pub fn section_text(text: &str, section: Section) -> Result<String, EditError> {
    let (start, end) = section_range(text, section)?;
    Ok(text[start..end].to_owned())
}

/// Replaces one section and checks the document that results.
///
/// # Errors
///
/// Returns an error where the section is absent or the result has faults.
pub fn replace_section(text: &str, section: Section, new: &str) -> Result<String, EditError> {
    let (start, end) = section_range(text, section)?;
    let result = format!("{}{}{}", &text[..start], new.trim(), &text[end..]);
    Document::parse("document", &result).map_err(EditError::Invalid)?;
    Ok(result)
}

/// Finds the byte range of a section's value.
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
