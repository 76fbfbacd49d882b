//! Reading of the four sections and checking of references between them.

use std::collections::BTreeSet;

use super::{
    Caller, Document, Drain, Duration, EngineModel, FencingMode, MAX_DURATION_MS, Node,
    PlainService, Reader, RoleChangePolicy, Window,
};

/// Largest rate of requests or of tokens that a caller may be given, per second.
const MAX_RATE: f64 = 1e9;
/// Largest count in the document: of targets, output tokens or concurrent requests.
const MAX_COUNT: u64 = 1_000_000;
/// Number of the lowest priority of a caller; 0 is the highest.
const LOWEST_PRIORITY: u64 = 9;

/// Names that other sections may refer to. Entries with errors are included, so that an error in
/// an entry is not reported again at every reference to it.
#[derive(Default)]
struct DefinedNames {
    /// The names in `models.engines`.
    models: BTreeSet<String>,
    /// The names in `models.services`.
    services: BTreeSet<String>,
}

/// Reads the whole document, section by section; returns `None` only if the root is no object.
///
/// The result is valid only if `reader` has no errors: an entry with errors is left out of it or is
/// included as far as it could be read, and a missing or invalid number may yield a default.
pub(super) fn read<'t>(reader: &mut Reader<'t>, root: &Node<'t, '_>) -> Option<Document> {
    let mut fields = reader.fields(root)?;
    let mut document = Document::default();
    let mut names = DefinedNames::default();
    if let Some(node) = fields.required(reader, "models") {
        read_models(reader, &node, &mut document, &mut names);
    }
    if let Some(node) = fields.required(reader, "capacity") {
        read_capacity(reader, &node, &mut document, &names);
    }
    if let Some(node) = fields.required(reader, "callers") {
        for (name, node) in reader.entries(&node) {
            if let Some(caller) = read_caller(reader, &node, &names) {
                document.callers.insert(name, caller);
            }
        }
    }
    if let Some(node) = fields.required(reader, "maintenance") {
        read_maintenance(reader, &node, &mut document);
    }
    reader.report_unknown(fields);
    Some(document)
}

/// Reads the `models` section into `document`, and its names into `names`.
fn read_models<'t>(
    reader: &mut Reader<'t>,
    node: &Node<'t, '_>,
    document: &mut Document,
    names: &mut DefinedNames,
) {
    let Some(mut fields) = reader.fields(node) else {
        return;
    };
    if let Some(node) = fields.required(reader, "engines") {
        for (name, node) in reader.entries(&node) {
            names.models.insert(name.clone());
            if let Some(model) = read_engine_model(reader, &node) {
                document.models.insert(name, model);
            }
        }
    }
    if let Some(node) = fields.optional("services") {
        for (name, node) in reader.entries(&node) {
            names.services.insert(name.clone());
            if names.models.contains(&name) {
                let hint = "names are shared by models and services; rename one";
                reader.report(&node, "the name is already that of a model", hint);
            }
            if let Some(service) = read_service(reader, &node) {
                document.services.insert(name, service);
            }
        }
    }
    reader.report_unknown(fields);
}

/// Reads one entry of `models.engines`.
fn read_engine_model<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<EngineModel> {
    let mut fields = reader.fields(node)?;
    let first = fields.required(reader, "first_token_ms");
    let ttft_bound = first.and_then(|node| read_duration(reader, &node));
    let between = fields.required(reader, "between_tokens_ms");
    let itl_bound = between.and_then(|node| read_duration(reader, &node));
    let serving = fields.required(reader, "min_serving");
    let min_serving = serving.and_then(|node| reader.integer(&node, 0, MAX_COUNT));
    let version = fields
        .required(reader, "version")
        .and_then(|node| reader.string(&node));
    let output = fields.required(reader, "max_output");
    let max_output = output.and_then(|node| reader.integer(&node, 1, MAX_COUNT));
    let fencing = match fields.optional("fencing") {
        Some(node) => reader.one_of(&node, &["checked", "ignored"])?,
        None => "ignored".to_owned(),
    };
    reader.report_unknown(fields);
    Some(EngineModel {
        ttft_bound: ttft_bound?,
        itl_bound: itl_bound?,
        min_serving: min_serving? as usize,
        version: version?,
        max_output: max_output?,
        fencing: if fencing == "checked" {
            FencingMode::Checked
        } else {
            FencingMode::Ignored
        },
    })
}

