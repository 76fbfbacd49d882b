//! The JSON form of etcd's v3 protocol, as far as it is used.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::{Compare, LeaseId, Op, Record, StoreError, Txn, TxnResponse};

/// Builds a range request for a key, or for the keys below an end.
pub(crate) fn range(key: &str, end: Option<&[u8]>) -> Value {
    match end {
        Some(end) => json!({ "key": encode(key), "range_end": STANDARD.encode(end) }),
        None => json!({ "key": encode(key) }),
    }
}

/// Returns the first key after all keys with a prefix.
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

/// Builds a lease grant request.
pub(crate) fn grant(ttl: Duration) -> Value {
    json!({ "TTL": ttl.as_secs().to_string(), "ID": "0" })
}

/// Builds a request that names a lease.
pub(crate) fn lease(lease: LeaseId) -> Value {
    json!({ "ID": lease.to_string() })
}

/// Builds a watch request for one key.
pub(crate) fn watch(key: &str, from: u64) -> Value {
    json!({ "create_request": { "key": encode(key), "start_revision": from.to_string() } })
}

/// Returns whether a line of a watch carries an event or its end.
pub(crate) fn has_event_or_cancel(line: &Value) -> bool {
    let result = &line["result"];
    result["events"]
        .as_array()
        .is_some_and(|events| !events.is_empty())
        || result["canceled"].as_bool() == Some(true)
}

/// Parses the last event of a watch line.
pub(crate) fn last_event(line: &Value) -> Result<Option<Record>, StoreError> {
    let result = &line["result"];
    if result["canceled"].as_bool() == Some(true) {
        let compact_revision = number(&result["compact_revision"]).unwrap_or_default();
        return Err(StoreError::Refused(format!(
            "the revision was compacted below {compact_revision}"
        )));
    }
    let last = result["events"].as_array().and_then(|events| events.last());
    last.map(|event| record(&event["kv"])).transpose()
}

/// Parses the records of a range answer.
pub(crate) fn records(answer: &Value) -> Result<Vec<Record>, StoreError> {
    let Some(kvs) = answer["kvs"].as_array() else {
        return Ok(Vec::new());
    };
    kvs.iter().map(record).collect()
}

/// Parses a transaction's answer, whose responses stand in the order of the steps.
pub(crate) fn txn_response(txn: &Txn, answer: &Value) -> Result<TxnResponse, StoreError> {
    let succeeded = answer["succeeded"].as_bool().unwrap_or(false);
    let revision = number(&answer["header"]["revision"]).unwrap_or_default();
    let mut parsed = TxnResponse {
        succeeded,
        revision,
        reads: Vec::new(),
        nested: Vec::new(),
    };
    let steps = if succeeded { &txn.then } else { &txn.otherwise };
    for (index, step) in steps.iter().enumerate() {
        let response = &answer["responses"][index];
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

/// Parses the id of a granted lease.
pub(crate) fn lease_id(answer: &Value) -> Result<LeaseId, StoreError> {
    let id = answer["ID"].as_str().and_then(|text| text.parse().ok());
    id.ok_or_else(|| StoreError::Lost("a lease answer without an id".to_owned()))
}

/// Parses whether a lease was renewed: a lapsed one has no time left.
pub(crate) fn is_renewed(answer: &Value) -> bool {
    number(&answer["result"]["TTL"]).unwrap_or_default() > 0
}

/// Builds a condition.
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

/// Builds a step.
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

/// Parses one record.
fn record(kv: &Value) -> Result<Record, StoreError> {
    let malformed = || StoreError::Lost("a malformed record".to_owned());
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

/// Parses a number that the protocol writes as text.
fn number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}

/// Encodes a key.
fn encode(key: &str) -> String {
    STANDARD.encode(key)
}
