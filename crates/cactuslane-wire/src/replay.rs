//! Refusal of repeated messages.

use cactuslane_types::Incarnation;

/// Number of sequence numbers below the highest that are still told apart.
const WINDOW_SIZE: u64 = 64;

/// Remembers which messages of one sender were seen, in constant space.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    /// The sender's incarnation that the numbers belong to.
    incarnation: Incarnation,
    /// The highest sequence number seen.
    highest: u64,
    /// Holds a bit for each of the numbers at and below the highest.
    seen: u64,
}

impl ReplayWindow {
    /// Accepts a message once: false if it was seen, is too old or of an earlier incarnation.
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
