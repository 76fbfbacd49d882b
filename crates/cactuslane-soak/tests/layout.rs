//! The targets, instances and requests of a run follow from the deployment's site file.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::Duration;

use cactuslane_platform::Shape;
use cactuslane_platform_standin::TargetKind;
use cactuslane_soak::Options;
use cactuslane_soak::layout::{self, Layout, TargetSpec};

/// Returns the options of a run of a deployment, or of the stand-in's.
fn options(shape: Option<Shape>, target_processes: bool) -> Options {
    Options {
        binary: PathBuf::new(),
        folder: PathBuf::new(),
        seed: 1,
        length: Duration::from_secs(8),
        instances: 3,
        rate: 30.0,
        timed: false,
        links: false,
        entry_delay: None,
        target_processes,
        shape,
        unusual: 0.0,
        command: String::new(),
        cpu_share: None,
    }
}

/// Returns the project's own deployment.
fn own() -> Shape {
    Shape::parse(include_str!("../../../deploy/soak.toml")).expect("it is valid")
}

#[test]
fn targets_are_in_the_domains_of_their_services() {
    let shape = own();
    let layout = Layout::of(&options(Some(shape.clone()), true));
    assert_eq!(layout.domains, ["north", "south", "north"]);
    let all: Vec<&TargetSpec> = layout.tasks.iter().chain(&layout.processes).collect();
    let ids: BTreeSet<&str> = all.iter().map(|spec| spec.id.as_str()).collect();
    assert_eq!(ids.len(), all.len(), "{ids:?}");
    for service in &shape.services {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        let mut kinds = [0, 0, 0];
        for spec in &all {
            let place = spec.place.as_ref().expect("it has a place");
            if place.service != service.name {
                continue;
            }
            assert_eq!(place.slots, service.slots);
            *counts.entry(place.domain.clone()).or_default() += 1;
            kinds[spec.kind as usize] += 1;
        }
        assert_eq!(counts, service.targets);
        let expected = if service.engine.is_some() {
            [0, 2, 4]
        } else {
            [3, 0, 0]
        };
        assert_eq!(kinds, expected, "{}", service.name);
    }
}

// Guards against a run whose engines of one kind, version or failure domain are all lost at once.
#[test]
fn each_kind_of_target_has_tasks_processes_and_versions() {
    let layout = Layout::of(&options(Some(own()), true));
    let kinds = |specs: &[TargetSpec]| {
        let kinds = specs.iter().map(|spec| format!("{:?}", spec.kind));
        kinds.collect::<BTreeSet<String>>()
    };
    let all = ["Decode", "Plain", "Prefill"].map(str::to_owned);
    assert_eq!(kinds(&layout.tasks), BTreeSet::from(all));
    let processes = ["Decode", "Plain"].map(str::to_owned);
    assert_eq!(kinds(&layout.processes), BTreeSet::from(processes));
    let engines = layout.tasks.iter().chain(&layout.processes);
    let engines = engines.filter(|spec| spec.kind != TargetKind::Plain);
    let seconds: Vec<bool> = engines.map(|spec| spec.is_second).collect();
    assert!(
        seconds.contains(&true) && seconds.contains(&false),
        "{seconds:?}"
    );
}

#[test]
fn without_processes_all_targets_are_tasks() {
    let layout = Layout::of(&options(Some(own()), false));
    assert_eq!((layout.tasks.len(), layout.processes.len()), (9, 0));
}

#[test]
fn without_a_site_file_the_stand_ins_deployment_is_played() {
    let layout = Layout::of(&options(None, true));
    assert_eq!((layout.tasks.len(), layout.processes.len()), (8, 9));
    assert_eq!(layout.domains, ["a", "a", "a"]);
    let seconds = layout.tasks.iter().chain(&layout.processes);
    let seconds = seconds.filter(|spec| spec.is_second);
    let ids: Vec<&str> = seconds.map(|spec| spec.id.as_str()).collect();
    assert_eq!(ids, ["i-p2", "i-d2", "i-s2", "i-s4", "i-q2"]);
}

#[test]
fn requests_follow_the_routes() {
    let shape = own();
    let kinds = layout::kinds(Some(&shape));
    let paths: Vec<&str> = kinds.iter().map(|kind| kind.path.as_str()).collect();
    assert_eq!(paths, ["/digest/1", "/minutes/1", "/entry/1", "/balance/1"]);
    let traits = |kind: &cactuslane_soak::RequestKind| (kind.stream, kind.once, kind.is_read);
    let traits: Vec<_> = kinds.iter().map(traits).collect();
    let expected = [
        (true, false, false),
        (true, true, false),
        (false, true, false),
        (false, false, true),
    ];
    assert_eq!(traits, expected);
    let weights: Vec<u32> = kinds.iter().map(|kind| kind.weight).collect();
    assert_eq!(weights, [10_000, 5_000, 7_500, 7_500]);
    assert_eq!(kinds[1].deadline, Some(Duration::from_secs(4)));
    assert_eq!(kinds[0].size.expect("it is a stream").events, 17);
    assert_eq!(layout::kinds(None).len(), 4);
}

#[test]
fn disruptions_that_no_run_plays_are_named() {
    let text = include_str!("../../../deploy/soak.toml");
    assert!(layout::not_played(&own()).is_empty());
    let text = text.replace("node_freeze", "clock_step");
    let shape = Shape::parse(&text).expect("it is valid");
    assert_eq!(layout::not_played(&shape), ["StepClock"]);
}

#[test]
fn targets_that_send_streams_are_those_that_generate() {
    let layout = Layout::of(&options(None, true));
    let ids = |specs: &[TargetSpec]| -> Vec<String> {
        let streaming = layout::streaming(specs).into_iter();
        streaming.map(|number| specs[number].id.clone()).collect()
    };
    assert_eq!(ids(&layout.tasks), ["i-d1", "i-d2", "i-d3"]);
    assert_eq!(ids(&layout.processes), ["i-s1", "i-s2", "i-s3", "i-s4"]);
}
