//! The `demo` command: a whole deployment on loopback with simulated platform and targets.

use argh::FromArgs;
use cactuslane_demo::{CALLER_TOKEN, Cluster, OPERATOR_TOKEN, Options};
use cactuslane_standin::{Deployment, Faults};
use log::LevelFilter;

use crate::run::stop_signal;
use crate::{CommandError, check, logging};

/// runs a whole deployment on loopback, with stand-ins that simulate the platform and the targets,
/// until SIGTERM or Ctrl-C, then stops it gracefully
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
    /// name of the deployment: cluj or split (default: cluj)
    #[argh(option, default = "String::from(\"cluj\")")]
    deployment: String,
    /// file with the faults that the stand-ins inject, as a JSON array
    #[argh(option)]
    faults: Option<String>,
    /// file with a configuration document (default: the deployment's own)
    #[argh(option)]
    config: Option<String>,
    /// factor by which simulated engines are faster than real ones (default: 1)
    #[argh(option, default = "1.0")]
    pace: f64,
    /// log state changes to standard error, not only warnings and errors
    #[argh(switch)]
    verbose: bool,
}

/// Runs the deployment until it is asked to stop, then stops it gracefully.
pub async fn execute(command: DemoCommand) -> Result<(), CommandError> {
    let level = if command.verbose {
        LevelFilter::Info
    } else {
        LevelFilter::Warn
    };
    logging::start(false, level);
    let deployment = Deployment::named(&command.deployment).ok_or_else(|| {
        let name = &command.deployment;
        CommandError::Usage(format!(
            "unknown deployment `{name}`; expected cluj or split"
        ))
    })?;
    if !(command.pace > 0.0 && command.pace.is_finite()) {
        return Err(CommandError::Usage(
            "--pace must be a finite number above 0".to_owned(),
        ));
    }
    let faults = match &command.faults {
        Some(file) => Faults::parse(&check::read_file(file)?)
            .map_err(|error| CommandError::Usage(format!("{file}: {error}")))?,
        None => Faults::default(),
    };
    let document = match &command.config {
        Some(file) => Some(read_document(file)?),
        None => None,
    };
    let options = Options {
        pace: command.pace,
        document,
        ..Options::default()
    };
    let cluster = Cluster::spawn(deployment, faults, options)
        .await
        .map_err(|error| CommandError::Failed(error.to_string()))?;
    if !cluster.wait_ready().await {
        return Err(CommandError::Failed(
            "the instances did not become ready within a minute".to_owned(),
        ));
    }
    print_endpoints(&cluster);
    stop_signal().await?;
    println!("stopping");
    cluster.stop().await;
    println!("stopped");
    Ok(())
}

/// Reads and validates a configuration document; returns its text.
fn read_document(file: &str) -> Result<String, CommandError> {
    let text = check::read_file(file)?;
    cactuslane_config::Document::parse(file, &text)
        .map_err(|diagnostics| check::diagnostics_error(&diagnostics))?;
    Ok(text)
}

/// Prints addresses, model, service and tokens of the deployment, one line each, then `ready`.
fn print_endpoints(cluster: &Cluster) {
    for (index, (name, entry)) in cluster.entries.iter().enumerate() {
        let domain = cluster.deployment.domain(index);
        println!("entry {name} http://{} {domain}", entry.address());
    }
    for target in cluster.deployment.targets() {
        let address = match cluster.engines.get(&target.name) {
            Some(engine) => engine.address(),
            None => cluster.workers[&target.name].address(),
        };
        println!("target {} http://{address} {}", target.name, target.domain);
    }
    println!("platform http://{}", cluster.platform.address());
    println!("model {}", cluster.deployment.model.0);
    println!("service {}", cluster.deployment.service.0);
    println!("token {CALLER_TOKEN}");
    println!("operator-token {OPERATOR_TOKEN}");
    println!("ready");
}
