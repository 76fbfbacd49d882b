//! Tests of parsing, validation and section edits.

use cactuslane_config::edit::{EditError, replace_section, section_text};
use cactuslane_config::{Document, Section, Settings};
use yare::parameterized;

/// A valid document, which tests modify.
const DOCUMENT: &str = r#"{
  // The models team keeps this list.
  "models": {
    "engines": {
      "m": {
        "first_token_ms": 1500, "between_tokens_ms": 60, "min_serving": 2,
        "version": "1", "max_output": 100, /* tokens */
      },
    },
    "services": { "s": { "timeout_ms": 100, "repeatable": [{ "method": "GET", "path": "/a" }] } },
  },
  "capacity": { "retry_share": 0.1 },
  "callers": {
    "desk": {
      "token_sha256": "0000000000000000000000000000000000000000000000000000000000000000",
      "models": ["m"], "services": ["s"], "rate": 5, "tokens": 100, "concurrency": 2,
    },
  },
  "maintenance": {
    "time_zone": "Europe/Zagreb", "at_once": 1, "per_domain": 1,
    "windows": [{ "days": [1], "from": "22:00", "until": "05:30" }],
  },
}
"#;

/// Values of a valid document are parsed, times of day as minutes after midnight.
#[test]
fn a_valid_document_is_parsed() {
    let document = Document::parse("d", DOCUMENT).expect("the document is valid");
    assert_eq!(document.models["m"].min_serving, 2);
    assert!((document.callers["desk"].rate - 5.0).abs() < 1e-9);
    let window = &document.maintenance.windows[0];
    assert_eq!((window.from, window.until), (22 * 60, 5 * 60 + 30));
}

/// Each kind of error is reported with its message and hint, and with its position and path where
/// the case states them.
#[parameterized(
    unknown = { "\"rate\": 5", "\"rat\": 5", "16:43: callers.desk.rat: unknown field", "`rate`" },
    missing = { "\"at_once\": 1, ", "", "19:18: maintenance: the field `at_once` is missing", "add" },
    kind = { "\"retry_share\": 0.1", "\"retry_share\": \"x\"", "expected a number", "found a string" },
    range = { "\"retry_share\": 0.1", "\"retry_share\": 1.5", "from 0 to 1", "within the range" },
    reference = { "\"models\": [\"m\"]", "\"models\": [\"n\"]", "\"n\" is not defined", "defined names: m" },
    word = { "\"method\": \"GET\"", "\"method\": \"GTE\"", "found \"GTE\"", "`GET`" },
    time = { "22:00", "25:00", "such as \"22:30\"", "two digits" },
    hash = { "\"0000", "\"G000", "64 lower-case hex digits", "hash-token" },
    twice = { "\"max_output\": 100", "\"max_output\": 100, \"version\": \"2\"", "duplicate field", "remove" },
    syntax = { "\"capacity\":", "\"capacity\"", "syntax error", "just before" },
    fraction = { "\"min_serving\": 2", "\"min_serving\": 2.5", "a whole number", "fraction" },
)]
fn an_error_is_reported_with_position_and_hint(from: &str, to: &str, message: &str, hint: &str) {
    let text = DOCUMENT.replacen(from, to, 1);
    assert_ne!(text, DOCUMENT);
    let diagnostics = Document::parse("d", &text).expect_err("the document is invalid");
    let all: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    let found = all
        .iter()
        .any(|diagnostic| diagnostic.contains(message) && diagnostic.contains(hint));
    assert!(found, "{all:#?}");
}

/// All errors of a document are reported together, in the order of their lines.
#[test]
fn all_errors_are_reported_in_order() {
    let text = DOCUMENT
        .replace("\"rate\": 5", "\"rate\": -5")
        .replace("\"at_once\": 1", "\"at_once\": 0");
    let text = text.replace("\"version\": \"1\"", "\"version\": 1");
    let diagnostics = Document::parse("d", &text).expect_err("the document is invalid");
    let lines: Vec<usize> = diagnostics
        .iter()
        .map(|diagnostic| diagnostic.line)
        .collect();
    assert_eq!(lines, vec![7, 16, 20]);
}

/// Replacing one section changes no byte outside it.
#[test]
fn an_edit_changes_only_its_section() {
    let new = "{ \"retry_share\": 0.2 /* more */ }";
    let edited = replace_section(DOCUMENT, Section::Capacity, new).expect("the document is valid");
    assert_eq!(edited, DOCUMENT.replace("{ \"retry_share\": 0.1 }", new));
    assert_eq!(
        section_text(&edited, Section::Capacity).expect("the section exists"),
        new
    );
}

/// An edit is refused if another section of the result refers to a name that the edit removed.
#[test]
fn an_edit_that_breaks_a_reference_is_refused() {
    let models = section_text(DOCUMENT, Section::Models)
        .expect("the section exists")
        .replace("\"m\"", "\"n\"");
    let result = replace_section(DOCUMENT, Section::Models, &models);
    assert!(matches!(result, Err(EditError::Invalid(diagnostics)) if diagnostics.len() == 1));
}

/// Only calls with a listed method, at or below a listed path, may run more than once.
#[parameterized(
    same = { "GET", "/a", true },
    below = { "GET", "/a/b", true },
    query = { "GET", "/a?x=1", true },
    beside = { "GET", "/ab", false },
    method = { "POST", "/a", false },
    dots = { "GET", "/a/../b", false },
    escaped = { "GET", "/a/%2E%2e/b", false },
)]
fn only_listed_calls_are_repeatable(method: &str, path: &str, expected: bool) {
    let document = Document::parse("d", DOCUMENT).expect("the document is valid");
    assert_eq!(document.services["s"].may_repeat(method, path), expected);
}

/// Replacing or deleting one character, tried at every third, never causes a panic, and a rejected
/// text always comes with at least one error.
#[test]
fn malformed_documents_do_not_panic() {
    for (place, _) in DOCUMENT.char_indices().filter(|(place, _)| place % 3 == 0) {
        for insert in ["{", "}", "\"", "ä", "/*", "-", ""] {
            let text = format!("{}{insert}{}", &DOCUMENT[..place], &DOCUMENT[place + 1..]);
            if let Err(diagnostics) = Document::parse("d", &text) {
                assert!(!diagnostics.is_empty());
            }
        }
    }
}

/// Settings with a host name as an address, a short cluster key and a misspelt field are refused,
/// with an error for each.
#[test]
fn invalid_settings_are_reported() {
    let text = r#"{
        "instance": "e", "failure_domain": "a", "listen": "127.0.0.1:0", "gossip": "localhost:1",
        "store": "127.0.0.1:1", "instance_list": "127.0.0.1:1", "weight_store": "127.0.0.1:1",
        "cluster_key": "short", "log_formt": "json"
    }"#;
    let diagnostics = Settings::parse("s", text).expect_err("the settings are invalid");
    let paths: Vec<&str> = diagnostics
        .iter()
        .map(|diagnostic| diagnostic.path.as_str())
        .collect();
    assert_eq!(paths, vec!["gossip", "cluster_key", "log_formt"]);
    assert!(diagnostics[2].hint.contains("log_format"));
}
