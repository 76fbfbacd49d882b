//! Costs of membership by the number of members. The network is simulated, but packets are encoded
//! for real, and processing is measured in wall-clock time.

use std::time::Duration;

use cactuslane_member::{Membership, Record, Revisions, Status};

use super::{Point, Series, micros};
use crate::network::{LinkParams, Network};

/// Numbers of members for which membership is measured.
const SIZES: [usize; 4] = [7, 50, 150, 330];
/// Virtual time before a measurement begins, in milliseconds.
const WARM_UP: u64 = 15_000;
/// Virtual time over which traffic and processing are measured, in milliseconds.
const MEASUREMENT_TIME: u64 = 30_000;
/// Loss and delay of packets between regions.
const LINKS: LinkParams = LinkParams {
    loss: 0.01,
    max_delay: 80,
    domains: 16,
};

/// Measures networks of 7 to 330 members, each with the same seed.
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
        network.sent_bytes = 0;
        network.processing_time = Duration::ZERO;
        network.status_changes.clear();
        network.run(MEASUREMENT_TIME);
        let seconds = MEASUREMENT_TIME as f64 / 1000.0;
        let per_node = |value: f64| value / seconds / size as f64;
        push(&mut bytes, size, per_node(network.sent_bytes as f64));
        push(&mut time, size, per_node(micros(network.processing_time)));
        let false_suspicions = network.false_status_changes(Status::Suspect) as f64;
        push(&mut suspicions, size, per_node(false_suspicions) * 3600.0);
        push(
            &mut memory,
            size,
            record_size(&network.members[0]) * size as f64,
        );
        network.adopt(0, &Revisions { config: 9, plan: 9 });
        let all_hold = |network: &Network| {
            network
                .members
                .iter()
                .all(|m| m.own_record().revisions.config == 9)
        };
        push(&mut spread, size, network.run_until(all_hold) as f64);
        network.paused.insert(1);
        let noticed = |network: &Network| network.count_seeing(1, Status::Gone) == size - 1;
        push(&mut notice, size, network.run_until(noticed) as f64);
    }
    vec![bytes, time, memory, spread, notice, suspicions]
}

/// Returns the estimated size of a record in memory, in bytes, with its strings (the id also as
/// the key of the map) and its share of the map.
fn record_size(member: &Membership) -> f64 {
    /// Estimated size of a record's share of the map's nodes, in bytes.
    const OVERHEAD: usize = 64;
    let record = member.own_record();
    let strings = record.id.len() * 2 + record.domain.len();
    (std::mem::size_of::<Record>() + strings + OVERHEAD) as f64
}

/// Creates an empty series over the number of members.
fn series(name: &'static str) -> Series {
    Series {
        name,
        over: "members",
        points: Vec::new(),
    }
}

/// Adds the value measured at a size to a series.
fn push(series: &mut Series, size: usize, value: f64) {
    series.points.push(Point { size, value });
}