/// Reads one entry of `models.services`; `min_serving` is 1 if absent.
fn read_service<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<PlainService> {
    let mut fields = reader.fields(node)?;
    let timeout = fields
        .required(reader, "timeout_ms")
        .and_then(|node| read_duration(reader, &node));
    let min_serving = match fields.optional("min_serving") {
        Some(node) => reader.integer(&node, 0, MAX_COUNT)?,
        None => 1,
    };
    let mut repeatable = Vec::new();
    if let Some(node) = fields.optional("repeatable") {
        for item in reader.items(&node) {
            repeatable.extend(read_repeatable(reader, &item));
        }
    }
    reader.report_unknown(fields);
    Some(PlainService {
        repeatable,
        timeout: timeout?,
        min_serving: min_serving as usize,
    })
}

/// Reads one entry of `repeatable`, as method and path prefix.
fn read_repeatable<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<(String, String)> {
    let mut fields = reader.fields(node)?;
    let method = fields.required(reader, "method");
    let allowed = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];
    let method = method.and_then(|node| reader.one_of(&node, &allowed));
    let node = fields.required(reader, "path")?;
    let path = reader.string(&node)?;
    if !path.starts_with('/') {
        reader.report(
            &node,
            "the path does not start with `/`",
            "write an absolute path such as `/items`",
        );
    }
    reader.report_unknown(fields);
    Some((method?, path))
}

/// Reads the `capacity` section into `document`; it may refer to models only.
fn read_capacity<'t>(
    reader: &mut Reader<'t>,
    node: &Node<'t, '_>,
    document: &mut Document,
    names: &DefinedNames,
) {
    let Some(mut fields) = reader.fields(node) else {
        return;
    };
    let share = fields.required(reader, "retry_share");
    let share = share.and_then(|node| reader.number(&node, 0.0, 1.0));
    document.retry_share = share.unwrap_or_default();
    if let Some(node) = fields.optional("roles") {
        for (name, node) in reader.entries(&node) {
            if !names.models.contains(&name) {
                let hint = "name a model of the section `models`";
                reader.report(&node, &format!("there is no model \"{name}\""), hint);
            }
            if let Some(policy) = read_role_policy(reader, &node) {
                document.roles.insert(name, policy);
            }
        }
    }
    reader.report_unknown(fields);
}

/// Reads the role-change policy of one model.
fn read_role_policy<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<RoleChangePolicy> {
    let mut fields = reader.fields(node)?;
    let change = fields
        .required(reader, "change_ms")
        .and_then(|node| read_duration(reader, &node));
    let weight = fields.required(reader, "change_weight");
    let weight = weight.and_then(|node| reader.number(&node, 0.0, 1000.0));
    let payback = fields
        .required(reader, "payback_ms")
        .and_then(|node| read_duration(reader, &node));
    reader.report_unknown(fields);
    Some(RoleChangePolicy {
        change_time: change?,
        change_weight: weight?,
        payback: payback?,
    })
}

/// Reads one caller and checks that its models and services exist.
///
/// `weight` and `priority` are 1 if absent.
fn read_caller<'t>(
    reader: &mut Reader<'t>,
    node: &Node<'t, '_>,
    names: &DefinedNames,
) -> Option<Caller> {
    let mut fields = reader.fields(node)?;
    let token = fields
        .required(reader, "token_sha256")
        .and_then(|node| read_hash(reader, &node));
    let models = match fields.optional("models") {
        Some(node) => read_references(reader, &node, &names.models, "models.engines"),
        None => Vec::new(),
    };
    let services = match fields.optional("services") {
        Some(node) => read_references(reader, &node, &names.services, "models.services"),
        None => Vec::new(),
    };
    let rate = fields.required(reader, "rate");
    let rate = rate.and_then(|node| reader.number(&node, 0.0, MAX_RATE));
    let tokens = fields.required(reader, "tokens");
    let tokens = tokens.and_then(|node| reader.number(&node, 0.0, MAX_RATE));
    let concurrency = fields.required(reader, "concurrency");
    let concurrency = concurrency.and_then(|node| reader.integer(&node, 1, MAX_COUNT));
    let weight = match fields.optional("weight") {
        Some(node) => reader.number(&node, 0.01, 1000.0)?,
        None => 1.0,
    };
    let priority = match fields.optional("priority") {
        Some(node) => reader.integer(&node, 0, LOWEST_PRIORITY)?,
        None => 1,
    };
    reader.report_unknown(fields);
    Some(Caller {
        token_sha256: token?,
        models,
        services,
        rate: rate?,
        tokens: tokens?,
        concurrency: concurrency? as usize,
        weight,
        priority: priority as u8,
    })
}

