//! Membership over a modelled network, with real packets and real time for their processing.

use std::time::Duration;

use cactuslane_member::{Membership, Record, Revisions, Status};

use super::{Point, Series, micros};
use crate::network::{Links, Network};

/// Numbers of members that are measured.
const SIZES: [usize; 4] = [7, 50, 150, 330];
/// Time before a measurement begins, in milliseconds.
const WARM_UP: u64 = 15_000;
/// Time of a measurement, in milliseconds.
const TIME: u64 = 30_000;
/// Says how packets travel between regions.
const LINKS: Links = Links {
    loss: 0.01,
    delay: 80,
    domains: 16,
};

/// Measures membership at all sizes.
#[must_use]
pub fn measure() -> Vec<Series> {
    let mut bytes = series("membership: bytes a second a node, headers included");
    let mut time = series("membership: microseconds of a core a second a node");
    let mut memory = series("membership: bytes of records a node");
    let mut spread = series("membership: milliseconds until a revision is held by all");
    let mut notice = series("membership: milliseconds until all count a dead member as gone");
    let mut suspicions = series("membership: false suspicions a node an hour at 1% loss");
    for size in SIZES {
        let mut network = Network::new(size, LINKS, 1);
        network.run(WARM_UP);
        network.bytes = 0;
        network.spent = Duration::ZERO;
        network.changes.clear();
        network.run(TIME);
        let seconds = TIME as f64 / 1000.0;
        let per_node = |value: f64| value / seconds / size as f64;
        push(&mut bytes, size, per_node(network.bytes as f64));
        push(&mut time, size, per_node(micros(network.spent)));
        let falsely = network.seen_falsely(Status::Suspect) as f64;
        push(&mut suspicions, size, per_node(falsely) * 3600.0);
        push(
            &mut memory,
            size,
            record_size(&network.members[0]) * size as f64,
        );
        network.adopt(0, &Revisions { config: 9, plan: 9 });
        let held = |network: &Network| {
            network
                .members
                .iter()
                .all(|m| m.own_record().revisions.config == 9)
        };
        push(&mut spread, size, network.run_until(held) as f64);
        network.paused.insert(1);
        let noticed = |network: &Network| network.seeing(1, Status::Gone) == size - 1;
        push(&mut notice, size, network.run_until(noticed) as f64);
    }
    vec![bytes, time, memory, spread, notice, suspicions]
}

/// Returns the bytes that a record takes in memory, strings and map included.
fn record_size(member: &Membership) -> f64 {
    /// Bytes of a node of the map for each record.
    const OVERHEAD: usize = 64;
    let record = member.own_record();
    let strings = record.id.len() * 2 + record.domain.len();
    (std::mem::size_of::<Record>() + strings + OVERHEAD) as f64
}

/// Creates an empty series over members.
fn series(name: &'static str) -> Series {
    Series {
        name,
        over: "members",
        points: Vec::new(),
    }
}

/// Adds a point.
fn push(series: &mut Series, size: usize, value: f64) {
    series.points.push(Point { size, value });
}
