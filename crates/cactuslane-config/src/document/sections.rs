//! Reading of the four sections and the checks between them.

use std::collections::BTreeSet;

use super::{
    Caller, Document, Drain, Duration, EngineModel, FencingMode, LONGEST_MS, Node, PlainService,
    Reader, RoleCapacity, Window,
};

/// Largest rate that a caller may be given, a second.
const MAX_RATE: f64 = 1e9;
/// Largest count of anything in the document.
const MAX_COUNT: u64 = 1_000_000;
/// Highest number of the priority of a caller.
const LOWEST_PRIORITY: u64 = 9;

/// Holds the names that other sections may refer to, those of faulty entries included, so that
/// one fault is not reported as several.
#[derive(Default)]
struct Names {
    /// Holds the names of models.
    models: BTreeSet<String>,
    /// Holds the names of plain services.
    services: BTreeSet<String>,
}

/// Reads the whole document.
pub(super) fn read<'t>(reader: &mut Reader<'t>, root: &Node<'t, '_>) -> Option<Document> {
    let mut fields = reader.fields(root)?;
    let mut document = Document::default();
    let mut names = Names::default();
    if let Some(node) = fields.need(reader, "models") {
        read_models(reader, &node, &mut document, &mut names);
    }
    if let Some(node) = fields.need(reader, "capacity") {
        read_capacity(reader, &node, &mut document, &names);
    }
    if let Some(node) = fields.need(reader, "callers") {
        for (name, node) in reader.entries(&node) {
            if let Some(caller) = read_caller(reader, &node, &names) {
                document.callers.insert(name, caller);
            }
        }
    }
    if let Some(node) = fields.need(reader, "maintenance") {
        read_maintenance(reader, &node, &mut document);
    }
    reader.close(fields);
    Some(document)
}

/// Reads the `models` section.
fn read_models<'t>(
    reader: &mut Reader<'t>,
    node: &Node<'t, '_>,
    document: &mut Document,
    names: &mut Names,
) {
    let Some(mut fields) = reader.fields(node) else {
        return;
    };
    if let Some(node) = fields.need(reader, "engines") {
        for (name, node) in reader.entries(&node) {
            names.models.insert(name.clone());
            if let Some(model) = read_engine_model(reader, &node) {
                document.models.insert(name, model);
            }
        }
    }
    if let Some(node) = fields.take("services") {
        for (name, node) in reader.entries(&node) {
            names.services.insert(name.clone());
            if names.models.contains(&name) {
                let hint = "names are shared by models and services; rename one";
                reader.fault(&node, "the name is already that of a model", hint);
            }
            if let Some(service) = read_service(reader, &node) {
                document.services.insert(name, service);
            }
        }
    }
    reader.close(fields);
}

