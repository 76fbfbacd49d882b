//! The `target` command: a simulated target as a process, which the soak starts and kills.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use cactuslane_platform_standin::TargetKind;
use cactuslane_platform_standin::process::{Serving, Spec};
use tokio::task::spawn_blocking;

use crate::CommandError;

/// runs a simulated target of the soak until its standard input ends, whose lines set how it deviates
/// from correct behaviour; prints its address, and logs each answer and event before it sends them
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target")]
pub struct TargetCommand {
    /// id of the target
    #[argh(option)]
    id: String,
    /// serve streams as an engine that generates, in place of plain answers
    #[argh(switch)]
    streams: bool,
    /// compute prompts as an engine that does nothing else, in place of plain answers
    #[argh(switch)]
    prompts: bool,
    /// start of the process, higher after each restart
    #[argh(option)]
    process: u64,
    /// seed of the framings of answers
    #[argh(option)]
    seed: u64,
    /// send some answers a second time on their connection
    #[argh(switch)]
    copies: bool,
    /// address to listen on; port 0 for a free one
    #[argh(option)]
    address: SocketAddr,
    /// file that what the target makes is appended to
    #[argh(option)]
    log: PathBuf,
}

/// Runs a simulated target until its standard input ends.
pub async fn execute(command: TargetCommand) -> Result<(), CommandError> {
    let kind = if command.streams {
        TargetKind::Decode
    } else if command.prompts {
        TargetKind::Prefill
    } else {
        TargetKind::Plain
    };
    let spec = Spec {
        id: command.id,
        kind,
        process: command.process,
        seed: command.seed,
        copies: command.copies,
    };
    let failed = |error: std::io::Error| CommandError::Failed(error.to_string());
    let serving = Serving::bind(spec, command.address, &command.log).await;
    let serving = serving.map_err(failed)?;
    println!("{}", serving.address);
    // The process that started this one holds the input open.
    let input = spawn_blocking(move || follow_input(&serving));
    let ended = input.await.map_err(std::io::Error::other).flatten();
    ended.map_err(failed)
}

/// Sets the deviations from correct behaviour that the lines of the standard input state, until its
/// end.
fn follow_input(serving: &Serving) -> std::io::Result<()> {
    for line in std::io::stdin().lines() {
        let line = line?;
        let mood = serde_json::from_str(&line);
        let hint = "write null, or an object with trouble and percent";
        let mood =
            mood.map_err(|error| std::io::Error::other(format!("{line:?}: {error}; {hint}")))?;
        serving.set_mood(mood);
    }
    Ok(())
}
