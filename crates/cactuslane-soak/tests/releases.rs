//! Releases beside instances that do not see them, and the instances at which streams are taken up.

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_soak::load::aims::{Aims, TakeUpFigures};
use cactuslane_soak::plan::{
    self, Action, LinkFault, PathFault, PlanStep, ProcessFault, Release, Scope,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Length of the runs.
const LENGTH: Duration = Duration::from_secs(20);
/// Released targets, among other ones.
const TARGETS: [usize; 3] = [1, 2, 5];

/// Returns all steps of a run with a seed, and its release.
fn draw(seed: u64) -> (Vec<PlanStep>, Option<Release>) {
    let release = Release::draw(seed, LENGTH, 5, &TARGETS);
    let mut steps = plan::draw(seed, LENGTH, 5, 8);
    steps.extend(plan::draw_processes(seed, LENGTH, 4));
    steps.extend(plan::draw_losses(seed, LENGTH));
    steps.extend(plan::draw_successions(seed, LENGTH, 4..7, None));
    steps.extend(plan::draw_cuts(seed, LENGTH, 5, release.as_ref()));
    if let Some(release) = &release {
        release.join(&mut steps, &TARGETS);
    }
    steps.sort_by_key(|step| step.at);
    (steps, release)
}

// Guards against runs in which no instance has an old view at a release, as nothing overlaps it, or
// whose targets have two versions before it.
#[test]
fn each_run_with_faults_has_a_release_that_two_instances_do_not_see() {
    for seed in 0..200 {
        let (steps, release) = draw(seed);
        assert_eq!(release, draw(seed).1);
        assert_eq!(release.is_none(), plan::is_planned_only(seed));
        let Some(release) = release else {
            continue;
        };
        assert_ne!(release.cut, release.frozen);
        for at in [release.from, release.to] {
            let blind = plan::blind(&steps, at);
            assert!(blind.contains(&release.cut) && blind.contains(&release.frozen));
        }
        let mut released = Vec::new();
        for step in &steps {
            let end = step.at + step.action.duration();
            assert!(end <= LENGTH.mul_f64(0.7), "seed {seed}: {step:?}");
            let is_beside = step.at < release.until && end >= release.from;
            match step.action {
                Action::Process(target, fault, _)
                    if TARGETS.contains(&target)
                        && step.at < release.to
                        && !fault.keeps_version() =>
                {
                    assert!(step.at >= release.from, "seed {seed}: {step:?}");
                    let is_release = [ProcessFault::Leave, ProcessFault::Rename];
                    assert!(is_release.contains(&fault));
                    released.push(target);
                }
                Action::KillAll(_) => assert!(!is_beside, "seed {seed}: {step:?}"),
                Action::Kill(instance, _) | Action::Stop(instance) => {
                    let is_victim = [release.cut, release.frozen].contains(&instance);
                    assert!(!is_beside || !is_victim, "seed {seed}: {step:?}");
                }
                _ => {}
            }
        }
        assert_eq!(released, TARGETS);
        let silent = |step: &&PlanStep| {
            matches!(step.action, Action::StoreLink(instance, LinkFault::Silent, _) if instance == release.cut)
                || matches!(step.action, Action::Path(Scope::Peers(instance), PathFault::Silent, _) if instance == release.cut)
        };
        let lasts = |step: &&PlanStep| {
            step.at < release.from && step.at + step.action.duration() >= release.until
        };
        assert_eq!(steps.iter().filter(silent).filter(lasts).count(), 2);
    }
}

// Guards against runs in which hardly any take-up is passed on, as no instance is cut off from all
// targets for most of the time.
#[test]
fn an_instance_is_cut_off_for_most_of_the_time_with_faults() {
    for seed in (0..100).filter(|seed| !plan::is_planned_only(*seed)) {
        let (steps, _) = draw(seed);
        let tenths = (plan::WARM_UP.as_millis() as u64 / 100)..140;
        let total = tenths.clone().count();
        let is_cut =
            |tenth: &u64| !plan::cut_off(&steps, Duration::from_millis(tenth * 100)).is_empty();
        let cut = tenths.filter(is_cut).count();
        assert!(cut * 2 > total, "seed {seed}: {cut} of {total}");
    }
}

#[test]
fn most_streams_are_taken_up_at_the_preferred_instances() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let [cut, blind, other] = [1, 2, 3].map(|port| Some(SocketAddr::from(([127, 0, 0, 1], port))));
    let mut aims = Aims::default();
    assert_eq!(aims.choose(other, &mut rng), other);
    aims.cut.extend(cut);
    aims.blind.extend(blind);
    aims.is_releasing = true;
    let mut others = 0;
    for number in 0..1_000 {
        let front = aims.choose(other, &mut rng);
        others += u64::from(front == other);
        aims.count(front, number % 2 == 0);
    }
    let TakeUpFigures {
        sent,
        odd,
        at_cut,
        at_blind,
        at_release,
    } = aims.figures;
    assert_eq!((sent, odd, at_release), (1_000, 500, at_blind));
    assert_eq!(at_cut + at_blind + others, sent);
    assert!(
        at_cut > 500 && at_blind > 200 && others > 10,
        "{:?}",
        aims.figures
    );
}
