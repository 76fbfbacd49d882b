//! Instances at which callers take streams up, and counts of such requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Share of the take-ups that go to a blind instance while there is one.
const BLIND_SHARE: f64 = 0.25;
/// Share of the others that go to an instance without links to targets while there is one.
const CUT_SHARE: f64 = 0.95;

/// Instances at which callers prefer to take streams up, which may change while a load runs; by
/// default there are none.
#[derive(Clone, Debug, Default)]
pub struct Aims {
    /// Those that are cut off from all targets.
    pub cut: Vec<SocketAddr>,
    /// Those that are cut off from the store or stopped, or were so just before.
    pub blind: Vec<SocketAddr>,
    /// Whether a service is released, or was so just before.
    pub is_releasing: bool,
    /// Counts so far.
    pub figures: TakeUpFigures,
}

/// Aims that a run shares with its callers.
pub type SharedAims = Arc<Mutex<Aims>>;

/// Counts of the requests that take streams up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TakeUpFigures {
    /// All of them.
    pub sent: u64,
    /// Those in which `Connection` names a header of the place, or such a header comes twice.
    pub odd: u64,
    /// Those at instances that were cut off from all targets.
    pub at_cut: u64,
    /// Those at instances that were cut off from the store or stopped, or just before.
    pub at_blind: u64,
    /// Those of them while a service was released, or just after.
    pub at_release: u64,
}

impl Aims {
    /// Returns the instance at which a stream is taken up; `other` unless there is one to prefer.
    #[must_use]
    pub fn choose(&self, other: Option<SocketAddr>, rng: &mut Pcg64Mcg) -> Option<SocketAddr> {
        let (blind, cut) = (self.blind.choose(rng), self.cut.choose(rng));
        if blind.is_some() && rng.random_bool(BLIND_SHARE) {
            return blind.copied();
        }
        if cut.is_some() && rng.random_bool(CUT_SHARE) {
            return cut.copied();
        }
        other
    }

    /// Counts a request that takes a stream up.
    pub fn count(&mut self, front: Option<SocketAddr>, is_odd: bool) {
        let is_in = |list: &[SocketAddr]| front.is_some_and(|front| list.contains(&front));
        let is_blind = is_in(&self.blind);
        self.figures.sent += 1;
        self.figures.odd += u64::from(is_odd);
        self.figures.at_cut += u64::from(is_in(&self.cut));
        self.figures.at_blind += u64::from(is_blind);
        self.figures.at_release += u64::from(is_blind && self.is_releasing);
    }
}

impl TakeUpFigures {
    /// Returns the counts in one line.
    #[must_use]
    pub fn summary(&self) -> String {
        format!(
            "{} streams taken up: {} with odd headers, {} at instances cut off from all targets, {} \
             at instances cut off from the store or stopped, {} of these beside a release",
            self.sent, self.odd, self.at_cut, self.at_blind, self.at_release
        )
    }
}
