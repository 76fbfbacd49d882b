//! State of the key-value service: keys with revisions, leases and a log of changes.

use std::collections::{BTreeMap, VecDeque};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Number of changes in the log that watches read.
const LOG_LENGTH: usize = 4096;

/// Keys, leases and log of the key-value service.
///
/// It has no clock: `now` is in milliseconds since any fixed moment, such as the platform's start.
#[derive(Debug, Default)]
pub struct Kv {
    /// The keys with their values, in the order of their bytes.
    keys: BTreeMap<Vec<u8>, Item>,
    /// The revision of the last change; 0 before the first.
    revision: u64,
    /// The latest changes, at most [`LOG_LENGTH`], the oldest first.
    log: VecDeque<Change>,
    /// The leases that have not expired, by id.
    leases: BTreeMap<i64, Lease>,
    /// The id of the last lease granted; ids count from 1.
    last_lease: i64,
    /// The highest revision that watches can no longer read.
    compacted: u64,
}

/// Value of a key, with its revisions.
#[derive(Clone, Debug)]
struct Item {
    /// The bytes that were written.
    value: Vec<u8>,
    /// The revision that created the key.
    created: u64,
    /// The revision that last wrote the key.
    modified: u64,
    /// The id of the lease with which the key expires; 0 for none.
    lease: i64,
}

/// Change of a key, for watches.
#[derive(Clone, Debug)]
struct Change {
    /// The key that was written or deleted.
    key: Vec<u8>,
    /// The new value, or `None` for a deletion.
    item: Option<Item>,
    /// The revision of the transaction or expiry that made the change.
    revision: u64,
}

/// Lease under which keys live until it expires.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// The time to live from a grant or renewal, in milliseconds.
    ttl: u64,
    /// When it expires, in milliseconds on the clock of `now`.
    expires_at: u64,
}

impl Kv {
    /// Returns the revision of the last change, or 0 before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Answers a range request: one key, or all keys from `key` to below `range_end`.
    #[must_use]
    pub fn range(&self, request: &Value) -> Value {
        let key = bytes(&request["key"]);
        let end = bytes(&request["range_end"]);
        let kvs: Vec<Value> = if end.is_empty() {
            self.keys
                .get(&key)
                .map(|item| item_json(&key, item))
                .into_iter()
                .collect()
        } else {
            self.keys
                .range(key..end)
                .map(|(key, item)| item_json(key, item))
                .collect()
        };
        json!({ "header": self.header(), "kvs": kvs, "count": kvs.len().to_string() })
    }

    /// Executes a transaction; all its changes have the same revision.
    pub fn txn(&mut self, request: &Value) -> Value {
        let next = self.revision + 1;
        let answer = self.txn_at(request, next);
        if self
            .log
            .back()
            .is_some_and(|change| change.revision == next)
        {
            self.revision = next;
        }
        let mut answer = answer;
        answer["header"] = self.header();
        answer
    }

    /// Grants a lease for the requested time to live, in seconds.
    pub fn grant(&mut self, request: &Value, now: u64) -> Value {
        self.last_lease += 1;
        let ttl = number(&request["TTL"]) * 1000;
        self.leases.insert(
            self.last_lease,
            Lease {
                ttl,
                expires_at: now + ttl,
            },
        );
        json!({ "header": self.header(), "ID": self.last_lease.to_string(), "TTL": (ttl / 1000).to_string() })
    }

