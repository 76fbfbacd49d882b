//! Claims of callers' own keys, grouped into few writes.
//!
//! One write is on its way at a time; the claims that come meanwhile share the next one. So a
//! claim alone waits for nothing, and many at once cost the key-value service few calls.

use std::sync::{Arc, Mutex, PoisonError};

use cactuslane_once::{Claim, ClaimKeys};
use cactuslane_store::{Compare, Op, Store, StoreError, Txn, TxnAnswer};
use tokio::sync::{mpsc, oneshot};

use crate::shared::Shared;

/// Number of claims in one write at most.
const MAX_BATCH: usize = 64;
/// Number of claims that wait at most.
const MAX_PENDING: usize = 10_000;

/// Takes claims.
#[derive(Debug)]
pub struct Claims {
    /// Passes claims on to the task that writes them.
    sender: mpsc::Sender<PendingClaim>,
    /// The other end until the task takes it.
    receiver: Mutex<Option<mpsc::Receiver<PendingClaim>>>,
}

/// A claim that waits to be written.
#[derive(Debug)]
struct PendingClaim {
    /// The transaction that makes it.
    txn: Txn,
    /// Takes the answer.
    answer: oneshot::Sender<Result<TxnAnswer, StoreError>>,
}

impl Claims {
    /// Creates claims that no task writes yet.
    pub fn new() -> Self {
        let (sender, receiver) = mpsc::channel(MAX_PENDING);
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }

    /// Takes the end that the writing task reads; none the second time.
    fn take_receiver(&self) -> Option<mpsc::Receiver<PendingClaim>> {
        self.receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// Makes a claim, if no key of its key holds one.
    ///
    /// The answer tells whether it was made, and else what the keys hold.
    pub async fn make(&self, keys: &ClaimKeys, claim: &Claim) -> Result<TxnAnswer, StoreError> {
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
        // Without an answer nobody knows whether the claim was written.
        answered
            .await
            .unwrap_or(Err(StoreError::Lost("the claim was dropped".to_owned())))
    }
}

/// Writes claims until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let Some(mut receiver) = shared.claims.take_receiver() else {
        return;
    };
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
        write_batch(&shared.store, std::mem::take(&mut batch)).await;
    }
}

/// Writes a batch of claims and passes each its answer on.
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
        // A caller that has gone needs no answer; its claim stands all the same.
        let _ = pending.answer.send(answer);
    }
}

/// The error of a claim whose answer is not in the answer of its batch.
fn missing_answer() -> StoreError {
    StoreError::Lost("the answer lacks a part".to_owned())
}
