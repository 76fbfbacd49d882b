//! The `config` command: reads and edits the configuration document.

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
    /// address of the key-value service
    #[argh(option)]
    platform: String,
    /// the operator's token, which permits edits of the sections granted to it
    #[argh(option, default = "String::new()")]
    token: String,
    /// action on the document
    #[argh(subcommand)]
    action: Action,
}

/// Actions on the configuration document.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    /// Prints the document or one section.
    Get(GetAction),
    /// Replaces a section with the text of a file.
    Put(PutAction),
    /// Prints the changes that a file would make to a section.
    Diff(DiffAction),
    /// Lists recent edits.
    History(HistoryAction),
    /// Reverts an edit with a new edit.
    Rollback(RollbackAction),
    /// Writes the first document of a deployment.
    Init(InitAction),
    /// Permits an operator to edit sections.
    Grant(GrantAction),
}

/// prints the document, or one section with the base number for a later `put`
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
struct GetAction {
    /// name of the section: models, capacity, callers or maintenance
    #[argh(positional)]
    section: Option<String>,
}

/// replaces a section with the text of a file; refused if the section has changed since the base
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
struct PutAction {
    /// base number that `get` printed (default: that of the section's last edit)
    #[argh(option)]
    base: Option<u64>,
    /// name of the section: models, capacity, callers or maintenance
    #[argh(positional)]
    section: String,
    /// file with the new text of the section
    #[argh(positional)]
    file: String,
}

/// prints the changes that a file would make to a section, as a unified diff
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffAction {
    /// name of the section: models, capacity, callers or maintenance
    #[argh(positional)]
    section: String,
    /// file with the new text of the section
    #[argh(positional)]
    file: String,
}

/// lists recent edits, newest first
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryAction {}

/// reverts an edit with a new edit that restores the text before it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
struct RollbackAction {
    /// number of the edit, as `history` lists it
    #[argh(positional)]
    number: u64,
}

/// writes the first document; refused if there is already one
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "init")]
struct InitAction {
    /// file with the whole document
    #[argh(positional)]
    file: String,
}

/// permits the holder of --token to edit sections, in place of an earlier grant to that token
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "grant")]
struct GrantAction {
    /// name of the operator, shown with its edits
    #[argh(positional)]
    name: String,
    /// sections that the operator may edit
    #[argh(positional)]
    sections: Vec<String>,
}

/// Performs the action on the document at the key-value service.
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

/// Prints the document, or one section with its base number on standard error.
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

/// Prints a unified diff from the section in force to the text of a file.
async fn diff(editor: &Editor, action: &DiffAction) -> Result<(), CommandError> {
    let section = parse_section(&action.section)?;
    let current = editor.current().await.map_err(command_error)?;
    let old = current.section(section).map_err(command_error)?;
    let new = check::read_file(&action.file)?;
    let diff = TextDiff::from_lines(old.trim(), new.trim());
    print!("{}", diff.unified_diff().header("in force", &action.file));
    Ok(())
}

/// Lists the edits in the history, newest first.
async fn history(editor: &Editor) -> Result<(), CommandError> {
    for edit in editor.history().await.map_err(command_error)? {
        println!(
            "{} {} by {} at {} ms",
            edit.number, edit.section, edit.by, edit.at_ms
        );
    }
    Ok(())
}

/// Permits the holder of a token to edit sections, after checking the names of the sections.
async fn grant(editor: &Editor, token: &str, action: GrantAction) -> Result<(), CommandError> {
    if token.is_empty() {
        return Err(CommandError::Usage(
            "--token is missing; pass the token of the operator to permit".to_owned(),
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

/// Parses the address of a service, with or without `http://` and a trailing slash.
pub fn parse_address(url: &str) -> Result<SocketAddr, CommandError> {
    let text = url.trim_start_matches("http://").trim_end_matches('/');
    text.parse().map_err(|_| {
        let message =
            format!("`{url}` is not an IP address with a port, such as http://127.0.0.1:2379");
        CommandError::Usage(message)
    })
}

/// Parses the name of a section; an unknown one is a usage error that lists all names.
fn parse_section(name: &str) -> Result<Section, CommandError> {
    Section::parse(name).ok_or_else(|| {
        let names = Section::ALL.map(Section::as_str).join(", ");
        CommandError::Usage(format!("unknown section `{name}`; expected one of {names}"))
    })
}

/// Converts an editor's error: an invalid document or section is a usage error.
fn command_error(error: EditorError) -> CommandError {
    match error {
        EditorError::Invalid(_) => CommandError::Usage(error.to_string()),
        error => CommandError::Failed(error.to_string()),
    }
}