/// Reads one model.
fn read_engine_model<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<EngineModel> {
    let mut fields = reader.fields(node)?;
    let first = fields.need(reader, "first_token_ms");
    let first_token = first.and_then(|node| read_ms(reader, &node));
    let between = fields.need(reader, "between_tokens_ms");
    let between_tokens = between.and_then(|node| read_ms(reader, &node));
    let serving = fields.need(reader, "min_serving");
    let min_serving = serving.and_then(|node| reader.whole(&node, 0, MAX_COUNT));
    let version = fields
        .need(reader, "version")
        .and_then(|node| reader.string(&node));
    let output = fields.need(reader, "max_output");
    let max_output = output.and_then(|node| reader.whole(&node, 1, MAX_COUNT));
    let fencing = match fields.take("fencing") {
        Some(node) => reader.word(&node, &["checked", "ignored"])?,
        None => "ignored".to_owned(),
    };
    reader.close(fields);
    Some(EngineModel {
        first_token: first_token?,
        between_tokens: between_tokens?,
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

/// Reads one plain service.
fn read_service<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<PlainService> {
    let mut fields = reader.fields(node)?;
    let timeout = fields
        .need(reader, "timeout_ms")
        .and_then(|node| read_ms(reader, &node));
    let min_serving = match fields.take("min_serving") {
        Some(node) => reader.whole(&node, 0, MAX_COUNT)?,
        None => 1,
    };
    let mut repeatable = Vec::new();
    if let Some(node) = fields.take("repeatable") {
        for item in reader.items(&node) {
            repeatable.extend(read_repeatable(reader, &item));
        }
    }
    reader.close(fields);
    Some(PlainService {
        repeatable,
        timeout: timeout?,
        min_serving: min_serving as usize,
    })
}

/// Reads one kind of call that may be repeated.
fn read_repeatable<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<(String, String)> {
    let mut fields = reader.fields(node)?;
    let method = fields.need(reader, "method");
    let words = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];
    let method = method.and_then(|node| reader.word(&node, &words));
    let node = fields.need(reader, "path")?;
    let path = reader.string(&node)?;
    if !path.starts_with('/') {
        reader.fault(
            &node,
            "the path does not start with `/`",
            "write it from the root",
        );
    }
    reader.close(fields);
    Some((method?, path))
}

/// Reads the `capacity` section.
fn read_capacity<'t>(
    reader: &mut Reader<'t>,
    node: &Node<'t, '_>,
    document: &mut Document,
    names: &Names,
) {
    let Some(mut fields) = reader.fields(node) else {
        return;
    };
    let share = fields.need(reader, "retry_share");
    let share = share.and_then(|node| reader.number(&node, 0.0, 1.0));
    document.retry_share = share.unwrap_or_default();
    if let Some(node) = fields.take("roles") {
        for (name, node) in reader.entries(&node) {
            if !names.models.contains(&name) {
                let hint = "name a model of the section `models`";
                reader.fault(&node, &format!("there is no model \"{name}\""), hint);
            }
            if let Some(capacity) = read_roles(reader, &node) {
                document.roles.insert(name, capacity);
            }
        }
    }
    reader.close(fields);
}

/// Reads the role capacity of one model.
fn read_roles<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<RoleCapacity> {
    let mut fields = reader.fields(node)?;
    let change = fields
        .need(reader, "change_ms")
        .and_then(|node| read_ms(reader, &node));
    let weight = fields.need(reader, "change_weight");
    let weight = weight.and_then(|node| reader.number(&node, 0.0, 1000.0));
    let payback = fields
        .need(reader, "payback_ms")
        .and_then(|node| read_ms(reader, &node));
    reader.close(fields);
    Some(RoleCapacity {
        change_time: change?,
        change_weight: weight?,
        payback: payback?,
    })
}

/// Reads one caller and checks what it refers to.
fn read_caller<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>, names: &Names) -> Option<Caller> {
    let mut fields = reader.fields(node)?;
    let token = fields
        .need(reader, "token_sha256")
        .and_then(|node| read_hash(reader, &node));
    let models = match fields.take("models") {
        Some(node) => read_references(reader, &node, &names.models, "models.engines"),
        None => Vec::new(),
    };
    let services = match fields.take("services") {
        Some(node) => read_references(reader, &node, &names.services, "models.services"),
        None => Vec::new(),
    };
    let rate = fields.need(reader, "rate");
    let rate = rate.and_then(|node| reader.number(&node, 0.0, MAX_RATE));
    let tokens = fields.need(reader, "tokens");
    let tokens = tokens.and_then(|node| reader.number(&node, 0.0, MAX_RATE));
    let concurrency = fields.need(reader, "concurrency");
    let concurrency = concurrency.and_then(|node| reader.whole(&node, 1, MAX_COUNT));
    let weight = match fields.take("weight") {
        Some(node) => reader.number(&node, 0.01, 1000.0)?,
        None => 1.0,
    };
    let priority = match fields.take("priority") {
        Some(node) => reader.whole(&node, 0, LOWEST_PRIORITY)?,
        None => 1,
    };
    reader.close(fields);
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

/// Reads the hash of a caller's token.
fn read_hash<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<String> {
    let hash = reader.string(node)?;
    let is_hex = hash
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if hash.len() != 64 || !is_hex {
        let hint = "`cactuslane hash-token` prints the hash of a token";
        reader.fault(node, "expected 64 lower-case hex digits", hint);
        return None;
    }
    Some(hash)
}

/// Reads names that must stand in another section.
fn read_references<'t>(
    reader: &mut Reader<'t>,
    node: &Node<'t, '_>,
    known: &BTreeSet<String>,
    place: &str,
) -> Vec<String> {
    let mut names = Vec::new();
    for item in reader.items(node) {
        let Some(name) = reader.string(&item) else {
            continue;
        };
        if !known.contains(&name) {
            let message = format!("\"{name}\" does not stand in `{place}`");
            let list = known.iter().cloned().collect::<Vec<_>>().join(", ");
            reader.fault(&item, &message, &format!("known are: {list}"));
            continue;
        }
        names.push(name);
    }
    names
}

