//! Calls to other instances by messages, and the tasks that wait for their answers.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;

/// Number of a call, unique within the process that makes it.
pub type CallNumber = u64;

/// Calls that have not been answered by all instances that were asked.
#[derive(Debug)]
pub struct PeerCalls<T> {
    /// Senders of the answers to the waiting tasks, and the number of the last call.
    waiting: Mutex<(BTreeMap<CallNumber, mpsc::Sender<T>>, CallNumber)>,
}

/// A call whose answers are awaited until it is dropped.
#[derive(Debug)]
pub struct PeerCall<'a, T> {
    /// All calls of the instance.
    calls: &'a PeerCalls<T>,
    /// Number of the call.
    pub number: CallNumber,
    /// Receiver of the answers.
    pub answers: mpsc::Receiver<T>,
}

impl<T> Default for PeerCalls<T> {
    fn default() -> Self {
        Self {
            waiting: Mutex::default(),
        }
    }
}

impl<T> PeerCalls<T> {
    /// Registers a call to a number of instances.
    pub fn open(&self, asked: usize) -> PeerCall<'_, T> {
        let (sender, answers) = mpsc::channel(asked.max(1));
        let mut waiting = self.lock();
        waiting.1 += 1;
        let number = waiting.1;
        waiting.0.insert(number, sender);
        PeerCall {
            calls: self,
            number,
            answers,
        }
    }

    /// Passes an answer on to the task that waits for it; a late one, or one too many, is discarded.
    pub fn answer(&self, number: CallNumber, answer: T) {
        if let Some(sender) = self.lock().0.get(&number) {
            let _ = sender.try_send(answer);
        }
    }

    /// Locks the calls, also if another thread panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, (BTreeMap<CallNumber, mpsc::Sender<T>>, CallNumber)> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T> Drop for PeerCall<'_, T> {
    fn drop(&mut self) {
        self.calls.lock().0.remove(&self.number);
    }
}
