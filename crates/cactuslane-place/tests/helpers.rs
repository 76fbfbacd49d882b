//! The search of a request for an instance that serves it, while others are behind.

use std::time::Duration;

use cactuslane_place::{HelperSearch, SearchStep, Unserved};
use yare::parameterized;

/// What an instance does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Conduct {
    /// It declines it or cannot be reached.
    Fails,
    /// It is behind until a time, in milliseconds, and serves it then.
    BehindUntil(u64),
    /// It does not know the targets recently, and serves the request if that is allowed.
    Outdated,
    /// It says that it does not know the targets recently, whatever is allowed.
    AlwaysOutdated,
}

/// Result of a search: what became of the request, the number of questions and the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Found {
    /// Why it was not served; `None` if it was.
    unserved: Option<Unserved>,
    /// Number of instances that were asked.
    asked: usize,
    /// Time at which it ended, in milliseconds.
    ended: u64,
}

/// Searches among instances, in their order, for a request with 4 s left whose configuration came into
/// force so many milliseconds ago; each question takes 1 ms.
fn search(conducts: &[Conduct], config_age: u64, left: u64) -> Found {
    let millis = Duration::from_millis;
    let mut search = HelperSearch::begin(millis(config_age), millis(left), Duration::ZERO);
    let (mut now, mut asked) = (0, 0);
    loop {
        let names = (0..conducts.len()).map(|number| (number, format!("front-{number}")));
        let mut open = names.filter(|(_, name)| search.may_ask() && search.is_open(name));
        let Some((number, name)) = open.next() else {
            match search.end_round(millis(now)) {
                SearchStep::Wait(pause) => now += pause.as_millis() as u64,
                SearchStep::GiveUp(unserved) => {
                    return Found {
                        unserved: Some(unserved),
                        asked,
                        ended: now,
                    };
                }
            }
            continue;
        };
        drop(open);
        search.record_asked(&name);
        (now, asked) = (now + 1, asked + 1);
        match conducts[number] {
            Conduct::Fails => search.record_failed(),
            Conduct::BehindUntil(until) if now < until => search.record_behind(&name),
            Conduct::Outdated if !search.takes_outdated() => search.record_outdated(&name),
            Conduct::AlwaysOutdated => search.record_outdated(&name),
            Conduct::BehindUntil(_) | Conduct::Outdated => {
                return Found {
                    unserved: None,
                    asked,
                    ended: now,
                };
            }
        }
    }
}

/// Guards against a request that waits for what nothing suggests will come, and against one that is
/// refused where another instance could serve it.
#[parameterized(
    nobody = { &[], 0, Some(Unserved::NoInstance), 0 },
    three_fail = { &[Conduct::Fails; 5], 0, Some(Unserved::NoInstance), 3 },
    all_behind_for_long = { &[Conduct::BehindUntil(9_000); 3], 60_000, Some(Unserved::AllBehind), 3 },
    one_knows_it = { &[Conduct::BehindUntil(9_000), Conduct::BehindUntil(9_000), Conduct::BehindUntil(9_000), Conduct::BehindUntil(9_000), Conduct::BehindUntil(0)], 60_000, None, 5 },
    two_fail_and_one_is_behind = { &[Conduct::Fails, Conduct::BehindUntil(9_000), Conduct::Fails, Conduct::BehindUntil(0)], 60_000, None, 4 },
    one_knows_the_targets = { &[Conduct::Outdated, Conduct::Outdated, Conduct::BehindUntil(0)], 0, None, 3 },
    none_knows_the_targets = { &[Conduct::Outdated, Conduct::Outdated], 0, None, 3 },
    outdated_whatever_is_allowed = { &[Conduct::AlwaysOutdated, Conduct::AlwaysOutdated], 0, Some(Unserved::NoInstance), 4 },
    outdated_ones_beside_one_that_is_behind = { &[Conduct::BehindUntil(9_000), Conduct::Outdated], 0, None, 3 },
    many_are_behind = { &[Conduct::BehindUntil(9_000); 194], 60_000, Some(Unserved::AllBehind), 8 },
)]
fn a_request_goes_on_past_instances_that_are_behind(
    conducts: &[Conduct],
    config_age: u64,
    unserved: Option<Unserved>,
    asked: usize,
) {
    let found = search(conducts, config_age, 4_000);
    assert_eq!((found.unserved, found.asked), (unserved, asked));
    assert_eq!(found.ended, asked as u64, "it does not wait");
}

/// Guards against refusals in the moment in which all others have yet to read a configuration.
#[parameterized(
    soon = { 0, 4_000, 300, None, 310 },
    never = { 0, 4_000, 9_000, Some(Unserved::AllBehind), 1_020 },
    changed_a_while_ago = { 700, 4_000, 9_000, Some(Unserved::AllBehind), 320 },
    little_time_left = { 0, 600, 9_000, Some(Unserved::AllBehind), 220 },
)]
fn a_request_waits_for_others_shortly_after_a_change(
    config_age: u64,
    left: u64,
    until: u64,
    unserved: Option<Unserved>,
    latest: u64,
) {
    let conducts = [Conduct::BehindUntil(until), Conduct::Fails];
    let found = search(&conducts, config_age, left);
    assert_eq!(found.unserved, unserved);
    assert!(found.ended <= latest, "{found:?}");
    assert!(found.ended + 60 >= latest.min(left / 3), "{found:?}");
}

/// Guards against endless rounds in which the same instances fail.
#[test]
fn instances_that_failed_are_not_asked_again_in_a_later_round() {
    let conducts = [Conduct::Fails, Conduct::BehindUntil(9_000)];
    let found = search(&conducts, 900, 4_000);
    assert_eq!(found.unserved, Some(Unserved::AllBehind));
    // The one that is behind is asked again after each pause.
    assert_eq!(found.asked, 1 + 3);
}
