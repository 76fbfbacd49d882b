//! Edits of the configuration document.

use std::net::SocketAddr;

use argh::FromArgs;
use cactuslane_config::Section;
use cactuslane_operator::{Editor, EditorError, Operator};
use cactuslane_store::Store;
use similar::TextDiff;

use crate::{CommandError, check};

/// reads and edits the configuration document in the platform's key-value service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigCommand {
    /// the address of the key-value service
    #[argh(option)]
    platform: String,
    /// the operator's token, which holds for its own sections
    #[argh(option, default = "String::new()")]
    token: String,
    /// what to do
    #[argh(subcommand)]
    action: Action,
}

/// What is done with the document.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    /// Prints the document or a section.
    Get(GetAction),
    /// Replaces a section.
    Put(PutAction),
    /// Shows what a file would change.
    Diff(DiffAction),
    /// Lists the last edits.
    History(HistoryAction),
    /// Undoes an edit.
    Rollback(RollbackAction),
    /// Writes the first document.
    Init(InitAction),
    /// Lets an operator edit sections.
    Grant(GrantAction),
}

/// prints the document, or one section with the number to base an edit on
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
struct GetAction {
    /// models, capacity, callers or maintenance
    #[argh(positional)]
    section: Option<String>,
}

/// replaces a section by a file's text; refused if it changed since the base was read
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
struct PutAction {
    /// the number that `get` printed; without it the last edit counts as read
    #[argh(option)]
    base: Option<u64>,
    /// models, capacity, callers or maintenance
    #[argh(positional)]
    section: String,
    /// the file with the section's text
    #[argh(positional)]
    file: String,
}

/// shows what a file would change in a section
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffAction {
    /// models, capacity, callers or maintenance
    #[argh(positional)]
    section: String,
    /// the file with the section's text
    #[argh(positional)]
    file: String,
}

/// lists the last edits, the newest first
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryAction {}

/// undoes an edit by a new one that brings back the text before it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
struct RollbackAction {
    /// the number of the edit
    #[argh(positional)]
    number: u64,
}

/// writes the first document; refused if there is one
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "init")]
struct InitAction {
    /// the file
    #[argh(positional)]
    file: String,
}

/// lets the holder of --token edit sections
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "grant")]
struct GrantAction {
    /// the operator's name
    #[argh(positional)]
    name: String,
    /// the sections
    #[argh(positional)]
    sections: Vec<String>,
}

/// Reads or edits the document.
pub async fn execute(command: ConfigCommand) -> Result<(), CommandError> {
    let editor = Editor::open(Store::open(parse_address(&command.platform)?));
    let token = &command.token;
    match command.action {
        Action::Get(action) => get(&editor, action.section.as_deref()).await,
        Action::Put(action) => {
            let text = check::read_file(&action.file)?;
            let section = parse_section(&action.section)?;
            let result = editor.put(token, section, &text, action.base).await;
            let accepted = result.map_err(command_error)?;
            println!(
                "accepted as edit {}, revision {}",
                accepted.number, accepted.revision
            );
            Ok(())
        }
        Action::Diff(action) => diff(&editor, &action).await,
        Action::History(_) => history(&editor).await,
        Action::Rollback(action) => {
            let accepted = editor
                .rollback(token, action.number)
                .await
                .map_err(command_error)?;
            println!(
                "accepted as edit {}, revision {}",
                accepted.number, accepted.revision
            );
            Ok(())
        }
        Action::Init(action) => {
            let text = check::read_file(&action.file)?;
            let revision = editor.init(&text).await.map_err(command_error)?;
            println!("accepted as revision {revision}");
            Ok(())
        }
        Action::Grant(action) => grant(&editor, token, action).await,
    }
}

/// Prints the document or a section.
async fn get(editor: &Editor, name: Option<&str>) -> Result<(), CommandError> {
    let current = editor.current().await.map_err(command_error)?;
    let Some(name) = name else {
        print!("{}", current.text);
        return Ok(());
    };
    let section = parse_section(name)?;
    println!("{}", current.section(section).map_err(command_error)?);
    eprintln!("base {}", current.base(section));
    Ok(())
}

/// Shows what a file would change.
async fn diff(editor: &Editor, action: &DiffAction) -> Result<(), CommandError> {
    let section = parse_section(&action.section)?;
    let current = editor.current().await.map_err(command_error)?;
    let old = current.section(section).map_err(command_error)?;
    let new = check::read_file(&action.file)?;
    let diff = TextDiff::from_lines(old.trim(), new.trim());
    print!("{}", diff.unified_diff().header("in force", &action.file));
    Ok(())
}

/// Lists the last edits.
async fn history(editor: &Editor) -> Result<(), CommandError> {
    for edit in editor.history().await.map_err(command_error)? {
        println!(
            "{} {} by {} at {} ms",
            edit.number, edit.section, edit.by, edit.at_ms
        );
    }
    Ok(())
}

/// Lets an operator edit sections.
async fn grant(editor: &Editor, token: &str, action: GrantAction) -> Result<(), CommandError> {
    if token.is_empty() {
        return Err(CommandError::Usage(
            "--token is missing; give the operator's token".to_owned(),
        ));
    }
    for name in &action.sections {
        parse_section(name)?;
    }
    let operator = Operator {
        name: action.name,
        sections: action.sections,
    };
    editor
        .grant(token, &operator)
        .await
        .map_err(command_error)?;
    println!(
        "{} may edit {}",
        operator.name,
        operator.sections.join(", ")
    );
    Ok(())
}

/// Parses the address of a service, with or without its scheme.
pub fn parse_address(url: &str) -> Result<SocketAddr, CommandError> {
    let text = url.trim_start_matches("http://").trim_end_matches('/');
    text.parse().map_err(|_| {
        let message = format!("`{url}` is no address; write it as http://127.0.0.1:2379");
        CommandError::Usage(message)
    })
}

/// Parses a section's name.
fn parse_section(name: &str) -> Result<Section, CommandError> {
    Section::parse(name).ok_or_else(|| {
        let names = Section::ALL.map(Section::as_str).join(", ");
        CommandError::Usage(format!(
            "there is no section `{name}`; choose one of {names}"
        ))
    })
}

/// Turns an editor's error into a command's.
fn command_error(error: EditorError) -> CommandError {
    match error {
        EditorError::Invalid(_) => CommandError::Usage(error.to_string()),
        error => CommandError::Failed(error.to_string()),
    }
}
