//! The `preview` command, which asks a gateway where a request would go now.

use argh::FromArgs;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use serde_json::Value;

use crate::config::parse_address;
use crate::{CommandError, answers};

/// explains where a request would go now, and why, without sending it; exits with 0 if each service of
/// the route would run it at once, and with 3 if not
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "preview")]
pub struct PreviewCommand {
    /// address of a gateway for readiness checks, with its port
    #[argh(option)]
    ready: String,
    /// host that the request is addressed to
    #[argh(option)]
    host: String,
    /// header of the request, as `name: value`; may be repeated
    #[argh(option)]
    header: Vec<String>,
    /// print the gateway's answer as JSON
    #[argh(switch)]
    json: bool,
    /// path of the request, with its query
    #[argh(positional)]
    path: String,
}

/// Asks a gateway and prints its answer, as a table or JSON.
pub async fn execute(command: &PreviewCommand) -> Result<(), CommandError> {
    let request = request(command)?;
    let no_message = "no message in the answer; is it a gateway's address?";
    let value = answers::read_json(request, no_message).await?;
    if command.json {
        println!("{value:#}");
    } else {
        print!("{}", table(&value));
    }
    conclude(&value)
}

/// Builds the request to the gateway; malformed arguments are usage errors.
fn request(command: &PreviewCommand) -> Result<Request<Full<Bytes>>, CommandError> {
    let usage = CommandError::Usage;
    let address = parse_address(&command.ready)?;
    if !command.path.starts_with('/') {
        let message = format!("`{}` is no path; it begins with a slash", command.path);
        return Err(usage(message));
    }
    let mut request = Request::get(format!("http://{address}/preview{}", command.path))
        .header("host", &command.host);
    for line in &command.header {
        let Some((name, value)) = line.split_once(':') else {
            let message = format!("`{line}` is no header; write `name: value`");
            return Err(usage(message));
        };
        request = request.header(name.trim(), value.trim());
    }
    request
        .body(Full::new(Bytes::new()))
        .map_err(|error| usage(format!("the request cannot be built: {error}")))
}

/// Returns the gateway's answer as text.
fn table(value: &Value) -> String {
    let ages = &value["ages_ms"];
    let mut lines = vec![
        format!(
            "instance {}, configuration {}, route {}, customer {}, priority {}",
            shown(&value["instance"]),
            shown(&value["configuration"]),
            shown(&value["route"]),
            shown(&value["customer"]),
            shown(&value["priority"])
        ),
        format!(
            "ages in ms: targets {}, configuration {}, loads of other instances {}; limit {}",
            shown(&ages["targets"]),
            shown(&ages["configuration"]),
            shown(&ages["loads"]),
            shown(&ages["limit"])
        ),
    ];
    for service in list(&value["services"]) {
        lines.push(format!(
            "service {} (weight {}): {}, {}",
            shown(&service["service"]),
            shown(&service["weight"]),
            shown(&service["outcome"]),
            shown(&service["cause"])
        ));
        lines.push(format!(
            "  target {}, prompt computed by {}, queue {} ms, then {} ms, of {} ms left",
            shown(&service["target"]),
            shown(&service["prefill"]),
            shown(&service["wait_ms"]),
            shown(&service["service_ms"]),
            shown(&service["left_ms"])
        ));
        if let Some(fields) = service["admission"].as_object() {
            let fields = fields
                .iter()
                .map(|(name, value)| format!("{name} {}", shown(value)));
            let fields: Vec<String> = fields.collect();
            lines.push(format!("  admission: {}", fields.join(", ")));
        }
        let row = |cells: [&str; 8]| {
            let [target, others @ ..] = cells;
            let others: Vec<String> = others.iter().map(|cell| format!("{cell:>9}")).collect();
            format!("  {target:<24}{}", others.join(" "))
        };
        lines.push(row([
            "candidate",
            "domain",
            "running",
            "cost ms",
            "queue ms",
            "slowdown",
            "limit/s",
            "avoided",
        ]));
        for candidate in list(&service["candidates"]) {
            let cell = |name: &str| shown(&candidate[name]);
            lines.push(row([
                &cell("target"),
                &cell("domain"),
                &cell("running"),
                &cell("cost_ms"),
                &cell("wait_ms"),
                &cell("slowdown"),
                &cell("limit_per_s"),
                &cell("avoided"),
            ]));
        }
        for excluded in list(&service["excluded"]) {
            let (target, reason) = (shown(&excluded["target"]), shown(&excluded["reason"]));
            lines.push(format!("  {target:<24}excluded: {reason}"));
        }
    }
    lines.join("\n") + "\n"
}

/// Returns an error unless each service would run the request at once.
fn conclude(value: &Value) -> Result<(), CommandError> {
    for service in list(&value["services"]) {
        if service["outcome"] != "run" {
            let message = format!(
                "service {} would not run the request at once: {}, {}",
                shown(&service["service"]),
                shown(&service["outcome"]),
                shown(&service["cause"])
            );
            return Err(CommandError::Negative(message));
        }
    }
    Ok(())
}

/// Returns the items of a list; none if it is no list.
fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Returns a value for a table: numbers with at most one digit after the point, `-` for none.
fn shown(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.1}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
