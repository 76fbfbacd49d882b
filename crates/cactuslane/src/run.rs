//! The `run` command: one entry instance.

use argh::FromArgs;
use cactuslane_config::Settings;
use cactuslane_entry::Entry;
use log::LevelFilter;
use tokio::signal::unix::{SignalKind, signal};

use crate::check::{diagnostics_error, read_file};
use crate::{CommandError, logging};

/// runs one entry instance until SIGTERM, Ctrl-C or a mark in the instance list that it is
/// leaving; it then stops gracefully
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunCommand {
    /// settings file of the instance, JSON with comments
    #[argh(option)]
    settings: String,
}

/// Runs one entry instance until it is asked to stop, then stops it gracefully.
pub async fn execute(command: RunCommand) -> Result<(), CommandError> {
    let text = read_file(&command.settings)?;
    let settings = Settings::parse(&command.settings, &text)
        .map_err(|diagnostics| diagnostics_error(&diagnostics))?;
    logging::start(settings.json_logs, LevelFilter::Info);
    let name = settings.instance.clone();
    let domain = settings.domain.clone();
    let entry = Entry::spawn(settings)
        .await
        .map_err(|error| CommandError::Failed(error.to_string()))?;
    println!("entry {name} http://{} {domain}", entry.address());
    tokio::select! {
        result = stop_signal() => result?,
        () = entry.wait_for_leave() => {}
    }
    entry.stop().await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT (Ctrl-C).
pub async fn stop_signal() -> Result<(), CommandError> {
    let failed = |error: std::io::Error| CommandError::Failed(error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        result = tokio::signal::ctrl_c() => result.map_err(failed),
    }
}
