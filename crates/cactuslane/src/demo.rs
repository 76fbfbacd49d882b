//! A whole deployment on stand-ins.

use argh::FromArgs;
use cactuslane_demo::{CALLER_TOKEN, Cluster, OPERATOR_TOKEN, Options};
use cactuslane_standin::{Deployment, Faults};
use log::LevelFilter;

use crate::run::stop_signal;
use crate::{CommandError, check, logs};

/// runs a whole deployment on loopback, with stand-ins for the platform and the targets, until
/// Ctrl-C, which is a graceful stop
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
    /// the deployment: cluj or split (default: cluj)
    #[argh(option, default = "String::from(\"cluj\")")]
    deployment: String,
    /// a table of faults for the stand-ins, as a JSON array
    #[argh(option)]
    faults: Option<String>,
    /// a configuration document that takes the place of the deployment's own
    #[argh(option)]
    config: Option<String>,
    /// the factor by which engines run faster than real ones (default: 1)
    #[argh(option, default = "1.0")]
    pace: f64,
    /// shows changes of state on standard error
    #[argh(switch)]
    verbose: bool,
}

/// Runs a deployment.
pub async fn execute(command: DemoCommand) -> Result<(), CommandError> {
    let level = if command.verbose {
        LevelFilter::Info
    } else {
        LevelFilter::Warn
    };
    logs::start(false, level);
    let deployment = Deployment::named(&command.deployment).ok_or_else(|| {
        let name = &command.deployment;
        CommandError::Usage(format!(
            "there is no deployment `{name}`; choose cluj or split"
        ))
    })?;
    if !(command.pace > 0.0 && command.pace.is_finite()) {
        return Err(CommandError::Usage(
            "--pace takes a number above 0".to_owned(),
        ));
    }
    let faults = match &command.faults {
        Some(file) => Faults::parse(&check::read(file)?)
            .map_err(|error| CommandError::Usage(format!("{file}: {error}")))?,
        None => Faults::default(),
    };
    let document = match &command.config {
        Some(file) => Some(document(file)?),
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
            "the instances did not become ready".to_owned(),
        ));
    }
    announce(&cluster);
    stop_signal().await?;
    println!("stopping");
    cluster.stop().await;
    println!("stopped");
    Ok(())
}

/// Reads and checks a configuration document.
fn document(file: &str) -> Result<String, CommandError> {
    let text = check::read(file)?;
    cactuslane_config::Document::parse(file, &text)
        .map_err(|diagnostics| check::report(&diagnostics))?;
    Ok(text)
}

/// Prints what runs, a line each.
fn announce(cluster: &Cluster) {
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