    /// Renews a lease; answers an expired or unknown one with a time to live of 0.
    pub fn keepalive(&mut self, request: &Value, now: u64) -> Value {
        let id = number(&request["ID"]) as i64;
        let ttl = match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = now + lease.ttl;
                lease.ttl / 1000
            }
            None => 0,
        };
        json!({ "result": { "header": self.header(), "ID": id.to_string(), "TTL": ttl.to_string() } })
    }

    /// Removes the expired leases and deletes their keys.
    pub fn expire(&mut self, now: u64) {
        let expired = |lease: &Lease| lease.expires_at <= now;
        let ids: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| expired(lease))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.revoke(id);
        }
    }

    /// Removes all leases and their keys immediately, as if they had expired early.
    pub fn expire_all_leases(&mut self) {
        self.expire(u64::MAX);
    }

    /// Drops the log; watches can no longer read the changes up to the current revision.
    pub fn compact(&mut self) {
        self.log.clear();
        self.compacted = self.revision;
    }

    /// Returns the changes of a key in the log, from a revision on.
    ///
    /// # Errors
    ///
    /// Returns the lowest readable revision if the log no longer reaches back to `from`.
    pub fn changes(&self, key: &[u8], from: u64) -> Result<Vec<Value>, u64> {
        if from <= self.compacted {
            return Err(self.compacted + 1);
        }
        let wanted = |change: &&Change| change.key == key && change.revision >= from;
        Ok(self.log.iter().filter(wanted).map(change_json).collect())
    }

    /// Returns the header of an answer, with the current revision.
    #[must_use]
    pub fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    /// Executes a transaction and its nested ones at one revision.
    ///
    /// Takes the `success` branch if all conditions hold, else the `failure` branch.
    fn txn_at(&mut self, request: &Value, revision: u64) -> Value {
        let none = Vec::new();
        let compares = request["compare"].as_array().unwrap_or(&none);
        let held = compares.iter().all(|compare| self.holds(compare));
        let branch = if held { "success" } else { "failure" };
        let steps = request[branch].as_array().unwrap_or(&none);
        let responses: Vec<Value> = steps.iter().map(|step| self.step(step, revision)).collect();
        json!({ "succeeded": held, "responses": responses })
    }

    /// Returns whether a condition holds: the equality of a revision of a key, 0 if it is absent.
    fn holds(&self, compare: &Value) -> bool {
        let item = self.keys.get(&bytes(&compare["key"]));
        match compare["target"].as_str() {
            Some("CREATE") => {
                item.map_or(0, |item| item.created) == number(&compare["create_revision"])
            }
            Some("MOD") => item.map_or(0, |item| item.modified) == number(&compare["mod_revision"]),
            _ => false,
        }
    }

    /// Executes one operation of a transaction.
    fn step(&mut self, step: &Value, revision: u64) -> Value {
        if let Some(put) = step.get("request_put") {
            let lease = number(&put["lease"]) as i64;
            self.put(bytes(&put["key"]), bytes(&put["value"]), lease, revision);
            return json!({ "response_put": {} });
        }
        if let Some(delete) = step.get("request_delete_range") {
            let deleted = self.delete(
                &bytes(&delete["key"]),
                &bytes(&delete["range_end"]),
                revision,
            );
            return json!({ "response_delete_range": { "deleted": deleted.to_string() } });
        }
        if let Some(range) = step.get("request_range") {
            return json!({ "response_range": self.range(range) });
        }
        if let Some(inner) = step.get("request_txn") {
            return json!({ "response_txn": self.txn_at(inner, revision) });
        }
        json!({})
    }

    /// Writes a key and records the change.
    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64, revision: u64) {
        let created = self.keys.get(&key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            created,
            modified: revision,
            lease,
        };
        self.keys.insert(key.clone(), item.clone());
        self.record(Change {
            key,
            item: Some(item),
            revision,
        });
    }

    /// Deletes a key, or all keys from `key` to below `end` if that is not empty.
    ///
    /// Returns the number of deleted keys.
    fn delete(&mut self, key: &[u8], end: &[u8], revision: u64) -> usize {
        let keys: Vec<Vec<u8>> = if end.is_empty() {
            self.keys
                .get_key_value(key)
                .map(|(key, _)| key.clone())
                .into_iter()
                .collect()
        } else {
            self.keys
                .range(key.to_vec()..end.to_vec())
                .map(|(key, _)| key.clone())
                .collect()
        };
        for key in &keys {
            self.keys.remove(key);
            self.record(Change {
                key: key.clone(),
                item: None,
                revision,
            });
        }
        keys.len()
    }

    /// Removes a lease and deletes its keys, all at one new revision.
    fn revoke(&mut self, id: i64) {
        self.leases.remove(&id);
        let held = |item: &Item| item.lease == id;
        let keys: Vec<Vec<u8>> = self
            .keys
            .iter()
            .filter(|(_, item)| held(item))
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.delete(&key, &[], self.revision);
        }
    }

    /// Appends a change to the log, dropping the oldest beyond [`LOG_LENGTH`].
    fn record(&mut self, change: Change) {
        self.log.push_back(change);
        while self.log.len() > LOG_LENGTH {
            let dropped = self.log.pop_front().map_or(0, |change| change.revision);
            self.compacted = self.compacted.max(dropped);
        }
    }
}

/// Decodes a base64 field; an absent or invalid one is empty.
#[must_use]
pub fn bytes(value: &Value) -> Vec<u8> {
    STANDARD
        .decode(value.as_str().unwrap_or_default())
        .unwrap_or_default()
}

/// Parses a number that is written as a number or as text; an absent or invalid one is 0.
#[must_use]
pub fn number(value: &Value) -> u64 {
    let text = value.as_str().and_then(|text| text.parse().ok());
    value.as_u64().or(text).unwrap_or_default()
}

/// Builds the JSON of a key and its value, as range and watch answers have it.
fn item_json(key: &[u8], item: &Item) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&item.value),
        "create_revision": item.created.to_string(),
        "mod_revision": item.modified.to_string(),
        "lease": item.lease.to_string(),
    })
}

/// Builds the JSON event of a change.
fn change_json(change: &Change) -> Value {
    if let Some(item) = &change.item {
        json!({ "type": "PUT", "kv": item_json(&change.key, item) })
    } else {
        let key = STANDARD.encode(&change.key);
        json!({ "type": "DELETE", "kv": { "key": key, "mod_revision": change.revision.to_string() } })
    }
}
