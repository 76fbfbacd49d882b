//! Clients of the platform's key-value services and instance list.
//!
//! [`Store`] uses the JSON gateway of etcd's v3 API; [`list`] reads the instance list in the format
//! of Prometheus's HTTP service discovery. Both are used by entry instances. [`kv`] is a smaller
//! key-value client whose wire format is supplied by a codec; the gateway uses it.

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

/// Identifies a lease granted by [`Store::grant`]; the service uses 0 for "no lease".
pub type LeaseId = i64;

/// Timeout of one call, from connecting to the end of the response; watches have their own.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the key-value service; clones share the connection pool and the counters.
#[derive(Clone, Debug)]
pub struct Store {
    /// The address of the key-value service.
    address: SocketAddr,
    /// The HTTP client; it reuses idle connections.
    client: Client,
    /// Counters of the calls made by this client and its clones.
    calls: Arc<CallCounters>,
}

/// Counters of the calls to the service.
#[derive(Debug, Default)]
pub struct CallCounters {
    /// Reads started, including watches.
    pub reads: AtomicU64,
    /// Transactions, lease grants and lease renewals started.
    pub writes: AtomicU64,
    /// Calls that failed with an [`HttpError`]; calls that the service refused are not counted.
    pub failures: AtomicU64,
}

/// A key-value pair with the revisions of its creation and last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key; the service stores bytes, but this client only accepts UTF-8.
    pub key: String,
    /// The value, decoded from base64; empty in a record of a deletion.
    pub value: Vec<u8>,
    /// The revision at which the key was created (etcd's `create_revision`).
    pub created: u64,
    /// The revision of the key's last change (etcd's `mod_revision`).
    pub modified: u64,
}

/// A condition on one key in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key's last change was made at the given revision.
    Modified(String, u64),
    /// The key was created at the given revision.
    Created(String, u64),
}

/// An operation in a branch of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a value to a key, attached to the lease if one is given.
    Put(String, Vec<u8>, Option<LeaseId>),
    /// Deletes a key.
    Delete(String),
    /// Deletes all keys with a prefix.
    DeletePrefix(String),
    /// Reads a key; the result is appended to [`TxnResponse::reads`].
    Get(String),
    /// Executes a nested transaction, which evaluates its own conditions.
    Txn(Txn),
}

/// A transaction: executes `then` if all conditions hold, and `otherwise` if not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions; an empty list always holds.
    pub compare: Vec<Compare>,
    /// The operations executed if all conditions hold.
    pub then: Vec<Op>,
    /// The operations executed if any condition does not hold.
    pub otherwise: Vec<Op>,
}

/// The response to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnResponse {
    /// Whether all conditions held, so that `then` was executed.
    pub succeeded: bool,
    /// The service's revision after the transaction; 0 if the response has no header.
    pub revision: u64,
    /// The result of each [`Op::Get`] of the executed branch, in order; `None` for absent keys.
    pub reads: Vec<Option<Record>>,
    /// The response to each [`Op::Txn`] of the executed branch, in order.
    pub nested: Vec<TxnResponse>,
}

/// The reason why a call to the service has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// No connection was made: a write has not taken effect.
    Unreachable(String),
    /// The response is missing, incomplete or malformed: a write may have taken effect.
    Lost(String),
    /// The service answered with a status other than 200, or canceled the watch, as for a compacted
    /// revision.
    Refused(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "the key-value service is not reachable: {why}"),
            Self::Lost(why) => write!(f, "no valid response from the key-value service: {why}"),
            Self::Refused(why) => write!(f, "the key-value service refused the call: {why}"),
        }
    }
}

impl Store {
    /// Creates a client; it connects on the first call.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::open(),
            calls: Arc::default(),
        }
    }

    /// Returns the counters that this client shares with its clones.
    #[must_use]
    pub fn calls(&self) -> &CallCounters {
        &self.calls
    }

    /// Reads a key with a linearizable read; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response is received within 2 s.
    pub async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let response = self.call("/v3/kv/range", &wire::range(key, None)).await?;
        Ok(wire::records(&response)?.into_iter().next())
    }

    /// Reads all keys with a prefix with a linearizable read.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response is received within 2 s.
    pub async fn range(&self, prefix: &str) -> Result<Vec<Record>, StoreError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let end = wire::prefix_end(prefix);
        let response = self
            .call("/v3/kv/range", &wire::range(prefix, Some(&end)))
            .await?;
        wire::records(&response)
    }

    /// Executes a transaction atomically.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Lost`] if the transaction may have taken effect.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnResponse, StoreError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let response = self.call("/v3/kv/txn", &wire::txn(txn)).await?;
        wire::txn_response(txn, &response)
    }

    /// Requests a lease whose time to live is `ttl`, rounded down to whole seconds.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response is received within 2 s.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let response = self.call("/v3/lease/grant", &wire::grant(ttl)).await?;
        wire::lease_id(&response)
    }

    /// Renews a lease for its full time to live; returns `false` if it has expired.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response is received within 2 s.
    pub async fn renew(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let response = self
            .call("/v3/lease/keepalive", &wire::lease(lease))
            .await?;
        Ok(wire::is_renewed(&response))
    }

    /// Waits for a change of a key after revision `after`; returns `None` if there is none within
    /// `wait`.
    ///
    /// If the first message with changes carries several, the last one is returned. A deletion is
    /// returned as a record with an empty value and `created` 0.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] if the service cancels the watch, as it does for a compacted
    /// revision, and another error if the connection fails or no JSON line is received within
    /// `wait`.
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

    /// Posts a request and returns the JSON body of a response with status 200.
    async fn call(&self, path: &str, body: &Value) -> Result<Value, StoreError> {
        let response = self
            .client
            .post_json(self.address, path, body, CALL_TIMEOUT)
            .await;
        let (status, value) = response.map_err(|error| self.record_failure(error))?;
        if status != 200 {
            return Err(StoreError::Refused(format!("status {status}: {value}")));
        }
        Ok(value)
    }

    /// Counts a failed call and converts its HTTP error.
    fn record_failure(&self, error: HttpError) -> StoreError {
        self.calls.failures.fetch_add(1, Ordering::Relaxed);
        match error {
            HttpError::Connect(why) => StoreError::Unreachable(why),
            HttpError::Broken(why) => StoreError::Lost(why),
        }
    }
}
