//! Processes that get a share of a processor, as they are stopped and resumed in turn.

use std::io;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};

/// Time of a slice and the stop after it.
const PERIOD: Duration = Duration::from_millis(100);

/// Gives a process its slices until it is dropped; the process may be stopped then.
#[derive(Debug)]
pub(super) struct Slicer {
    /// The process and its state, shared with the thread that stops and resumes it.
    shared: Arc<Mutex<State>>,
}

/// A process that gets slices.
#[derive(Debug)]
struct State {
    /// The process, whose id is not given to another one while this is open.
    process: OwnedFd,
    /// Whether a fault stops the process, whatever its slices.
    is_paused: bool,
    /// Whether the process gets no more slices.
    is_over: bool,
}

impl Slicer {
    /// Starts to give a child process a share of [`PERIOD`], with a first stop that is late by a part of
    /// it; `count` counts the stops.
    ///
    /// # Errors
    ///
    /// Returns an error if the process was waited for.
    pub(super) fn spawn(
        id: u32,
        share: f64,
        phase: f64,
        count: Arc<AtomicU64>,
    ) -> io::Result<Self> {
        let id = i32::try_from(id).map_err(io::Error::other)?;
        let pid = Pid::from_raw(id).ok_or_else(|| io::Error::other("a process has no id"))?;
        let shared = Arc::new(Mutex::new(State {
            process: pidfd_open(pid, PidfdFlags::empty())?,
            is_paused: false,
            is_over: false,
        }));
        let (on, off) = slices(share);
        let state = shared.clone();
        thread::spawn(move || {
            thread::sleep(PERIOD.mul_f64(phase));
            loop {
                thread::sleep(on);
                if !lock(&state).signal(Signal::STOP) {
                    return;
                }
                count.fetch_add(1, Ordering::Relaxed);
                thread::sleep(off);
                if !lock(&state).signal(Signal::CONT) {
                    return;
                }
            }
        });
        Ok(Self { shared })
    }

    /// Stops the process until the pause ends, or resumes it.
    pub(super) fn set_paused(&self, is_paused: bool) {
        let mut state = lock(&self.shared);
        state.is_paused = false;
        state.signal(if is_paused {
            Signal::STOP
        } else {
            Signal::CONT
        });
        state.is_paused = is_paused;
    }
}

impl State {
    /// Sends a signal unless the process is paused; returns whether it gets further slices.
    fn signal(&self, signal: Signal) -> bool {
        if self.is_over {
            return false;
        }
        self.is_paused || pidfd_send_signal(&self.process, signal).is_ok()
    }
}

impl Drop for Slicer {
    fn drop(&mut self) {
        lock(&self.shared).is_over = true;
    }
}

/// Returns the time for which a process with a share of a processor runs, and for which it is stopped.
fn slices(share: f64) -> (Duration, Duration) {
    let on = PERIOD.mul_f64(share.clamp(0.01, 1.0));
    (on, PERIOD.saturating_sub(on))
}

/// Locks a state, also if another thread panicked while holding it.
fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
