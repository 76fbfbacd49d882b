//! One run: a deployment of instances and stand-ins on one machine, with faults and a load.

use std::io;
use std::path::Path;
use std::sync::PoisonError;
use std::time::Duration;

use cactuslane_platform_standin::TargetKind;
use tokio::time::{Instant, sleep};

use crate::check::{self, RECOVERY_TIME, recovery};
use crate::customers::KEYS;
use crate::deployment::Deployment;
use crate::figures::{Figures, StreamFigures};
use crate::findings::{self, RunRecords};
use crate::layout::{self, Layout};
use crate::load::{self, LoadSpec, RequestRecord};
use crate::made::Made;
use crate::options::Options;
use crate::plan::{self, Behind, PlanStep, Release};
use crate::report::Report;
use crate::workers::KILLED_TARGETS;

/// Time between the end of the load and reading the runs of the targets, in which runs that are
/// still under way end.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// `lease_ms` of the stand-in's settings, within which no holder of the duties acts between two
/// calls of another.
const HOLDER_LEASE: Duration = Duration::from_secs(3);

/// Performs one run and returns its report.
///
/// # Errors
///
/// Returns an error if the folder cannot be created, the deployment cannot be started, an instance
/// cannot be restarted, its settings or a finding cannot be written or the load generator panics.
pub async fn run(options: &Options) -> io::Result<Report> {
    std::fs::create_dir_all(&options.folder)?;
    remove_records(&options.folder)?;
    let released = released(options);
    let (seed, length) = (options.seed, options.length);
    let release = Release::draw(seed, length, options.instances, &released);
    let release = release.as_ref();
    let mut deployment = Deployment::start(options, release).await?;
    let behind = draw_behind(options, deployment.probes.targets(), release);
    let steps = draw_steps(options, &deployment, (release, behind.as_ref()), &released);
    let spec = LoadSpec {
        length: options.length,
        rate: options.rate,
        bursts: vec![(options.length.mul_f64(0.4), Duration::from_secs(3), 3.0)],
        kinds: layout::kinds(options.shape.as_ref()),
        seed: options.seed,
        keys: KEYS.map(|(key, _)| key.to_owned()).to_vec(),
        unusual: options.unusual,
    };
    let began = Instant::now();
    let (addresses, aims) = (deployment.addresses.clone(), deployment.aims.clone());
    let callers = {
        let spec = spec.clone();
        tokio::spawn(async move { load::send(&spec, &addresses, &aims).await })
    };
    deployment.play(&steps, release, (began, length)).await?;
    let mut records = callers.await.map_err(io::Error::other)?;
    let figures = Figures::from_records(&records, &spec, began);
    if options.timed {
        records.extend(send_after_recovery(&mut deployment, &spec).await?);
    }
    sleep(SETTLE_TIME).await;
    let mut stopped = 0;
    for target in &deployment.targets {
        let version = target.version();
        let observations = &mut deployment.observations;
        for (request, runs) in target.run_times() {
            observations.runs.entry(request).or_default().extend(runs);
        }
        for run in target.made() {
            stopped += u64::from(run.stopped);
            let of_request = observations.made.entry(run.request.clone()).or_default();
            of_request.push(Made::of_run(&target.id, &version, run));
        }
    }
    let usage = deployment.read_usage();
    let processes = deployment.workers.finish(&mut deployment.observations)?;
    deployment
        .probes
        .finish(&mut deployment.observations)
        .await?;
    deployment.observations.reports = deployment.platform.windows();
    let lease = if options.timed {
        HOLDER_LEASE
    } else {
        Duration::ZERO
    };
    deployment.observations.crossings = deployment.platform.violations(lease);
    let (violations, check_counts) = check::check(
        &records,
        &spec.kinds,
        &deployment.observations,
        options.timed,
    );
    let paths = deployment.path_figures(&steps)?;
    let found = RunRecords {
        options,
        began,
        steps: &steps,
        records: &records,
        observations: &deployment.observations,
    };
    let findings = findings::write(&found, &violations)?;
    let streams = StreamFigures {
        stopped,
        ..StreamFigures::of(&deployment.observations.made)
    };
    let aims = deployment.aims.lock();
    let take_ups = aims.unwrap_or_else(PoisonError::into_inner).figures;
    Ok(Report {
        seed: options.seed,
        length: options.length,
        instances: options.instances,
        steps,
        stalls: deployment.stalls,
        violations,
        findings,
        check_counts,
        processes,
        streams,
        usage,
        paths,
        releases: u64::from(release.is_some()),
        unread_changes: u64::from(behind.is_some()),
        take_ups,
        figures,
    })
}

