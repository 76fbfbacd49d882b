//! Command line of the serving system.
//!
//! Exit codes: 0 for success, 1 for a command that failed, 2 for invalid arguments or files, and 3 if
//! what `preview` was asked about would not run at once.
//! Arguments that `argh` rejects, such as unknown flags, end with 1.

mod answers;
mod bench;
mod capacity;
mod check;
mod config;
mod demo;
mod gateway;
mod load;
mod logging;
mod preview;
mod run;
mod soak;
mod status;
mod target;
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

/// Subcommands of the program.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    /// Runs one entry instance.
    Run(run::RunCommand),
    /// Runs one gateway instance on the users' platform.
    Gateway(gateway::GatewayCommand),
    /// Reads and edits the configuration.
    Config(config::ConfigCommand),
    /// Prints the state of the fleet.
    Status(status::StatusCommand),
    /// Explains a request or a target.
    Explain(status::ExplainCommand),
    /// Explains where a request would go now.
    Preview(preview::PreviewCommand),
    /// Prints the timeline of a request from saved logs.
    Logs(timeline::LogsCommand),
    /// Injects random faults into instances that run as processes.
    Soak(soak::SoakCommand),
    /// Runs a simulated target of the soak.
    Target(target::TargetCommand),
    /// Generates open-loop load on instances.
    Load(load::LoadCommand),
    /// Compares the figures of two load runs.
    Compare(load::CompareCommand),
    /// Validates a configuration document or a settings file.
    Check(check::CheckCommand),
    /// Prints the hash of a token as the configuration document stores it.
    HashToken(check::HashTokenCommand),
    /// Measures costs that grow with the size of the fleet.
    Capacity(capacity::CapacityCommand),
    /// Compares the routing and role decisions with other policies in a simulation.
    Bench(bench::BenchCommand),
    /// Runs a whole deployment on loopback with simulated platform and targets.
    Demo(demo::DemoCommand),
}

/// Reason why a command failed, with the message for standard error.
#[derive(Debug)]
enum CommandError {
    /// The arguments or a file are invalid; exit code 2.
    Usage(String),
    /// The command itself failed; exit code 1.
    Failed(String),
    /// What was asked about would not happen; exit code 3.
    Negative(String),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("cactuslane {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        let message = "no command given; see cactuslane --help".to_owned();
        return exit_code(Err(CommandError::Usage(message)));
    };
    // The measurements create their own runtimes, which is not allowed inside another one.
    if let Command::Capacity(command) = &command {
        return exit_code(capacity::execute(command));
    }
    // A gateway has only a share of one core, so it runs on one thread; the other commands may
    // use all cores.
    let runtime = match &command {
        Command::Gateway(_) => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build(),
        _ => tokio::runtime::Runtime::new(),
    };
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cactuslane: the Tokio runtime did not start: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(execute(command))
}

/// Executes a command and returns the process's exit code.
async fn execute(command: Command) -> ExitCode {
    let result = match command {
        // Executed by `main`, outside the runtime.
        Command::Capacity(_) => Ok(()),
        Command::Run(command) => run::execute(command).await,
        Command::Logs(command) => timeline::execute(&command),
        Command::Gateway(command) => gateway::execute(command).await,
        Command::Soak(command) => soak::execute(&command).await,
        Command::Target(command) => target::execute(command).await,
        Command::Load(command) => load::execute(&command).await,
        Command::Compare(command) => load::execute_compare(&command),
        Command::Check(command) => check::execute(&command),
        Command::Config(command) => config::execute(command).await,
        Command::Status(command) => status::status(&command).await,
        Command::Explain(command) => status::explain(&command).await,
        Command::Preview(command) => preview::execute(&command).await,
        Command::HashToken(command) => check::hash_token(&command),
        Command::Bench(command) => bench::execute(&command),
        Command::Demo(command) => demo::execute(command).await,
    };
    exit_code(result)
}

/// Prints the error, if any, to standard error and returns the process's exit code.
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
        Err(CommandError::Negative(message)) => {
            eprintln!("cactuslane: {message}");
            ExitCode::from(3)
        }
    }
}
