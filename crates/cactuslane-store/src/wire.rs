//! The subset of the JSON gateway of etcd's v3 API that [`crate::Store`] uses.
//!
//! Keys and values are base64, 64-bit integers are strings.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::{Compare, LeaseId, Op, Record, StoreError, Txn, TxnResponse};

/// Builds a range request for one key, or for all keys from `key` up to `end` (exclusive).
pub(crate) fn range(key: &str, end: Option<&[u8]>) -> Value {
    match end {
        Some(end) => json!({ "key": encode(key), "range_end": STANDARD.encode(end) }),
        None => json!({ "key": encode(key) }),
    }
}

/// Returns the first key, in byte order, after all keys with a prefix.
///
/// The increment cannot overflow, as UTF-8 text contains no byte 0xff. For an empty prefix, the
/// result is empty too.
pub(crate) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

/// Builds a transaction request.
pub(crate) fn txn(txn: &Txn) -> Value {
    json!({
        "compare": txn.compare.iter().map(compare).collect::<Vec<_>>(),
        "success": txn.then.iter().map(op).collect::<Vec<_>>(),
        "failure": txn.otherwise.iter().map(op).collect::<Vec<_>>(),
    })
}

/// Builds a lease grant request; with the id 0 the service chooses the id.
pub(crate) fn grant(ttl: Duration) -> Value {
    json!({ "TTL": ttl.as_secs().to_string(), "ID": "0" })
}

/// Builds a keep-alive request for a lease.
pub(crate) fn lease(lease: LeaseId) -> Value {
    json!({ "ID": lease.to_string() })
}

/// Builds a watch request for the changes of one key, starting with revision `from`.
pub(crate) fn watch(key: &str, from: u64) -> Value {
    json!({ "create_request": { "key": encode(key), "start_revision": from.to_string() } })
}

/// Returns whether a line of a watch carries an event or cancels the watch.
pub(crate) fn has_event_or_cancel(line: &Value) -> bool {
    let result = &line["result"];
    result["events"]
        .as_array()
        .is_some_and(|events| !events.is_empty())
        || result["canceled"].as_bool() == Some(true)
}

/// Parses the last event of a watch line; a deletion has an empty value and no creation revision.
pub(crate) fn last_event(line: &Value) -> Result<Option<Record>, StoreError> {
    let result = &line["result"];
    if result["canceled"].as_bool() == Some(true) {
        let compact_revision = number(&result["compact_revision"]).unwrap_or_default();
        return Err(StoreError::Refused(format!(
            "the watch was canceled; compact revision: {compact_revision}"
        )));
    }
    let last = result["events"].as_array().and_then(|events| events.last());
    last.map(|event| record(&event["kv"])).transpose()
}

/// Parses the records of a range response, which has no `kvs` if no key matches.
pub(crate) fn records(body: &Value) -> Result<Vec<Record>, StoreError> {
    let Some(kvs) = body["kvs"].as_array() else {
        return Ok(Vec::new());
    };
    kvs.iter().map(record).collect()
}

/// Parses a transaction response, which has one entry for each operation of the executed branch, in
/// order.
pub(crate) fn txn_response(txn: &Txn, body: &Value) -> Result<TxnResponse, StoreError> {
    let succeeded = body["succeeded"].as_bool().unwrap_or(false);
    let revision = number(&body["header"]["revision"]).unwrap_or_default();
    let mut parsed = TxnResponse {
        succeeded,
        revision,
        reads: Vec::new(),
        nested: Vec::new(),
    };
    let steps = if succeeded { &txn.then } else { &txn.otherwise };
    for (index, step) in steps.iter().enumerate() {
        let response = &body["responses"][index];
        match step {
            Op::Get(_) => {
                let records = records(&response["response_range"])?;
                parsed.reads.push(records.into_iter().next());
            }
            Op::Txn(inner) => parsed
                .nested
                .push(txn_response(inner, &response["response_txn"])?),
            Op::Put(..) | Op::Delete(_) | Op::DeletePrefix(_) => {}
        }
    }
    Ok(parsed)
}

/// Parses the response to a lease grant.
pub(crate) fn lease_id(body: &Value) -> Result<LeaseId, StoreError> {
    let id = body["ID"].as_str().and_then(|text| text.parse().ok());
    id.ok_or_else(|| StoreError::Lost("the lease response has no id".to_owned()))
}

/// Returns whether a keep-alive response renewed the lease; for an expired one, its `TTL` is 0.
pub(crate) fn is_renewed(body: &Value) -> bool {
    number(&body["result"]["TTL"]).unwrap_or_default() > 0
}

/// Encodes a condition; an absent key has `create_revision` 0.
fn compare(condition: &Compare) -> Value {
    match condition {
        Compare::Absent(key) => {
            json!({ "key": encode(key), "target": "CREATE", "result": "EQUAL", "create_revision": "0" })
        }
        Compare::Modified(key, revision) => {
            json!({ "key": encode(key), "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string() })
        }
        Compare::Created(key, revision) => {
            json!({ "key": encode(key), "target": "CREATE", "result": "EQUAL", "create_revision": revision.to_string() })
        }
    }
}

/// Encodes an operation; a put with lease 0 is attached to no lease.
fn op(op: &Op) -> Value {
    match op {
        Op::Put(key, value, lease) => {
            let lease = lease.unwrap_or_default().to_string();
            let value = STANDARD.encode(value);
            json!({ "request_put": { "key": encode(key), "value": value, "lease": lease } })
        }
        Op::Delete(key) => json!({ "request_delete_range": { "key": encode(key) } }),
        Op::DeletePrefix(prefix) => {
            let end = STANDARD.encode(prefix_end(prefix));
            json!({ "request_delete_range": { "key": encode(prefix), "range_end": end } })
        }
        Op::Get(key) => json!({ "request_range": range(key, None) }),
        Op::Txn(inner) => json!({ "request_txn": txn(inner) }),
    }
}

/// Parses a key-value pair; only `mod_revision` is required.
fn record(kv: &Value) -> Result<Record, StoreError> {
    let malformed = || StoreError::Lost("malformed record in the response".to_owned());
    let bytes = |field: &str| {
        let text = kv[field].as_str().unwrap_or_default();
        STANDARD.decode(text).map_err(|_| malformed())
    };
    let key = String::from_utf8(bytes("key")?).map_err(|_| malformed())?;
    Ok(Record {
        key,
        value: bytes("value")?,
        created: number(&kv["create_revision"]).unwrap_or_default(),
        modified: number(&kv["mod_revision"]).ok_or_else(malformed)?,
    })
}

/// Parses an integer, which etcd writes as a string; a JSON number is accepted as well.
fn number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}

/// Encodes a key in base64.
fn encode(key: &str) -> String {
    STANDARD.encode(key)
}
