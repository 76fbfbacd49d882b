//! Settings of one entry instance, read once when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_types::{DomainName, InstanceId};

use crate::reader::{Fault, Fields, Node, Reader};

/// Shortest cluster key that is accepted, in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Longest time in the settings, in milliseconds.
const MAX_DURATION_MS: u64 = 3_600_000;

/// What a process must know before it can reach anything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Names the instance.
    pub instance: InstanceId,
    /// The failure domain that the instance runs in.
    pub domain: DomainName,
    /// The address for callers, and for TCP between instances.
    pub listen: SocketAddr,
    /// The address for UDP between instances.
    pub gossip: SocketAddr,
    /// The address of the platform's key-value service.
    pub store: SocketAddr,
    /// The address of the platform's instance list.
    pub list: SocketAddr,
    /// The address of the platform's weight store.
    pub weights: SocketAddr,
    /// The key that authenticates messages between instances.
    pub key: String,
    /// How long callers may use an address answer.
    pub validity: Duration,
    /// The largest request body, in bytes.
    pub max_body: u64,
    /// The largest number of open connections.
    pub max_connections: u64,
    /// The SHA-256 hash of the operators' token, in lower-case hex; without it, operators'
    /// paths are closed.
    pub operator_sha256: Option<String>,
    /// Says whether logs are JSON lines.
    pub json_logs: bool,
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, each with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = Reader::new(file, text);
        let Some(value) = reader.parse() else {
            return Err(reader.finish());
        };
        let settings = read(&mut reader, &Node::root(&value));
        match settings {
            Some(settings) if reader.is_clean() => Ok(settings),
            _ => Err(reader.finish()),
        }
    }
}

/// Reads the settings object.
fn read<'t>(reader: &mut Reader<'t>, root: &Node<'t, '_>) -> Option<Settings> {
    let mut fields = reader.fields(root)?;
    let instance = required_string(reader, &mut fields, "instance");
    let domain = required_string(reader, &mut fields, "failure_domain");
    let listen = required_address(reader, &mut fields, "listen");
    let gossip = required_address(reader, &mut fields, "gossip");
    let store = required_address(reader, &mut fields, "store");
    let list = required_address(reader, &mut fields, "instance_list");
    let weights = required_address(reader, &mut fields, "weight_store");
    let key = fields
        .required(reader, "cluster_key")
        .and_then(|node| read_key(reader, &node));
    let validity = optional_integer(
        reader,
        &mut fields,
        "address_validity_ms",
        10_000,
        MAX_DURATION_MS,
    );
    let max_body = optional_integer(reader, &mut fields, "max_body_bytes", 8 << 20, 1 << 30);
    let max_connections = optional_integer(reader, &mut fields, "max_connections", 10_000, 1 << 20);
    let operator_sha256 = match fields.optional("operator_sha256") {
        Some(node) => Some(reader.string(&node)?),
        None => None,
    };
    let json_logs = match fields.optional("log_format") {
        Some(node) => reader.one_of(&node, &["text", "json"])? == "json",
        None => false,
    };
    reader.report_unknown(fields);
    Some(Settings {
        instance: instance?,
        domain: domain?,
        listen: listen?,
        gossip: gossip?,
        store: store?,
        list: list?,
        weights: weights?,
        key: key?,
        validity: Duration::from_millis(validity),
        max_body,
        max_connections,
        operator_sha256,
        json_logs,
    })
}

/// Reads a string that must be present and not empty.
fn required_string<'t>(
    reader: &mut Reader<'t>,
    fields: &mut Fields<'t, '_>,
    name: &'static str,
) -> Option<String> {
    let node = fields.required(reader, name)?;
    let text = reader.string(&node)?;
    if text.is_empty() {
        reader.report(&node, "the text is empty", "give it a value");
        return None;
    }
    Some(text)
}

/// Reads an IP address with a port.
fn required_address<'t>(
    reader: &mut Reader<'t>,
    fields: &mut Fields<'t, '_>,
    name: &'static str,
) -> Option<SocketAddr> {
    let node = fields.required(reader, name)?;
    let text = reader.string(&node)?;
    let Ok(address) = text.parse() else {
        let message = format!("expected an IP address with a port, found \"{text}\"");
        reader.report(&node, &message, "write it as \"127.0.0.1:8080\"");
        return None;
    };
    Some(address)
}

/// Reads the cluster key.
fn read_key<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<String> {
    let key = reader.string(node)?;
    if key.len() < MIN_KEY_BYTES {
        let message = format!(
            "the key has {} bytes, expected {MIN_KEY_BYTES} or more",
            key.len()
        );
        reader.report(
            node,
            &message,
            "use a long random text, the same on every instance",
        );
        return None;
    }
    Some(key)
}

/// Reads a whole number that may be absent.
fn optional_integer<'t>(
    reader: &mut Reader<'t>,
    fields: &mut Fields<'t, '_>,
    name: &'static str,
    default: u64,
    max: u64,
) -> u64 {
    let Some(node) = fields.optional(name) else {
        return default;
    };
    reader.integer(&node, 1, max).unwrap_or(default)
}