/// Reads the `maintenance` section.
fn read_maintenance<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>, document: &mut Document) {
    let Some(mut fields) = reader.fields(node) else {
        return;
    };
    let plan = &mut document.maintenance;
    let zone = fields
        .need(reader, "time_zone")
        .and_then(|node| reader.string(&node));
    plan.zone = zone.unwrap_or_default();
    if let Some(node) = fields.take("windows") {
        for item in reader.items(&node) {
            plan.windows.extend(read_window(reader, &item));
        }
    }
    if let Some(node) = fields.take("drains") {
        for (target, node) in reader.entries(&node) {
            let words = ["now", "replace", "withdraw"];
            let Some(word) = reader.word(&node, &words) else {
                continue;
            };
            let drain = match word.as_str() {
                "now" => Drain::Now,
                "replace" => Drain::Replace,
                _ => Drain::Withdraw,
            };
            plan.drains.insert(target, drain);
        }
    }
    let at_once = fields.need(reader, "at_once");
    let at_once = at_once.and_then(|node| reader.whole(&node, 1, MAX_COUNT));
    plan.at_once = at_once.unwrap_or(1) as usize;
    let per_domain = fields.need(reader, "per_domain");
    let per_domain = per_domain.and_then(|node| reader.whole(&node, 1, MAX_COUNT));
    plan.per_domain = per_domain.unwrap_or(1) as usize;
    reader.close(fields);
}

/// Reads one window.
fn read_window<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<Window> {
    let mut fields = reader.fields(node)?;
    let mut days = Vec::new();
    if let Some(node) = fields.need(reader, "days") {
        for item in reader.items(&node) {
            days.extend(reader.whole(&item, 1, 7).map(|day| day as i8));
        }
    }
    let from = fields
        .need(reader, "from")
        .and_then(|node| read_minutes(reader, &node));
    let until = fields
        .need(reader, "until")
        .and_then(|node| read_minutes(reader, &node));
    reader.close(fields);
    Some(Window {
        days,
        from: from?,
        until: until?,
    })
}

/// Reads a time of day as minutes after midnight.
fn read_minutes<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<u16> {
    let text = reader.string(node)?;
    let minutes = parse_minutes(&text);
    if minutes.is_none() {
        let message = format!("expected a time such as \"22:30\", found \"{text}\"");
        reader.fault(
            node,
            &message,
            "write hours and minutes with two digits each",
        );
    }
    minutes
}

/// Parses a time of day such as `22:30`.
fn parse_minutes(text: &str) -> Option<u16> {
    let (hours, minutes) = text.split_once(':')?;
    let hours: u16 = hours.parse().ok()?;
    let minutes: u16 = minutes.parse().ok()?;
    (hours < 24 && minutes < 60).then_some(hours * 60 + minutes)
}

/// Reads a time in milliseconds, at least 1.
pub(super) fn read_ms<'t>(reader: &mut Reader<'t>, node: &Node<'t, '_>) -> Option<Duration> {
    reader.whole(node, 1, LONGEST_MS).map(Duration::from_millis)
}
