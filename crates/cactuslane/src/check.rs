//! Checks of files without starting anything.

use argh::FromArgs;
use cactuslane_config::document::hash_token as hash;
use cactuslane_config::{Diagnostic, Document, Settings};

use crate::CommandError;

/// checks a configuration document, or settings with --settings, for `run` or, with --gateway, for
/// `gateway`; faults are printed with their place and a hint
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// the file holds settings of an instance
    #[argh(switch)]
    settings: bool,
    /// the file is one that `gateway` reads
    #[argh(switch)]
    gateway: bool,
    /// the file
    #[argh(positional)]
    file: String,
}

/// prints the hash of a token as the configuration holds it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-token")]
pub struct HashTokenCommand {
    /// the token
    #[argh(positional)]
    token: String,
}

/// Checks a file.
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
    println!("{} has no faults", command.file);
    Ok(())
}

/// Checks a file that `gateway` reads.
fn check_gateway(command: &CheckCommand, text: &str) -> Result<(), CommandError> {
    let result = if command.settings {
        let settings = cactuslane_platform::Settings::parse(text);
        settings.map(|_| ()).map_err(|error| error.to_string())
    } else {
        cactuslane_platform::document::decode(text.as_bytes()).map(|_| ())
    };
    result.map_err(|error| CommandError::Usage(format!("{}: {error}", command.file)))
}

/// Prints the hash of a token.
pub fn hash_token(command: &HashTokenCommand) -> Result<(), CommandError> {
    if command.token.is_empty() {
        return Err(CommandError::Usage(
            "the token is empty; give a long random text".to_owned(),
        ));
    }
    println!("{}", hash(&command.token));
    Ok(())
}

/// Reads a file.
pub fn read_file(file: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(file)
        .map_err(|error| CommandError::Usage(format!("{file}: {error}; check the path")))
}

/// Turns faults into an error, one a line.
pub fn diagnostics_error(diagnostics: &[Diagnostic]) -> CommandError {
    let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    let count = lines.len();
    CommandError::Usage(format!(
        "{count} faults, nothing was changed\n{}",
        lines.join("\n")
    ))
}
