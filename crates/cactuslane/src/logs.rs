//! Logs on standard error: text for people, or one JSON object a line for machines.

use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use serde_json::json;

/// Starts logging; a second start has no effect.
pub fn start(json_lines: bool, level: LevelFilter) {
    let dispatch = fern::Dispatch::new().level(LevelFilter::Warn);
    // Only this system's own lines are shown below a warning.
    let dispatch = dispatch
        .level_for("cactuslane", level)
        .level_for("cactuslane_entry", level);
    let dispatch = dispatch.format(move |out, message, record| {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let at = since.as_millis() as u64;
        if json_lines {
            let line = json!({
                "at_ms": at,
                "level": record.level().as_str(),
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        } else {
            out.finish(format_args!(
                "{at} {:5} {}: {message}",
                record.level(),
                record.target()
            ));
        }
    });
    let _ = dispatch.chain(std::io::stderr()).apply();
}
