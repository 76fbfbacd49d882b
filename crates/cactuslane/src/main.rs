//! Command line of the serving system.
//!
//! Exit codes: 0 for success, 1 for a command that failed, 2 for wrong arguments or files.

mod bench;
mod capacity;
mod check;
mod config;
mod demo;
mod gateway;
mod load;
mod logging;
mod run;
mod soak;
mod status;
mod timeline;

use std::process::ExitCode;

use argh::FromArgs;

/// Serves language models and plain services on a fixed fleet.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// print the version
    #[argh(switch)]
    version: bool,
    /// what to do
    #[argh(subcommand)]
    command: Option<Command>,
}

/// A command.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    /// Runs one entry instance.
    Run(run::RunCommand),
    /// Runs one entry instance on the users' platform.
    Gateway(gateway::GatewayCommand),
    /// Reads and edits the configuration.
    Config(config::ConfigCommand),
    /// Shows the fleet.
    Status(status::StatusCommand),
    /// Explains a request or a target.
    Explain(status::ExplainCommand),
    /// Tells the story of a request from saved logs.
    Logs(timeline::LogsCommand),
    /// Plays random faults against real processes.
    Soak(soak::SoakCommand),
    /// Sends a load to instances.
    Load(load::LoadCommand),
    /// Compares two loads.
    Compare(load::CompareCommand),
    /// Checks a file.
    Check(check::CheckCommand),
    /// Prints the hash of a token.
    HashToken(check::HashTokenCommand),
    /// Measures what grows with the fleet.
    Capacity(capacity::CapacityCommand),
    /// Compares the decisions with simpler ones.
    Bench(bench::BenchCommand),
    /// Runs a whole deployment on stand-ins.
    Demo(demo::DemoCommand),
}

/// Says how a command failed.
#[derive(Debug)]
enum CommandError {
    /// The arguments or a file are wrong; exit code 2.
    Usage(String),
    /// The command itself failed; exit code 1.
    Failed(String),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("cactuslane {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        let message = "no command: see cactuslane --help".to_owned();
        return exit_code(Err(CommandError::Usage(message)));
    };
    // Measurements make runtimes of their own.
    if let Command::Capacity(command) = &command {
        return exit_code(capacity::execute(command));
    }
    // A gateway has a part of one core; the other commands may use all of them.
    let runtime = match &command {
        Command::Gateway(_) => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build(),
        _ => tokio::runtime::Runtime::new(),
    };
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cactuslane: the runtime did not start: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(execute(command))
}

/// Executes a command and returns its exit code.
async fn execute(command: Command) -> ExitCode {
    let result = match command {
        Command::Capacity(_) => Ok(()),
        Command::Run(command) => run::execute(command).await,
        Command::Logs(command) => timeline::execute(&command),
        Command::Gateway(command) => gateway::execute(command).await,
        Command::Soak(command) => soak::execute(&command).await,
        Command::Load(command) => load::execute(&command).await,
        Command::Compare(command) => load::execute_compare(&command),
        Command::Check(command) => check::execute(&command),
        Command::Config(command) => config::execute(command).await,
        Command::Status(command) => status::status(&command).await,
        Command::Explain(command) => status::explain(&command).await,
        Command::HashToken(command) => check::hash_token(&command),
        Command::Bench(command) => bench::execute(&command),
        Command::Demo(command) => demo::execute(command).await,
    };
    exit_code(result)
}

/// Prints an error and returns the exit code.
fn exit_code(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Usage(message)) => {
            eprintln!("cactuslane: {message}");
            ExitCode::from(2)
        }
        Err(CommandError::Failed(message)) => {
            eprintln!("cactuslane: {message}");
            ExitCode::FAILURE
        }
    }
}
