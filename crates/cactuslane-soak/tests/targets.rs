//! Targets that run as processes hand over prompts and deviate as they are told.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use cactuslane_platform_standin::process::{Line, Mood, Serving, Spec, Step, Trouble};
use cactuslane_platform_standin::script::{FORMS_PREFIX, Script, event_count, has_ids};
use cactuslane_platform_standin::{self as standin, Fault, Store, TargetKind};
use cactuslane_soak::plan::{self, Action, ProcessFault, TargetFault};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;
use yare::parameterized;

/// Id of all requests.
const REQUEST: &str = "r1";

/// A target within the test, with its log.
struct Target {
    /// The target.
    serving: Serving,
    /// Path of the log.
    log: PathBuf,
}

impl Target {
    /// Starts a target whose log has a name.
    async fn bind(name: &str, kind: TargetKind) -> Self {
        let log = format!("cactuslane-target-{name}-{}", std::process::id());
        let log = std::env::temp_dir().join(log);
        let spec = Spec {
            id: name.to_owned(),
            kind,
            process: 1,
            seed: 1,
            copies: false,
        };
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let serving = Serving::bind(spec, free, &log).await;
        let serving = serving.expect("a port is free");
        Self { serving, log }
    }

    /// Lets all requests from now on meet a deviation.
    fn set_trouble(&self, trouble: Trouble) {
        let percent = 100;
        self.serving.set_mood(Some(Mood { trouble, percent }));
    }

    /// Sends a request with header fields, and returns the answer until it contains a text or its
    /// connection ends.
    async fn ask(&self, fields: &str, until: &str) -> String {
        ask(self.serving.address, fields, until).await
    }

    /// Computes a prompt and returns the header field by which another target fetches it.
    async fn compute(&self) -> String {
        let answer = self.ask("x-serving-stage: prefill\r\n", "}").await;
        let (_, rest) = answer.split_once("\"kv_handle\":\"").expect("a handle");
        let (handle, _) = rest.split_once('"').expect("the end of the handle");
        format!("x-kv-source: {}/{handle}\r\n", self.serving.address)
    }

    /// Returns what the target logged.
    fn steps(&self) -> Vec<Step> {
        let text = std::fs::read_to_string(&self.log).expect("the log can be read");
        let line = |line| serde_json::from_str::<Line>(line).expect("it is a line of the log");
        text.lines().map(|text| line(text).step).collect()
    }
}

/// Sends a request with header fields to an address, and returns the answer until it contains a text
/// or its connection ends.
async fn ask(address: SocketAddr, fields: &str, until: &str) -> String {
    let connected = TcpStream::connect(address).await;
    let mut stream = connected.expect("the target listens");
    let text = format!(
        "POST /a/1 HTTP/1.1\r\nhost: a\r\nx-request-id: {REQUEST}\r\n{fields}content-length: \
         0\r\n\r\n"
    );
    let sent = stream.write_all(text.as_bytes()).await;
    sent.expect("the request is sent");
    let mut answer = String::new();
    let mut block = [0; 4096];
    while !answer.contains(until) {
        let Ok(count @ 1..) = stream.read(&mut block).await else {
            break;
        };
        answer.push_str(std::str::from_utf8(&block[..count]).expect("the answer is text"));
    }
    answer
}

/// Returns the id line of the last event of all streams.
fn last_id() -> String {
    format!("id: {}\n", event_count(REQUEST))
}

impl Drop for Target {
    fn drop(&mut self) {
        // The folder is that of temporary files.
        let _ = std::fs::remove_file(&self.log);
    }
}

#[tokio::test]
async fn a_computed_prompt_is_handed_over_once() {
    let prefill = Target::bind("handed-p", TargetKind::Prefill).await;
    let decode = Target::bind("handed-d", TargetKind::Decode).await;
    let source = prefill.compute().await;
    let first = decode.ask(&source, &last_id()).await;
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    let second = decode.ask(&source, "{}").await;
    assert!(second.starts_with("HTTP/1.1 503"), "{second}");
    assert!(second.contains("x-not-executed: 1"), "{second}");
    let steps = decode.steps();
    let began = |step: &&Step| matches!(step, Step::Began { .. });
    assert_eq!(steps.iter().filter(began).count(), 1, "{steps:?}");
    let steps = [Step::Kept, Step::Fetched(true), Step::Fetched(false)];
    assert_eq!(prefill.steps(), steps);
    let own = decode.ask("", &last_id()).await;
    assert!(own.starts_with("HTTP/1.1 200"), "{own}");
}

