//! Membership over a modelled network that loses, delays, pauses and cuts.

use cactuslane_bench::network::{Links, Network, record};
use cactuslane_member::{Record, Revisions, Status};
use yare::parameterized;

/// Creates a network of near members that loses a share of packets.
fn network(count: usize, loss: f64, seed: u64) -> Network {
    Network::new(
        count,
        Links {
            loss,
            delay: 5,
            domains: 3,
        },
        seed,
    )
}

/// A member that dies counts as gone everywhere within the stated time.
#[parameterized(
    seven = { 7, 0.0 },
    seven_lossy = { 7, 0.05 },
    fifty = { 50, 0.0 },
    fifty_lossy = { 50, 0.05 },
)]
fn a_dead_member_is_noticed(count: usize, loss: f64) {
    /// Time in which everybody must have noticed, in milliseconds.
    const LIMIT: u64 = 25_000;
    for seed in 0..5 {
        let mut network = network(count, loss, seed);
        network.run(10_000);
        network.paused.insert(0);
        network.run(LIMIT);
        assert_eq!(network.seeing(0, Status::Gone), count - 1, "seed {seed}");
    }
}

/// Nobody who works counts as gone, however many packets are lost within reason.
#[parameterized(
    quiet = { 20, 0.0 },
    lossy = { 20, 0.1 },
)]
fn a_working_member_never_counts_as_gone(count: usize, loss: f64) {
    for seed in 0..5 {
        let mut network = network(count, loss, seed);
        network.run(120_000);
        assert_eq!(network.seen_falsely(Status::Gone), 0, "seed {seed}");
    }
}

/// A pause shorter than the suspicion leaves no trace, and a longer one is refuted on waking.
#[parameterized(
    short = { 2_000 },
    long = { 40_000 },
)]
fn a_member_comes_back_after_a_pause(pause: u64) {
    for seed in 0..5 {
        let mut network = network(10, 0.02, seed);
        network.run(5_000);
        network.paused.insert(3);
        network.run(pause);
        network.paused.remove(&3);
        network.run(20_000);
        assert_eq!(network.seeing(3, Status::Alive), 10, "seed {seed}");
    }
}

/// A cut between two members alone makes neither of them gone: others pass their pings on.
#[test]
fn a_cut_between_two_harms_nobody() {
    for seed in 0..5 {
        let mut network = network(7, 0.0, seed);
        network.cut.extend([(1, 2), (2, 1)]);
        network.run(60_000);
        assert_eq!(network.seen_falsely(Status::Gone), 0, "seed {seed}");
    }
}

/// A new revision reaches everybody within the stated time, and never goes back.
#[parameterized(
    seven = { 7 },
    fifty = { 50 },
)]
fn a_revision_reaches_everybody(count: usize) {
    /// Time in which everybody must know, in milliseconds.
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

/// A leaving member is seen as leaving everywhere, and not as gone while it works.
#[test]
fn a_leaving_member_is_seen() {
    let mut network = network(7, 0.0, 1);
    network.run(5_000);
    network.members[2].leave();
    network.run(10_000);
    assert_eq!(network.seeing(2, Status::Leaving), 7);
}

/// A record of an earlier incarnation, beat or revision changes nothing.
#[parameterized(
    incarnation = { |r: &mut Record| r.incarnation = 4 },
    status_version = { |r: &mut Record| r.status_version = 1 },
    revision = { |r: &mut Record| r.revisions.config = 1 },
    same = { |_: &mut Record| {} },
)]
fn an_old_record_changes_nothing(age: fn(&mut Record)) {
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
    age(&mut old);
    let before = known.clone();
    assert!(!known.merge(&old));
    assert_eq!(known, before);
}
