//! Running of one entry instance on the users' platform.

use argh::FromArgs;
use cactuslane_gateway::Gateway;
use cactuslane_platform::Settings;
use cactuslane_platform::settings::PATH_VARIABLE;
use log::{info, warn};
use tokio::signal::unix::{SignalKind, signal};

use crate::check::read;
use crate::run::stop_signal;
use crate::{CommandError, logs};

/// runs one entry instance with the settings of the platform, until SIGTERM or Ctrl-C; either is a
/// graceful stop, and SIGHUP reads the settings anew
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayCommand {
    /// the settings file; by default the one that the platform's environment variable names
    #[argh(option)]
    settings: Option<String>,
}

/// Runs one entry instance.
pub async fn execute(command: GatewayCommand) -> Result<(), CommandError> {
    logs::start_lines();
    let path = match command.settings {
        Some(path) => path,
        None => std::env::var(PATH_VARIABLE).map_err(|_| {
            let cure = "name the settings file in it, or give --settings";
            CommandError::Usage(format!("{PATH_VARIABLE} is not set: {cure}"))
        })?,
    };
    let running = Gateway::spawn(load(&path)?)
        .await
        .map_err(|error| CommandError::Failed(error.to_string()))?;
    let mut changed =
        signal(SignalKind::hangup()).map_err(|error| CommandError::Failed(error.to_string()))?;
    let stop = stop_signal();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            result = &mut stop => {
                result?;
                break;
            }
            _ = changed.recv() => match load(&path) {
                Ok(settings) => {
                    running.gateway.reload(settings);
                    info!("settings read anew");
                }
                Err(error) => warn!(error:? = error; "settings are unreadable, the old ones stay"),
            },
        }
    }
    running.stop().await;
    Ok(())
}

/// Reads and parses settings.
fn load(path: &str) -> Result<Settings, CommandError> {
    let text = read(path)?;
    Settings::parse(&text).map_err(|error| CommandError::Usage(format!("{path}: {error}")))
}