#[tokio::test]
async fn a_prompt_that_lapsed_or_whose_target_is_gone_is_not_run() {
    let prefill = Target::bind("lapsed-p", TargetKind::Prefill).await;
    let decode = Target::bind("lapsed-d", TargetKind::Decode).await;
    let kept = prefill.compute().await;
    prefill.set_trouble(Trouble::Lapse);
    let lapsed = prefill.compute().await;
    let answer = decode.ask(&lapsed, "{}").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    drop(prefill);
    let answer = decode.ask(&kept, "{}").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(decode.steps().is_empty());
}

#[parameterized(
    errors = { Trouble::Errors, "{}", "HTTP/1.1 500" },
    hang = { Trouble::Hang, "", "" },
    reset = { Trouble::Reset, "never", "" },
    mute = { Trouble::Mute, "\r\n\r\n", "HTTP/1.1 200" },
    breaks = { Trouble::Break, "never", "HTTP/1.1 200" },
)]
#[test_macro(tokio::test)]
async fn a_target_in_trouble_gives_its_answer_up(trouble: Trouble, until: &str, beginning: &str) {
    let target = Target::bind(&format!("trouble-{trouble:?}"), TargetKind::Decode).await;
    target.set_trouble(trouble);
    let answer = target.ask("", until).await;
    assert!(answer.starts_with(beginning), "{answer}");
    while !target.steps().contains(&Step::Broken) {
        sleep(Duration::from_millis(10)).await;
    }
    assert!(!target.steps().contains(&Step::Ended));
    target.serving.set_mood(None);
    assert!(target.ask("", &last_id()).await.contains(&last_id()));
    assert!(target.steps().contains(&Step::Ended));
}

#[tokio::test]
async fn a_target_that_sheds_does_not_run_and_one_that_mistakes_the_request_makes_nothing() {
    let target = Target::bind("shed", TargetKind::Decode).await;
    target.set_trouble(Trouble::Shed);
    let answer = target.ask("", "{}").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("x-not-executed: 1"), "{answer}");
    assert!(target.steps().is_empty());
    target.set_trouble(Trouble::Cross);
    let answer = target.ask("", &last_id()).await;
    assert!(answer.contains("x-request-id: another\r\n"), "{answer}");
    let steps = target.steps();
    assert!(matches!(steps[..], [Step::Began { .. }]), "{steps:?}");
}

#[test]
fn the_runs_of_a_stream_are_of_one_length_and_of_texts_of_their_own() {
    let mut counts = std::collections::BTreeSet::new();
    for number in 0..200 {
        let began = format!("s1-{number}");
        let (first, second) = (Script::of_run("a", &began), Script::of_run("b", &began));
        assert_eq!(first.count, second.count);
        assert!((1..=first.count).all(|id| first.event(id) != second.event(id)));
        counts.insert(first.count);
    }
    assert!(counts.len() > 20, "{counts:?}");
}

#[test]
fn disruptions_of_targets_depend_on_the_seed_alone_and_spare_planned_changes() {
    let length = Duration::from_secs(30);
    let mut count = 0;
    for seed in 0..40 {
        let draw = || {
            let mut steps = plan::draw_successions(seed, length, 4..9, None);
            steps.extend(plan::draw_moods(seed, length, 9, 7));
            steps
        };
        let steps = draw();
        assert_eq!(steps, draw());
        assert_eq!(steps.is_empty(), plan::is_planned_only(seed), "seed {seed}");
        count += steps.len();
        for step in steps {
            let is_late = step.at + step.action.duration() > length.mul_f64(0.7);
            assert!(!is_late, "{step:?}");
            assert!(!step.action.is_planned());
            assert!(matches!(
                step.action,
                Action::Process(4..9, ..) | Action::Mood(0..9, ..)
            ));
        }
    }
    assert!(count > 1_000);
}

