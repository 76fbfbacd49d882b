//! Replay protection: rejection of messages that were received before.

use cactuslane_types::Incarnation;

/// Number of sequence numbers that a window covers: the highest one and the 63 below it, one for
/// each bit of `seen`.
const WINDOW_SIZE: u64 = 64;

/// Record, of constant size, of the messages accepted from one sender.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    /// Highest incarnation of the sender so far, to which the numbers belong.
    incarnation: Incarnation,
    /// Highest sequence number accepted.
    highest: u64,
    /// Bit `i` is set if the number `highest - i` was accepted.
    seen: u64,
}

impl ReplayWindow {
    /// Returns whether a message is accepted, and records it.
    ///
    /// A message is rejected if it was accepted before, if its number is below the window and may
    /// thus have been accepted before, or if it is from an earlier incarnation. A later incarnation
    /// starts a new window.
    pub fn accept(&mut self, incarnation: Incarnation, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self {
                incarnation,
                highest: sequence,
                seen: 1,
            };
            return true;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift >= WINDOW_SIZE {
                1
            } else {
                self.seen << shift | 1
            };
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_SIZE || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}
