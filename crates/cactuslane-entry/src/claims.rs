//! Claims of callers' own idempotency keys, written to the key-value service in batches.
//!
//! One write is in flight at a time, and the claims that arrive meanwhile share the next one. So a
//! single claim is written without delay, and many claims at once cost the key-value service few
//! calls.

use std::sync::{Arc, Mutex, PoisonError};

use cactuslane_once::{Claim, ClaimKeys};
use cactuslane_store::{Compare, Op, Store, StoreError, Txn, TxnResponse};
use tokio::sync::{mpsc, oneshot};

use crate::shared::Shared;

/// Maximum number of claims in one write.
const MAX_BATCH: usize = 64;
/// Maximum number of claims that wait for a write; more are refused.
const MAX_PENDING: usize = 10_000;

/// The queue of claims that are to be written.
#[derive(Debug)]
pub struct Claims {
    /// The sending end, for the tasks that make claims.
    sender: mpsc::Sender<PendingClaim>,
    /// The receiving end until the writing task takes it.
    receiver: Mutex<Option<mpsc::Receiver<PendingClaim>>>,
}

/// A claim that is not written yet.
#[derive(Debug)]
struct PendingClaim {
    /// The transaction that writes the claim or reads the existing one.
    txn: Txn,
    /// Passes the answer to the task that made the claim.
    answer: oneshot::Sender<Result<TxnResponse, StoreError>>,
}

impl Claims {
    /// Creates an empty queue that no task writes from yet.
    pub fn new() -> Self {
        let (sender, receiver) = mpsc::channel(MAX_PENDING);
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }

    /// Takes the receiving end for the writing task; returns `None` if it was taken before.
    fn take_receiver(&self) -> Option<mpsc::Receiver<PendingClaim>> {
        self.receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// Writes a claim if none of the store keys of its idempotency key holds one.
    ///
    /// The answer says whether the claim was written; if not, it has the values of the store keys.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Lost`] if it is unknown whether the claim was written, and
    /// [`StoreError::Refused`] also if too many claims are pending.
    pub async fn claim(&self, keys: &ClaimKeys, claim: &Claim) -> Result<TxnResponse, StoreError> {
        let refused = |why: &str| StoreError::Refused(why.to_owned());
        let value = serde_json::to_vec(claim).map_err(|error| refused(&error.to_string()))?;
        let txn = Txn {
            compare: keys.all().map(|key| Compare::Absent(key.clone())).to_vec(),
            then: vec![Op::Put(keys.current.clone(), value, None)],
            otherwise: keys.all().map(|key| Op::Get(key.clone())).to_vec(),
        };
        let (answer, answered) = oneshot::channel();
        let pending = PendingClaim { txn, answer };
        self.sender
            .try_send(pending)
            .map_err(|_| refused("too many claims wait"))?;
        // Without an answer it is not known whether the claim was written.
        answered
            .await
            .unwrap_or(Err(StoreError::Lost("the claim was dropped".to_owned())))
    }
}

/// Writes the queued claims until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let Some(mut receiver) = shared.claims.take_receiver() else {
        return;
    };
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
        write_batch(&shared.store, std::mem::take(&mut batch)).await;
    }
}

/// Writes a batch of claims in one transaction, and answers each with the result of its own part.
async fn write_batch(store: &Store, batch: Vec<PendingClaim>) {
    let then = batch
        .iter()
        .map(|pending| Op::Txn(pending.txn.clone()))
        .collect();
    let result = store
        .txn(&Txn {
            then,
            ..Txn::default()
        })
        .await;
    for (index, pending) in batch.into_iter().enumerate() {
        let answer = match &result {
            Ok(answer) => answer.nested.get(index).cloned().ok_or_else(missing_answer),
            Err(error) => Err(error.clone()),
        };
        // The send fails if the task that made the claim was cancelled; the claim stays written.
        let _ = pending.answer.send(answer);
    }
}

/// Returns the error of a claim for which the answer to its batch has no part.
fn missing_answer() -> StoreError {
    StoreError::Lost("the answer lacks a part".to_owned())
}
