//! The `status` and `explain` commands, which query the HTTP API of one instance.

use argh::FromArgs;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use serde_json::Value;

use crate::config::parse_address;
use crate::{CommandError, answers};

/// prints the state of the fleet as one instance knows it: its revisions, the other instances, the
/// targets with their roles, and planned changes with their reasons
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// address of any instance
    #[argh(option)]
    entry: String,
    /// token of the operators
    #[argh(option)]
    token: String,
    /// print the instance's answer as JSON
    #[argh(switch)]
    json: bool,
}

/// explains the decisions on a request (with its caller's token) or the state of a target (with the
/// operators' token)
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// address of any instance
    #[argh(option)]
    entry: String,
    /// token of the caller or of the operators
    #[argh(option)]
    token: String,
    /// the name is that of a target
    #[argh(switch)]
    target: bool,
    /// request id, from the header `x-request-id`, or name of the target
    #[argh(positional)]
    name: String,
}

/// Prints the state of the fleet, as text or JSON.
pub async fn status(command: &StatusCommand) -> Result<(), CommandError> {
    let value = get_json(&command.entry, "/v1/operator/status", &command.token).await?;
    if command.json {
        println!("{value:#}");
        return Ok(());
    }
    let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    println!(
        "as seen by {}: revision {}, plan {}, standing {}",
        text(&value["instance"]),
        value["revision"],
        value["plan"],
        text(&value["standing"])
    );
    for member in value["members"].as_array().into_iter().flatten() {
        println!(
            "entry {} {} {} revision {} plan {}",
            text(&member["instance"]),
            text(&member["failure_domain"]),
            text(&member["status"]),
            member["config"],
            member["plan"]
        );
    }
    for target in value["targets"].as_array().into_iter().flatten() {
        let state = match (&target["serving"], &target["leaving"]) {
            (_, Value::Bool(true)) => "leaving",
            (Value::Bool(true), _) => "serving",
            (Value::Bool(false), _) => "drained",
            _ => "not routed",
        };
        println!(
            "target {} {} {} {state} role {} {}",
            text(&target["target"]),
            text(&target["service"]),
            text(&target["failure_domain"]),
            text(&target["role"]),
            target["planned"].as_str().unwrap_or_default()
        );
    }
    Ok(())
}

/// Prints an instance's explanation of a request or a target as JSON.
pub async fn explain(command: &ExplainCommand) -> Result<(), CommandError> {
    let path = if command.target {
        format!("/v1/operator/target/{}", command.name)
    } else {
        format!("/v1/explain/{}", command.name)
    };
    let value = get_json(&command.entry, &path, &command.token).await?;
    println!("{value:#}");
    Ok(())
}

/// Sends a GET request to an instance and returns the JSON body of an answer with status 200.
async fn get_json(entry: &str, path: &str, token: &str) -> Result<Value, CommandError> {
    let address = parse_address(entry)?;
    let request = Request::get(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(Bytes::new()))
        .map_err(|error| CommandError::Usage(error.to_string()))?;
    answers::read_json(request, "no error message in the answer").await
}
