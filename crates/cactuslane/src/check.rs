//! The `check` and `hash-token` commands, and helpers for reading files.

use argh::FromArgs;
use cactuslane_config::document::hash_token as hash;
use cactuslane_config::{Diagnostic, Document, Settings};

use crate::CommandError;

/// validates a configuration document, or a settings file with --settings, for `run` or, with
/// --gateway, for `gateway`; prints the errors, with position and hint where there are any
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// the file holds the settings of an instance
    #[argh(switch)]
    settings: bool,
    /// the file is in the format that `gateway` reads
    #[argh(switch)]
    gateway: bool,
    /// path of the file
    #[argh(positional)]
    file: String,
}

/// prints the hash of a token as the configuration document stores it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-token")]
pub struct HashTokenCommand {
    /// the token in plain text
    #[argh(positional)]
    token: String,
}

/// Validates the file; a valid one is confirmed on standard output.
pub fn execute(command: &CheckCommand) -> Result<(), CommandError> {
    let text = read_file(&command.file)?;
    if command.gateway {
        check_gateway(command, &text)?;
    } else if command.settings {
        Settings::parse(&command.file, &text)
            .map_err(|diagnostics| diagnostics_error(&diagnostics))?;
    } else {
        Document::parse(&command.file, &text)
            .map_err(|diagnostics| diagnostics_error(&diagnostics))?;
    }
    println!("{} is valid", command.file);
    Ok(())
}

/// Validates a file in the format that `gateway` reads.
fn check_gateway(command: &CheckCommand, text: &str) -> Result<(), CommandError> {
    let result = if command.settings {
        let settings = cactuslane_platform::Settings::parse(text);
        settings.map(|_| ()).map_err(|error| error.to_string())
    } else {
        cactuslane_platform::document::check(text.as_bytes())
    };
    result.map_err(|error| CommandError::Usage(format!("{}: {error}", command.file)))
}

/// Prints the hash of a token; an empty token is a usage error.
pub fn hash_token(command: &HashTokenCommand) -> Result<(), CommandError> {
    if command.token.is_empty() {
        return Err(CommandError::Usage(
            "the token is empty; use a long random string".to_owned(),
        ));
    }
    println!("{}", hash(&command.token));
    Ok(())
}

/// Reads a text file that the user named; a failure is a usage error with the path.
pub fn read_file(file: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(file)
        .map_err(|error| CommandError::Usage(format!("{file}: {error}; check the path")))
}

/// Returns a usage error that lists the diagnostics, one per line.
pub fn diagnostics_error(diagnostics: &[Diagnostic]) -> CommandError {
    let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    let count = lines.len();
    CommandError::Usage(format!("errors found: {count}\n{}", lines.join("\n")))
}
