//! Client of the platform's key-value service and instance list.
//!
//! [`Store`] speaks the JSON form of etcd's v3 protocol; [`list`] reads instances in the format
//! of Prometheus's HTTP service discovery. [`kv`] is the narrow client for any wire form.

pub mod http;
pub mod kv;
pub mod list;
mod wire;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::Value;

use crate::http::{Client, HttpError};

/// Identifies a lease of the key-value service.
pub type LeaseId = i64;

/// Longest time that one call to the service may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the key-value service; clones share its connections and counters.
#[derive(Clone, Debug)]
pub struct Store {
    /// The service's address.
    address: SocketAddr,
    /// Sends the requests.
    client: Client,
    /// Counts the calls.
    calls: Arc<CallCounters>,
}

/// Counts calls to the service.
#[derive(Debug, Default)]
pub struct CallCounters {
    /// Counts reads, watches included.
    pub reads: AtomicU64,
    /// Counts writes, lease calls included.
    pub writes: AtomicU64,
    /// Counts calls without an answer.
    pub failures: AtomicU64,
}

/// A key's value with the revisions that the service keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision that created the key.
    pub created: u64,
    /// The revision of the last change.
    pub modified: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key's last change has a revision.
    Modified(String, u64),
    /// The key was created by a revision.
    Created(String, u64),
}

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a value, under a lease if one is given.
    Put(String, Vec<u8>, Option<LeaseId>),
    /// Deletes a key.
    Delete(String),
    /// Deletes all keys with a prefix.
    DeletePrefix(String),
    /// Reads a key.
    Get(String),
    /// Executes a nested transaction.
    Txn(Txn),
}

/// A transaction: the first list if all conditions hold, else the second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Holds the conditions.
    pub compare: Vec<Compare>,
    /// Holds the steps if the conditions hold.
    pub then: Vec<Op>,
    /// Holds the steps otherwise.
    pub otherwise: Vec<Op>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnResponse {
    /// Says whether the conditions held.
    pub succeeded: bool,
    /// The service's revision after the transaction.
    pub revision: u64,
    /// Holds what each `Get` read, in order.
    pub reads: Vec<Option<Record>>,
    /// Holds the answers to nested transactions, in order.
    pub nested: Vec<TxnResponse>,
}

/// Says why a call to the service has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The service was not reached: a write has not taken effect.
    Unreachable(String),
    /// The answer is missing: a write may have taken effect.
    Lost(String),
    /// The service refused the call.
    Refused(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "the key-value service is not reachable: {why}"),
            Self::Lost(why) => write!(f, "no answer from the key-value service: {why}"),
            Self::Refused(why) => write!(f, "the key-value service refused the call: {why}"),
        }
    }
}

impl Store {
    /// Opens a client; no connection is made before the first call.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::open(),
            calls: Arc::default(),
        }
    }

    /// Returns the counters of calls.
    #[must_use]
    pub fn calls(&self) -> &CallCounters {
        &self.calls
    }

    /// Reads a key, linearizably.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let answer = self.call("/v3/kv/range", &wire::range(key, None)).await?;
        Ok(wire::records(&answer)?.into_iter().next())
    }

    /// Reads all keys with a prefix, linearizably.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn range(&self, prefix: &str) -> Result<Vec<Record>, StoreError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let end = wire::prefix_end(prefix);
        let answer = self
            .call("/v3/kv/range", &wire::range(prefix, Some(&end)))
            .await?;
        wire::records(&answer)
    }

    /// Executes a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Lost`] where the transaction may have taken effect.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnResponse, StoreError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let answer = self.call("/v3/kv/txn", &wire::txn(txn)).await?;
        wire::txn_response(txn, &answer)
    }

    /// Grants a lease with a time to live, in whole seconds.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let answer = self.call("/v3/lease/grant", &wire::grant(ttl)).await?;
        wire::lease_id(&answer)
    }

    /// Renews a lease; false if it has lapsed.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn renew(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let answer = self
            .call("/v3/lease/keepalive", &wire::lease(lease))
            .await?;
        Ok(wire::is_renewed(&answer))
    }

    /// Waits for a change of a key after a revision; none if the time runs out first.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer or has compacted the revision.
    pub async fn wait_for_change(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Record>, StoreError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let body = wire::watch(key, after + 1);
        let response = self.client.first_matching_line(
            self.address,
            "/v3/watch",
            &body,
            wait,
            wire::has_event_or_cancel,
        );
        match response.await {
            Ok(Some(line)) => wire::last_event(&line),
            Ok(None) => Ok(None),
            Err(error) => Err(self.record_failure(error)),
        }
    }

    /// Sends one call and parses its answer.
    async fn call(&self, path: &str, body: &Value) -> Result<Value, StoreError> {
        let answer = self
            .client
            .post_json(self.address, path, body, CALL_TIMEOUT)
            .await;
        let (status, value) = answer.map_err(|error| self.record_failure(error))?;
        if status != 200 {
            return Err(StoreError::Refused(format!("status {status}: {value}")));
        }
        Ok(value)
    }

    /// Counts a failure and turns it into the store's error.
    fn record_failure(&self, error: HttpError) -> StoreError {
        self.calls.failures.fetch_add(1, Ordering::Relaxed);
        match error {
            HttpError::Connect(why) => StoreError::Unreachable(why),
            HttpError::Broken(why) => StoreError::Lost(why),
        }
    }
}