/// Reads the SHA-256 hash of a caller's token: 64 lower-case hex digits.
fn read_hash<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<String> {
    let hash = reader.string(node)?;
    let is_hex = hash
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if hash.len() != 64 || !is_hex {
        let hint = "`cactuslane hash-token` prints the hash of a token";
        reader.report(node, "expected 64 lower-case hex digits", hint);
        return None;
    }
    Some(hash)
}

/// Reads an array of names that must be defined at `path`. Undefined names are reported and left
/// out.
fn read_references<'t>(
    reader: &mut Reader<'t>,
    node: &Node<'t, '_>,
    defined: &BTreeSet<String>,
    path: &str,
) -> Vec<String> {
    let mut names = Vec::new();
    for item in reader.items(node) {
        let Some(name) = reader.string(&item) else {
            continue;
        };
        if !defined.contains(&name) {
            let message = format!("\"{name}\" is not defined in `{path}`");
            let list = defined.iter().cloned().collect::<Vec<_>>().join(", ");
            reader.report(&item, &message, &format!("defined names: {list}"));
            continue;
        }
        names.push(name);
    }
    names
}

/// Reads the `maintenance` section into `document`.
fn read_maintenance<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>, document: &mut Document) {
    let Some(mut fields) = reader.fields(node) else {
        return;
    };
    let maintenance = &mut document.maintenance;
    let time_zone = fields
        .required(reader, "time_zone")
        .and_then(|node| reader.string(&node));
    maintenance.time_zone = time_zone.unwrap_or_default();
    if let Some(node) = fields.optional("windows") {
        for item in reader.items(&node) {
            maintenance.windows.extend(read_window(reader, &item));
        }
    }
    if let Some(node) = fields.optional("drains") {
        for (target, node) in reader.entries(&node) {
            let allowed = ["now", "replace", "withdraw"];
            let Some(word) = reader.one_of(&node, &allowed) else {
                continue;
            };
            let drain = match word.as_str() {
                "now" => Drain::Now,
                "replace" => Drain::Replace,
                _ => Drain::Withdraw,
            };
            maintenance.drains.insert(target, drain);
        }
    }
    let max_unavailable = fields.required(reader, "at_once");
    let max_unavailable = max_unavailable.and_then(|node| reader.integer(&node, 1, MAX_COUNT));
    maintenance.max_unavailable = max_unavailable.unwrap_or(1) as usize;
    let per_domain = fields.required(reader, "per_domain");
    let per_domain = per_domain.and_then(|node| reader.integer(&node, 1, MAX_COUNT));
    maintenance.per_domain = per_domain.unwrap_or(1) as usize;
    reader.report_unknown(fields);
}

/// Reads one maintenance window.
fn read_window<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<Window> {
    let mut fields = reader.fields(node)?;
    let mut days = Vec::new();
    if let Some(node) = fields.required(reader, "days") {
        for item in reader.items(&node) {
            days.extend(reader.integer(&item, 1, 7).map(|day| day as i8));
        }
    }
    let from = fields
        .required(reader, "from")
        .and_then(|node| read_time_of_day(reader, &node));
    let until = fields
        .required(reader, "until")
        .and_then(|node| read_time_of_day(reader, &node));
    reader.report_unknown(fields);
    Some(Window {
        days,
        from: from?,
        until: until?,
    })
}

/// Reads a time of day such as `22:30` as minutes after midnight.
fn read_time_of_day<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<u16> {
    let text = reader.string(node)?;
    let minutes = parse_time_of_day(&text);
    if minutes.is_none() {
        let message = format!("expected a time such as \"22:30\", found \"{text}\"");
        reader.report(
            node,
            &message,
            "write hours and minutes with two digits each",
        );
    }
    minutes
}

/// Parses a time of day from `00:00` to `23:59` as minutes after midnight.
fn parse_time_of_day(text: &str) -> Option<u16> {
    let (hours, minutes) = text.split_once(':')?;
    let hours: u16 = hours.parse().ok()?;
    let minutes: u16 = minutes.parse().ok()?;
    (hours < 24 && minutes < 60).then_some(hours * 60 + minutes)
}

/// Reads a duration from 1 to [`MAX_DURATION_MS`] milliseconds.
pub(super) fn read_duration<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<Duration> {
    reader
        .integer(node, 1, MAX_DURATION_MS)
        .map(Duration::from_millis)
}
