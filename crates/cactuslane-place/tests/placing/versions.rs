//! Prompts and cached parts while engines of several software versions serve side by side.

use cactuslane_flight::target::Target;
use cactuslane_place::Placer;
use yare::parameterized;

use super::{capacities, fleet, info, load, place};

/// Creates two prefill and two decode engines with these versions, in this order.
fn engines(versions: [Option<&str>; 4]) -> Vec<Target> {
    let mut engines = fleet();
    for (engine, version) in engines.iter_mut().zip(versions) {
        engine.version = version.map(str::to_owned);
    }
    engines
}

/// Guards against prompts that one version computes and another generates from.
#[parameterized(
    second_decode_engine = { [Some("v1"), Some("v1"), Some("v2"), Some("v1")], Some("d2") },
    second_of_each = { [Some("v2"), Some("v1"), Some("v3"), Some("v1")], Some("d2") },
    no_pair = { [Some("v1"), Some("v1"), Some("v2"), Some("v2")], None },
    not_stated = { [None, None, None, None], None },
)]
fn a_prompt_is_used_only_by_an_engine_of_the_version_that_computed_it(
    versions: [Option<&str>; 4],
    decode: Option<&str>,
) {
    for seed in 0..20 {
        let mut placer = Placer::new("a".to_owned(), seed);
        placer.load_view.add("d1", load(0, 5, 40_000));
        placer.load_view.add("d2", load(0, 10, 80_000));
        let plan = place(&mut placer, &engines(versions), &info(13_000, 4_000));
        assert_eq!(plan.prefill.is_some(), decode.is_some());
        if let Some(decode) = decode {
            assert_eq!(plan.decode, decode);
        }
    }
}

/// Guards against cached parts that one version wrote and another reads.
#[parameterized(
    same = { "v1", true },
    other = { "v2", false },
)]
fn cached_parts_are_fetched_only_from_an_engine_of_the_same_version(version: &str, fetched: bool) {
    let mut placer = Placer::new("a".to_owned(), 1);
    let info = info(13_000, 4_000);
    let capacity = capacities().kv_capacity;
    placer.record_cached("p2", info.shared_parts(), capacity, 0.0, 9_000);
    placer.load_view.add("p2", load(40_000, 4, 40_000));
    let versions = [Some("v1"), Some(version), Some("v1"), Some("v1")];
    let plan = place(&mut placer, &engines(versions), &info);
    assert_eq!(plan.prefill.as_deref(), Some("p1"));
    assert_eq!(plan.fetch.is_some(), fetched);
}
