//! The status of the fleet and explanations, from any one instance.

use argh::FromArgs;
use cactuslane_store::http::Client;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use serde_json::Value;

use crate::CommandError;
use crate::config::parse_address;

/// shows the fleet as an instance sees it: revisions, targets, roles, what waits and why
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// the address of any instance
    #[argh(option)]
    entry: String,
    /// the operators' token
    #[argh(option)]
    token: String,
    /// prints JSON
    #[argh(switch)]
    json: bool,
}

/// explains a request (with its caller's token) or a target (with the operators' token)
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// the address of any instance
    #[argh(option)]
    entry: String,
    /// the token
    #[argh(option)]
    token: String,
    /// the argument is a target
    #[argh(switch)]
    target: bool,
    /// the request id, as `x-request-id` gave it, or the target
    #[argh(positional)]
    name: String,
}

/// Shows the fleet.
pub async fn status(command: &StatusCommand) -> Result<(), CommandError> {
    let value = get_json(&command.entry, "/v1/operator/status", &command.token).await?;
    if command.json {
        println!("{value:#}");
        return Ok(());
    }
    let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    println!(
        "seen from {}: revision {}, plan {}, standing {}",
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
            _ => "not used here",
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

/// Explains a request or a target.
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

/// Asks an instance.
async fn get_json(entry: &str, path: &str, token: &str) -> Result<Value, CommandError> {
    let failed = |message: String| CommandError::Failed(message);
    let address = parse_address(entry)?;
    let request = Request::get(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(Bytes::new()))
        .map_err(|error| CommandError::Usage(error.to_string()))?;
    let response = Client::open()
        .send(request)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| failed(error.to_string()))?;
    let value: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
    if status != 200 {
        let message = value["error"]["message"].as_str().unwrap_or("no answer");
        return Err(failed(format!("{status}: {message}")));
    }
    Ok(value)
}
