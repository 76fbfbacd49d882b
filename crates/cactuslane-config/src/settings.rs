//! Settings of an entry instance, read once at start.

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_types::{DomainName, InstanceId};

use crate::reader::{Diagnostic, Fields, Node, Reader};

/// Minimum length of the cluster key, in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Longest duration allowed in the settings, in milliseconds: one hour.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Settings that an instance needs before it can reach the platform and other instances, and so
/// before it can read the configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name by which other instances refer to this one.
    pub instance: InstanceId,
    /// The failure domain that the instance runs in.
    pub domain: DomainName,
    /// The HTTP address for callers and operators, and for calls that other instances forward.
    pub listen: SocketAddr,
    /// The address for messages between instances: gossip over UDP, and transfers over TCP on the
    /// same port.
    pub gossip: SocketAddr,
    /// The address of the platform's key-value store.
    pub store: SocketAddr,
    /// The address of the platform's list of instances and targets.
    pub instance_list: SocketAddr,
    /// The address of the platform's model weight store, which is asked for permission before each
    /// order that loads weights.
    pub weight_store: SocketAddr,
    /// The secret, shared by all instances, that authenticates messages between instances and the
    /// tokens issued to callers.
    pub cluster_key: String,
    /// The time for which callers may use an answer with instance addresses; a stopping instance
    /// goes on serving for as long. 10 s if not set.
    pub address_validity: Duration,
    /// The maximum size of a request body, in bytes; 8 MiB if not set.
    pub max_body: u64,
    /// The maximum number of open connections at `listen`; more are closed immediately. 10,000 if
    /// not set.
    pub max_connections: u64,
    /// The memory that the instance may use, in bytes, from which its limits on connections and
    /// bodies follow; those for 512 MiB apply if not set.
    pub memory: Option<u64>,
    /// The SHA-256 hash of the token for the paths under `/v1/operator/`, in lower-case hex; if not
    /// set, every request for them is refused as unauthorized. The tokens that permit edits of the
    /// document are others, whose hashes are kept in the key-value store.
    pub operator_sha256: Option<String>,
    /// Whether log lines are written as JSON rather than text; text if not set.
    pub json_logs: bool,
}

impl Settings {
    /// Parses and validates settings; `file` is the name used in error messages.
    ///
    /// # Errors
    ///
    /// Returns the syntax error of the text or all errors of its values, each with its position and
    /// path.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Diagnostic>> {
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
///
/// The result is valid only if `reader` has no errors: an invalid optional number yields its
/// default, and unknown fields are only reported.
fn read<'t>(reader: &mut Reader<'t>, root: &Node<'t, '_>) -> Option<Settings> {
    let mut fields = reader.fields(root)?;
    let instance = required_string(reader, &mut fields, "instance");
    let domain = required_string(reader, &mut fields, "failure_domain");
    let listen = required_address(reader, &mut fields, "listen");
    let gossip = required_address(reader, &mut fields, "gossip");
    let store = required_address(reader, &mut fields, "store");
    let instance_list = required_address(reader, &mut fields, "instance_list");
    let weight_store = required_address(reader, &mut fields, "weight_store");
    let cluster_key = fields
        .required(reader, "cluster_key")
        .and_then(|node| read_key(reader, &node));
    let address_validity = optional_integer(
        reader,
        &mut fields,
        "address_validity_ms",
        10_000,
        MAX_DURATION_MS,
    );
    let max_body = optional_integer(reader, &mut fields, "max_body_bytes", 8 << 20, 1 << 30);
    let max_connections = optional_integer(reader, &mut fields, "max_connections", 10_000, 1 << 20);
    let memory = optional_integer(reader, &mut fields, "memory_mb", 0, 1 << 20);
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
        instance_list: instance_list?,
        weight_store: weight_store?,
        cluster_key: cluster_key?,
        address_validity: Duration::from_millis(address_validity),
        max_body,
        max_connections,
        memory: (memory > 0).then_some(memory << 20),
        operator_sha256,
        json_logs,
    })
}

/// Reads a required string that must not be empty.
fn required_string<'t>(
    reader: &mut Reader<'t>,
    fields: &mut Fields<'t, '_>,
    name: &'static str,
) -> Option<String> {
    let node = fields.required(reader, name)?;
    let text = reader.string(&node)?;
    if text.is_empty() {
        reader.report(&node, "the string is empty", "give it a value");
        return None;
    }
    Some(text)
}

/// Reads a required IP address with a port; host names are refused.
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

/// Reads the cluster key and checks its minimum length.
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
            "use a long random string, the same on every instance",
        );
        return None;
    }
    Some(key)
}

/// Reads an optional integer from 1 to `max`; returns `default` if it is absent or invalid.
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
