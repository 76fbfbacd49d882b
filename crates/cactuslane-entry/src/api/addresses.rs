//! `/v1/addresses`: the instance addresses that a caller is to use.

use cactuslane_member::addresses;
use cactuslane_wire::Purpose;
use cactuslane_wire::token::{IssuedKey, encode};
use hyper::Response;
use rand::random;
use serde_json::{Value, json};

use super::CallerRequest;
use crate::reply::{Body, json_response};

/// Prefix of the idempotency keys that instances issue, which sets them apart from callers' own
/// keys.
pub const KEY_PREFIX: &str = "clk1.";

/// Answers with the addresses in the order of preference.
///
/// The query parameter `near` names the failure domain of the caller, by default that of this
/// instance. Each address comes with a prefix for idempotency keys that are bound to that
/// instance's incarnation. If no member can be offered, the answer has this instance's own address,
/// unless the instance is leaving.
pub fn answer(call: &CallerRequest) -> Response<Body> {
    let near = query_value(&call.path, "near")
        .unwrap_or(&call.shared.settings.domain)
        .to_owned();
    let members = call.shared.members();
    let mut list = addresses::choose(members.records(), &call.caller, &near, random());
    if list.is_empty() && !call.shared.is_leaving() {
        list = addresses::choose(
            std::iter::once(members.own_record()),
            &call.caller,
            &near,
            0,
        );
    }
    let mut values: Vec<Value> = Vec::new();
    for address in &list {
        let Some(record) = members.record(&address.instance) else {
            continue;
        };
        let token = IssuedKey {
            caller: call.caller.clone(),
            instance: record.id.clone(),
            incarnation: record.incarnation,
            issued_at: crate::clock::Clock::unix_time(),
            nonce: random(),
        };
        let prefix = encode(&call.shared.key, Purpose::IssuedKey, &token);
        values.push(json!({
            "url": format!("http://{}", address.serving),
            "instance": address.instance,
            "failure_domain": address.domain,
            "idempotency_key_prefix": format!("{KEY_PREFIX}{prefix}."),
        }));
    }
    drop(members);
    let validity = call.shared.settings.address_validity.as_secs_f64();
    json_response(
        200,
        &json!({
            "addresses": values,
            "valid_for_seconds": validity,
            "idempotency_window_seconds": cactuslane_once::IDEMPOTENCY_WINDOW / 1000,
        }),
    )
}

/// Returns the value of the first query parameter with the given name, without percent-decoding.
pub fn query_value<'p>(path: &'p str, name: &str) -> Option<&'p str> {
    let (_, query) = path.split_once('?')?;
    for pair in query.split('&') {
        if let Some((key, value)) = pair.split_once('=')
            && key == name
        {
            return Some(value);
        }
    }
    None
}
