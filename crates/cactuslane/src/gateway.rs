//! The `gateway` command: one instance on the users' platform.

use std::time::Duration;

use argh::FromArgs;
use cactuslane_gateway::{Gateway, GatewayHandle};
use cactuslane_log::LogFormat;
use cactuslane_platform::Settings;
use cactuslane_platform::settings::PATH_VARIABLE;
use log::{LevelFilter, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::check::read_file;
use crate::run::stop_signal;
use crate::{CommandError, logging};

/// runs one gateway instance with the platform's settings until SIGTERM or Ctrl-C, then stops it
/// gracefully; reloads the settings file when it has changed: at once on SIGHUP, otherwise within 5
/// seconds
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayCommand {
    /// settings file (default: the path in the platform's environment variable)
    #[argh(option)]
    settings: Option<String>,
    /// port at which the metrics are served too, on the address of the settings for callers
    #[argh(option)]
    metrics_port: Option<u16>,
    /// lowest level of the log lines that are written: error, warn, info or debug (default: info)
    #[argh(option, default = "LevelFilter::Info")]
    log_level: LevelFilter,
    /// format of the log lines: json, or text for people (default: json)
    #[argh(option, default = "LogFormat::Json")]
    log_format: LogFormat,
}

/// Interval at which the settings file is checked for changes when no SIGHUP arrives.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Runs one gateway instance until it is asked to stop, then stops it gracefully.
pub async fn execute(command: GatewayCommand) -> Result<(), CommandError> {
    let dropped = logging::start_gateway(command.log_level, command.log_format);
    let path = match command.settings {
        Some(path) => path,
        None => std::env::var(PATH_VARIABLE).map_err(|_| {
            let hint = "set it to the path of the settings file, or pass --settings";
            CommandError::Usage(format!("{PATH_VARIABLE} is not set; {hint}"))
        })?,
    };
    let mut text = read_file(&path)?;
    let mut handle = Gateway::spawn(parse_settings(&path, &text)?)
        .await
        .map_err(|error| CommandError::Failed(error.to_string()))?;
    if let Some(port) = command.metrics_port {
        handle.serve_metrics(port);
    }
    let help = "Log lines that were dropped as the output was not read";
    handle
        .gateway
        .metrics
        .add("log_lines_dropped", help, dropped);
    let mut hangup =
        signal(SignalKind::hangup()).map_err(|error| CommandError::Failed(error.to_string()))?;
    let stop = stop_signal();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            result = &mut stop => {
                result?;
                break;
            }
            _ = hangup.recv() => reload(&handle, &path, &mut text),
            () = sleep(SETTINGS_POLL_INTERVAL) => reload(&handle, &path, &mut text),
        }
    }
    handle.stop().await;
    log::logger().flush();
    Ok(())
}

/// Applies the settings file if its text differs from the last text that was read.
///
/// Settings that can't be read or parsed leave the old ones in force. A parse error is logged once
/// for each text, an unreadable file at every call.
fn reload(handle: &GatewayHandle, path: &str, text: &mut String) {
    let new = match read_file(path) {
        Ok(new) if new == *text => return,
        Ok(new) => new,
        Err(error) => return warn!(error:? = error; "settings are unreadable, the old ones stay"),
    };
    match parse_settings(path, &new) {
        Ok(settings) => {
            handle.gateway.reload(settings);
            info!("settings read anew");
        }
        Err(error) => warn!(error:? = error; "settings are wrong, the old ones stay"),
    }
    *text = new;
}

/// Parses the text of a settings file; the path is only for the error.
fn parse_settings(path: &str, text: &str) -> Result<Settings, CommandError> {
    Settings::parse(text).map_err(|error| CommandError::Usage(format!("{path}: {error}")))
}