/// Sends requests once [`RECOVERY_TIME`] has passed since the last disruption, so that enough are judged
/// by whether they are served; sends none if there was no disruption.
async fn send_after_recovery(
    deployment: &mut Deployment,
    spec: &LoadSpec,
) -> io::Result<Vec<RequestRecord>> {
    let Some(end) = deployment.disruption_end() else {
        return Ok(Vec::new());
    };
    let now = Instant::now();
    let wait = (end + RECOVERY_TIME).saturating_duration_since(now);
    deployment.play(&[], None, (now, wait)).await?;
    let spec = recovery::load_after(spec);
    let (length, addresses) = (spec.length, deployment.addresses.clone());
    let aims = deployment.aims.clone();
    let callers = tokio::spawn(async move { load::send(&spec, &addresses, &aims).await });
    deployment.play(&[], None, (Instant::now(), length)).await?;
    callers.await.map_err(io::Error::other)
}

/// Returns the numbers of the targets that are processes and are released together: those of engines
/// in the shape of a deployment, whose paths have links.
fn released(options: &Options) -> Vec<usize> {
    if options.shape.is_none() || !options.links {
        return Vec::new();
    }
    let processes = Layout::of(options).processes;
    let released = processes.iter().enumerate();
    let released = released.filter(|(_, spec)| spec.kind != TargetKind::Plain);
    released.map(|(number, _)| number).collect()
}

/// Draws the change that an instance does not read, on the shape of a deployment whose paths have
/// links and whose configuration is probed.
fn draw_behind(options: &Options, probed: usize, release: Option<&Release>) -> Option<Behind> {
    if options.shape.is_none() || !options.links || probed == 0 {
        return None;
    }
    Behind::draw(options.seed, options.length, options.instances, release)
}

/// Draws the steps of a run, in the order of their times, with a release and an unread change;
/// `released` are the targets of the release.
fn draw_steps(
    options: &Options,
    deployment: &Deployment,
    (release, behind): (Option<&Release>, Option<&Behind>),
    released: &[usize],
) -> Vec<PlanStep> {
    let mut steps = plan::draw(
        options.seed,
        options.length,
        options.instances,
        deployment.targets.len(),
    );
    if options.target_processes {
        let (seed, length, targets) = (options.seed, options.length, deployment.workers.len());
        let (killed, prompts) = (KILLED_TARGETS.min(targets), deployment.workers.prompts());
        steps.extend(plan::draw_processes(seed, length, killed));
        steps.extend(plan::draw_losses(seed, length));
        let delay = options.entry_delay;
        steps.extend(plan::draw_successions(seed, length, killed..targets, delay));
        steps.extend(plan::draw_moods(seed, length, targets, prompts));
        if options.shape.is_some() {
            let layout = Layout::of(options);
            let delay = delay.unwrap_or(plan::ENTRY_DELAY);
            let streaming = layout::streaming(&layout.processes);
            steps.extend(plan::draw_releases(seed, length, &streaming, delay));
            let streaming = layout::streaming(&layout.tasks);
            steps.extend(plan::draw_late_ends(seed, length, &streaming));
        }
    }
    if options.links {
        let paths = plan::draw_paths(options.seed, options.length, options.instances);
        steps.extend(paths);
    }
    let silent = deployment.probes.targets();
    if silent > 0 {
        steps.extend(plan::draw_silences(options.seed, options.length, silent));
    }
    if options.links && options.shape.is_some() {
        let (seed, length) = (options.seed, options.length);
        let cuts = plan::draw_cuts(seed, length, options.instances, release);
        steps.extend(cuts);
    }
    if let Some(release) = release {
        release.join(&mut steps, released);
    }
    if let Some(behind) = behind {
        behind.join(&mut steps);
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Removes the logs of an earlier run with the same folder, whose request ids are the same.
fn remove_records(folder: &Path) -> io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let is_record = path
            .extension()
            .is_some_and(|end| end == "made" || end == "log");
        if is_record {
            std::fs::remove_file(path)?;
        }
    }
    Ok(())
}
