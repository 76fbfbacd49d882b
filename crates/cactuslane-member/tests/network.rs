//! Membership over a simulated network with packet loss and delays, paused members and cut links.

use cactuslane_bench::network::{LinkParams, Network, record};
use cactuslane_member::{Record, Revisions, Status};
use yare::parameterized;

/// Creates a network with delays below 5 ms that loses a share of the packets.
fn network(count: usize, loss: f64, seed: u64) -> Network {
    Network::new(
        count,
        LinkParams {
            loss,
            max_delay: 5,
            domains: 3,
        },
        seed,
    )
}

/// Every other member counts a dead member as gone within the limit, also with packet loss.
#[parameterized(
    seven = { 7, 0.0 },
    seven_lossy = { 7, 0.05 },
    fifty = { 50, 0.0 },
    fifty_lossy = { 50, 0.05 },
)]
fn dead_member_counts_as_gone_everywhere(count: usize, loss: f64) {
    /// Time after the death within which all others must count it as gone, in milliseconds.
    const LIMIT: u64 = 25_000;
    for seed in 0..5 {
        let mut network = network(count, loss, seed);
        network.run(10_000);
        network.paused.insert(0);
        network.run(LIMIT);
        assert_eq!(
            network.count_seeing(0, Status::Gone),
            count - 1,
            "seed {seed}"
        );
    }
}

/// No running member is ever counted as gone, even if one packet in ten is lost.
#[parameterized(
    quiet = { 20, 0.0 },
    lossy = { 20, 0.1 },
)]
fn running_member_never_counts_as_gone(count: usize, loss: f64) {
    for seed in 0..5 {
        let mut network = network(count, loss, seed);
        network.run(120_000);
        assert_eq!(network.false_status_changes(Status::Gone), 0, "seed {seed}");
    }
}

/// All see a paused member as alive again: after a pause within the suspicion timeout, and after a
/// longer one, when it refutes that it is gone.
#[parameterized(
    short = { 2_000 },
    long = { 40_000 },
)]
fn paused_member_is_alive_again(pause: u64) {
    for seed in 0..5 {
        let mut network = network(10, 0.02, seed);
        network.run(5_000);
        network.paused.insert(3);
        network.run(pause);
        network.paused.remove(&3);
        network.run(20_000);
        assert_eq!(network.count_seeing(3, Status::Alive), 10, "seed {seed}");
    }
}

/// A cut link between two members makes neither gone, as others ping on their behalf.
#[test]
fn cut_link_between_two_makes_neither_gone() {
    for seed in 0..5 {
        let mut network = network(7, 0.0, seed);
        network.cut.extend([(1, 2), (2, 1)]);
        network.run(60_000);
        assert_eq!(network.false_status_changes(Status::Gone), 0, "seed {seed}");
    }
}

/// New revisions reach all members within the limit despite packet loss, and older ones do not
/// replace them.
#[parameterized(
    seven = { 7 },
    fifty = { 50 },
)]
fn new_revision_reaches_all_members(count: usize) {
    /// Time within which all members must hold the revisions, in milliseconds.
    const LIMIT: u64 = 10_000;
    for seed in 0..5 {
        let mut network = network(count, 0.05, seed);
        network.run(5_000);
        network.adopt(0, &Revisions { config: 9, plan: 4 });
        network.run(LIMIT);
        for member in &network.members {
            let held = member.own_record().revisions;
            assert_eq!(held, Revisions { config: 9, plan: 4 }, "seed {seed}");
        }
    }
}

/// All members see a leaving member as leaving, not as gone, while it still runs.
#[test]
fn leaving_member_is_seen_as_leaving() {
    let mut network = network(7, 0.0, 1);
    network.run(5_000);
    network.members[2].leave();
    network.run(10_000);
    assert_eq!(network.count_seeing(2, Status::Leaving), 7);
}

/// Merging a record with a lower incarnation, status version or revision, or the known record, has
/// no effect.
#[parameterized(
    incarnation = { |r: &mut Record| r.incarnation = 4 },
    status_version = { |r: &mut Record| r.status_version = 1 },
    revision = { |r: &mut Record| r.revisions.config = 1 },
    same = { |_: &mut Record| {} },
)]
fn old_record_has_no_effect(alter: fn(&mut Record)) {
    let mut known = record(1, 3);
    known.incarnation = 5;
    known.status_version = 2;
    known.status = Status::Suspect;
    known.revisions = Revisions { config: 3, plan: 3 };
    let mut old = known.clone();
    old.status = if old.status_version == known.status_version {
        Status::Alive
    } else {
        Status::Gone
    };
    alter(&mut old);
    let before = known.clone();
    assert!(!known.merge(&old));
    assert_eq!(known, before);
}
