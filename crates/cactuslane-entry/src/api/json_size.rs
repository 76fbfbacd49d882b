//! Memory that a JSON text takes once it is parsed.

use cactuslane_flight::held_bytes::FREE_BYTES;

/// Maximum number of values in a request body.
pub const MAX_VALUES: usize = 20_000;
/// Memory of one parsed value, in bytes: the value, its key, and a copy of both in the request to a
/// target.
const VALUE_COST: usize = 256;
/// Number of times that the text of a body is in memory beside the body itself: parsed, as the
/// prompt, and in the request to a target.
const TEXT_COPIES: usize = 3;

/// Returns the number of values in a JSON text, those of invalid parts included; keys do not count.
#[must_use]
pub fn count_values(text: &[u8]) -> usize {
    let mut count = 1;
    let (mut in_string, mut escaped) = (false, false);
    for &byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b',' | b'[' | b'{' if !in_string => count += 1,
            _ => {}
        }
    }
    count
}

/// Returns the memory that a text with so many values takes beside the text itself, as far as the
/// cost of its connection does not cover it, in bytes.
#[must_use]
pub fn parsed_size(text: &[u8], values: usize) -> usize {
    (values * VALUE_COST + text.len() * TEXT_COPIES).saturating_sub(FREE_BYTES)
}
