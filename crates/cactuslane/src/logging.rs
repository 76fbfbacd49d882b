//! Set-up of logging: text or JSON lines on standard error, and the gateway's lines on standard
//! output.

use cactuslane_log::{LogFormat, NonBlockingLogger, unix_millis};
use log::{LevelFilter, Log};
use prometheus_client::metrics::counter::Counter;
use serde_json::json;

/// Starts the gateway's log on standard output and returns the counter of dropped lines.
///
/// If a logger is installed already, it stays in use and the counter stays at 0.
pub fn start_gateway(level: LevelFilter, form: LogFormat) -> Counter {
    let lines = NonBlockingLogger::spawn(std::io::stdout(), form);
    let dropped = lines.dropped();
    let dispatch = fern::Dispatch::new()
        .level(level)
        .chain(Box::new(lines) as Box<dyn Log>);
    // Fails only if a logger is installed already, which then stays in use.
    let _ = dispatch.apply();
    dropped
}

/// Starts logging to standard error; a logger that is installed already stays in use.
pub fn start(json_lines: bool, level: LevelFilter) {
    let dispatch = fern::Dispatch::new().level(LevelFilter::Warn);
    // Below the level `warn`, only lines of these two crates are written.
    let dispatch = dispatch
        .level_for("cactuslane", level)
        .level_for("cactuslane_entry", level);
    let dispatch = dispatch.format(move |out, message, record| {
        let at_ms = unix_millis();
        if json_lines {
            let line = json!({
                "at_ms": at_ms,
                "level": record.level().as_str(),
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        } else {
            out.finish(format_args!(
                "{at_ms} {:5} {}: {message}",
                record.level(),
                record.target()
            ));
        }
    });
    let _ = dispatch.chain(std::io::stderr()).apply();
}