#[test]
fn targets_start_again_with_another_version_only_where_entries_may_be_late() {
    let length = Duration::from_secs(30);
    for delay in [None, Some(Duration::from_millis(800))] {
        let mut upgrades = 0;
        for seed in 0..40 {
            for step in plan::draw_successions(seed, length, 4..9, delay) {
                if let Action::Process(_, ProcessFault::Upgrade(late), _) = step.action {
                    assert!(Some(late) <= delay, "{step:?}");
                    upgrades += 1;
                }
            }
        }
        assert_eq!(upgrades > 0, delay.is_some(), "{upgrades}");
    }
}

// Guards against a rig in whose runs no stream ends in due form before its last event.
#[tokio::test]
async fn a_late_target_ends_a_stream_in_due_form_at_the_deadline_and_made_no_whole_one() {
    let store = Store::bind().await.expect("a port is free");
    let target = standin::Target::bind("late", TargetKind::Decode, &store).await;
    let target = target.expect("a port is free");
    target.set_own_answers();
    target.inject_fault(Fault::Late);
    let fields = "x-deadline-ms: 400\r\n";
    let answer = ask(target.address, fields, "\r\n0\r\n\r\n").await;
    assert!(answer.contains("id: 1\n"), "{answer}");
    assert!(!answer.contains(&last_id()), "{answer}");
    assert!(answer.ends_with("\r\n0\r\n\r\n"), "{answer}");
    let run = target.made().pop().expect("it ran");
    assert!(run.stopped && !run.ended, "{run:?}");
    target.inject_fault(Fault::Late);
    target.inject_fault(Fault::Fail);
    target.remove_faults(Fault::Late);
    let answer = ask(target.address, fields, "{}").await;
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
    let answer = ask(target.address, fields, "\r\n0\r\n\r\n").await;
    assert!(answer.contains(&last_id()), "{answer}");
}

#[test]
fn some_streams_of_callers_that_want_it_are_long_or_have_no_ids() {
    let (mut long, mut unnumbered) = (0, 0);
    for number in 0..400 {
        assert!(event_count(&format!("s1-{number}")) <= 40);
        assert!(has_ids(&format!("s1-{number}")));
        let began = format!("{FORMS_PREFIX}1-{number}");
        let script = Script::of_run("a", &began);
        long += u32::from(script.count > 40);
        let first = script.event(1);
        assert_eq!(first.starts_with("id: 1\n"), has_ids(&began));
        unnumbered += u32::from(!has_ids(&began));
        assert_ne!(first, Script::of_run("b", &began).event(1));
    }
    assert!(long > 40 && unnumbered > 20, "{long} {unnumbered}");
}

#[test]
fn releases_under_ids_and_late_ends_depend_on_the_seed_alone_and_end_before_the_recovery() {
    let length = Duration::from_secs(20);
    let (mut upgrades, mut late_ends) = (0, 0);
    for seed in 0..40 {
        let draw = || {
            let mut steps = plan::draw_releases(seed, length, &[1, 4], plan::ENTRY_DELAY);
            steps.extend(plan::draw_late_ends(seed, length, &[0, 2]));
            steps
        };
        let steps = draw();
        assert_eq!(steps, draw());
        assert_eq!(steps.is_empty(), plan::is_planned_only(seed), "seed {seed}");
        for step in steps {
            let mut end = step.at + step.action.duration();
            match step.action {
                Action::Process(1 | 4, ProcessFault::Upgrade(late), _) => {
                    assert!(late <= plan::ENTRY_DELAY);
                    end += late;
                    upgrades += 1;
                }
                Action::Target(0 | 2, TargetFault::Late, 1..) => late_ends += 1,
                other => panic!("{other:?}"),
            }
            assert!(end <= length.mul_f64(0.7), "{end:?}");
        }
    }
    assert!(upgrades > 200 && late_ends > 100, "{upgrades} {late_ends}");
}
