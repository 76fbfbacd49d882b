//! Answers that are cut after each of their bytes, in the head and in the body.

use std::time::Duration;

use cactuslane_place::{Load, ReachReport};
use cactuslane_platform::engine;
use cactuslane_platform_standin::link::Cut as LinkCut;
use cactuslane_platform_standin::target::register;
use cactuslane_platform_standin::{Target, TargetKind, caller};
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use yare::parameterized;

use crate::cut::Links;
use crate::cut_target::{Answers, Cut, CutTarget, Ending, Framing};
use crate::deployment::{
    CallerAnswer, Deployment, all_events, deploy, read_answer, run_test, wait_until,
};

/// Id of the target that cuts its answers.
const CUTTING: &str = "i-cut";
/// Name of the instance that cuts its answers.
const OTHER: &str = "front-2";
/// Body of a plain answer.
const PLAIN: &str = "a whole answer";
/// Body of a stream.
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";
/// Answer of an engine that has computed a prompt.
const COMPUTED: &str = r#"{"kv_handle":"h-cut","tokens":9,"version":1}"#;

/// A kind of requests whose answers are cut.
#[derive(Clone, Copy, Debug)]
struct Route {
    /// Prefix of its paths.
    prefix: &'static str,
    /// Kind of the targets that serve it.
    kind: TargetKind,
    /// Whole body of an answer.
    body: &'static str,
    /// Whether they are passed on to another instance, which gives the cut answers.
    is_passed: bool,
}

const LOOKUP: Route = Route {
    prefix: "/lookup",
    kind: TargetKind::Plain,
    body: PLAIN,
    is_passed: false,
};
const CORRECTION: Route = Route {
    prefix: "/correction",
    ..LOOKUP
};
const SUMMARY: Route = Route {
    prefix: "/summary",
    kind: TargetKind::Decode,
    body: EVENTS,
    is_passed: false,
};
const REPORT: Route = Route {
    prefix: "/report",
    ..SUMMARY
};

const PROMPT: Route = Route {
    kind: TargetKind::Prefill,
    body: COMPUTED,
    ..REPORT
};

impl Route {
    /// Returns the answers of targets with a version of the protocol and a framing.
    const fn answers(self, version: &'static str, framing: Framing) -> Answers {
        Answers {
            version,
            framing,
            body: self.body,
            beginning: "",
        }
    }
}

/// Registers a target in place of those that serve a kind of requests.
async fn replace_targets(deployment: &Deployment, route: Route, target: &CutTarget) {
    let gateway = &deployment.running.gateway;
    let (store, address) = (&deployment.store, target.address);
    register(store, CUTTING, route.kind, 1, address, "ready");
    let replaced: Vec<&Target> = match route.kind {
        TargetKind::Plain => deployment.workers.iter().collect(),
        TargetKind::Prefill => vec![&deployment.prefill],
        TargetKind::Decode => deployment.engines.iter().collect(),
    };
    for target in &replaced {
        target.register(store, "draining");
    }
    let gone = |target: &&Target| gateway.target(&target.id).is_none();
    wait_until(|| gateway.target(CUTTING).is_some() && replaced.iter().all(gone)).await;
}

/// Sends a request without shared parts of a prompt and reads the answer.
async fn ask(deployment: &Deployment, path: &str, id: &str) -> CallerAnswer {
    let request = caller::request_with_parts(deployment.front(), path, id, &[]);
    let answer = deployment.client.send(request).await;
    read_answer(answer.expect("the request is answered")).await
}

/// Asks for an answer that is cut after each of its bytes with a FIN, and before its last one with a
/// RST, on new connections and on such that have brought a whole answer, and asserts that a caller is
/// told of it.
async fn cut_everywhere(
    deployment: &Deployment,
    target: &CutTarget,
    route: Route,
    answers: &Answers,
) {
    let length = answers.text("new-Fin-0000-00").len();
    for (series, ending) in [
        ("new", Ending::Fin),
        ("new", Ending::Rst),
        ("old", Ending::Fin),
        ("old", Ending::Rst),
    ] {
        if series == "old" && route.is_passed {
            // Each request that is passed on has a connection of its own.
            continue;
        }
        // Whether a RST overtakes the last bytes is up to the system.
        let last = length - usize::from(ending == Ending::Rst);
        for at in 0..=last {
            let cut = Cut { at, ending };
            let path = format!("{}/{series}/{}", route.prefix, cut.segment());
            for play in 0.. {
                if series == "old" {
                    let id = format!("whole-{at:04}-{play:02}");
                    let path = format!("{}/whole/{at}", route.prefix);
                    let first = ask(deployment, &path, &id).await;
                    assert!(first.complete && first.body == route.body, "{first:?}");
                }
                let id = format!("{series}-{ending:?}-{at:04}-{play:02}");
                let answer = ask(deployment, &path, &id).await;
                check(answers, route, cut, &id, &answer).unwrap();
                let arrivals = target.arrivals(&id);
                assert!(!arrivals.is_empty(), "{id} was not sent: {answer:?}");
                // A connection is not kept if it is not ready again when the next request comes.
                if series == "new" || arrivals[0] > 0 {
                    break;
                }
            }
        }
    }
}

/// Checks that a caller got a whole answer, or one that does not pass for a whole one.
///
/// # Errors
///
/// Returns what the caller got otherwise.
fn check(
    answers: &Answers,
    route: Route,
    cut: Cut,
    id: &str,
    answer: &CallerAnswer,
) -> Result<(), String> {
    let (text, head) = (answers.text(id), answers.head(id));
    let sent = text.get(head.len()..cut.at).unwrap_or_default();
    // The end of a connection is the end of a body that has no other, if its target lives on.
    // Instances always state where their answers end.
    let is_ended = answers.framing == Framing::Connection && cut.at >= head.len();
    let is_stream = route.kind == TargetKind::Decode;
    let (is_whole, body) = if is_ended && cut.ending == Ending::Fin && !route.is_passed {
        let at_event = !sent.is_empty() && sent.ends_with("\n\n");
        (
            !is_stream || at_event,
            format!("{}{sent}", answers.beginning),
        )
    } else {
        let is_framed = answers.framing != Framing::Connection;
        (is_framed && cut.at == text.len(), route.body.to_owned())
    };
    let passes = answer.complete && answer.status < 300;
    let is_right = if passes {
        answer.body == body
    } else {
        !is_stream || answer.status >= 300 || route.body.starts_with(&answer.body)
    };
    if passes == is_whole && is_right {
        return Ok(());
    }
    Err(format!("{} {answers:?} {cut:?}: {answer:?}", route.prefix))
}

/// Guards against an answer that breaks off at some byte and reaches its caller as a success.
#[parameterized(
    lookup_length = { LOOKUP, "1.1", Framing::Length },
    lookup_chunks = { LOOKUP, "1.1", Framing::Chunks },
    lookup_connection = { LOOKUP, "1.1", Framing::Connection },
    lookup_old_length = { LOOKUP, "1.0", Framing::Length },
    lookup_old_connection = { LOOKUP, "1.0", Framing::Connection },
    correction_length = { CORRECTION, "1.1", Framing::Length },
    correction_chunks = { CORRECTION, "1.1", Framing::Chunks },
    correction_connection = { CORRECTION, "1.1", Framing::Connection },
    correction_old_connection = { CORRECTION, "1.0", Framing::Connection },
    summary_length = { SUMMARY, "1.1", Framing::Length },
    summary_chunks = { SUMMARY, "1.1", Framing::Chunks },
    summary_connection = { SUMMARY, "1.1", Framing::Connection },
    report_length = { REPORT, "1.1", Framing::Length },
    report_chunks = { REPORT, "1.1", Framing::Chunks },
    report_connection = { REPORT, "1.1", Framing::Connection },
    report_old_length = { REPORT, "1.0", Framing::Length },
    report_old_connection = { REPORT, "1.0", Framing::Connection },
)]
fn an_answer_that_breaks_off_at_any_byte_is_no_success(
    route: Route,
    version: &'static str,
    framing: Framing,
) {
    run_test(async move {
        let answers = route.answers(version, framing);
        let deployment = deploy().await;
        let target = CutTarget::bind(CUTTING, answers).await;
        replace_targets(&deployment, route, &target).await;
        cut_everywhere(&deployment, &target, route, &answers).await;
    });
}

/// Guards against a stream that breaks off once more at some byte after it was resumed, and reaches its
/// caller as whole or with pieces that are missing or come twice.
#[parameterized(
    length = { "1.1", Framing::Length },
    chunks = { "1.1", Framing::Chunks },
    connection = { "1.1", Framing::Connection },
    old_connection = { "1.0", Framing::Connection },
)]
fn a_resumed_stream_that_breaks_off_at_any_byte_is_not_whole(
    version: &'static str,
    framing: Framing,
) {
    run_test(async move {
        let (beginning, body) = EVENTS.split_at(EVENTS.find("id: 2").unwrap());
        let answers = Answers {
            body,
            beginning,
            ..SUMMARY.answers(version, framing)
        };
        let deployment = deploy().await;
        let target = CutTarget::bind(CUTTING, answers).await;
        replace_targets(&deployment, SUMMARY, &target).await;
        let length = answers.text("Fin-0000-00").len();
        for ending in [Ending::Fin, Ending::Rst] {
            // Whether a RST overtakes the last bytes is up to the system.
            let last = length - usize::from(ending == Ending::Rst);
            for at in 0..=last {
                let cut = Cut { at, ending };
                let path = format!("/summary/{}", cut.segment());
                for play in 0.. {
                    let id = format!("{ending:?}-{at:04}-{play:02}");
                    let answer = ask(&deployment, &path, &id).await;
                    // The stream is not resumed while the retry budget is used up.
                    if target.arrivals(&id).is_empty() {
                        assert!(!answer.complete, "{answer:?}");
                        continue;
                    }
                    check(&answers, SUMMARY, cut, &id, &answer).unwrap();
                    break;
                }
            }
        }
    });
}

/// Guards against an answer of a process that ends at some byte and reaches its caller as a success.
#[parameterized(
    lookup_length = { LOOKUP, "1.1", Framing::Length },
    lookup_chunks = { LOOKUP, "1.1", Framing::Chunks },
    lookup_connection = { LOOKUP, "1.1", Framing::Connection },
    lookup_old_connection = { LOOKUP, "1.0", Framing::Connection },
    correction_connection = { CORRECTION, "1.1", Framing::Connection },
    summary_length = { SUMMARY, "1.1", Framing::Length },
    summary_chunks = { SUMMARY, "1.1", Framing::Chunks },
    summary_connection = { SUMMARY, "1.1", Framing::Connection },
    report_connection = { REPORT, "1.1", Framing::Connection },
    report_old_connection = { REPORT, "1.0", Framing::Connection },
)]
fn an_answer_of_a_process_that_ends_at_any_byte_is_no_success(
    route: Route,
    version: &'static str,
    framing: Framing,
) {
    run_test(async move {
        let answers = route.answers(version, framing);
        let deployment = deploy().await;
        let id = "death-0000";
        let (first, last) = (answers.head(id).len() - 1, answers.text(id).len());
        let mut passed = Vec::new();
        let registered = CutTarget::bind(CUTTING, answers).await;
        replace_targets(&deployment, route, &registered).await;
        for at in first..=last {
            // The next process takes the place of the one that has ended.
            let target = CutTarget::bind(CUTTING, answers).await;
            let pool = &deployment.running.gateway.pool;
            pool.use_proxy(registered.address, target.address);
            let ending = Ending::Death;
            let cut = Cut { at, ending };
            let id = format!("death-{at:04}");
            let path = format!("{}/{}", route.prefix, cut.segment());
            let answer = ask(&deployment, &path, &id).await;
            assert_eq!(target.arrivals(&id).len(), 1, "{id}: {answer:?}");
            if let Err(wrong) = check(&answers, route, cut, &id, &answer) {
                passed.push(wrong);
            }
        }
        assert!(
            passed.is_empty(),
            "{} of {}: {}",
            passed.len(),
            last + 1 - first,
            passed[0]
        );
    });
}

/// Guards against an answer of another instance that breaks off at some byte and reaches its caller as
/// a success.
#[parameterized(
    lookup_length = { LOOKUP, "1.1", Framing::Length },
    lookup_connection = { LOOKUP, "1.1", Framing::Connection },
    correction_chunks = { CORRECTION, "1.1", Framing::Chunks },
    correction_connection = { CORRECTION, "1.1", Framing::Connection },
    correction_old_connection = { CORRECTION, "1.0", Framing::Connection },
    summary_connection = { SUMMARY, "1.1", Framing::Connection },
    report_length = { REPORT, "1.1", Framing::Length },
    report_chunks = { REPORT, "1.1", Framing::Chunks },
    report_connection = { REPORT, "1.1", Framing::Connection },
)]
fn an_answer_of_another_instance_that_breaks_off_at_any_byte_is_no_success(
    route: Route,
    version: &'static str,
    framing: Framing,
) {
    run_test(async move {
        let route = Route {
            is_passed: true,
            ..route
        };
        let answers = route.answers(version, framing);
        let deployment = deploy().await;
        let instance = CutTarget::bind(OTHER, answers).await;
        let _reports = replace_instances(&deployment, &instance).await;
        cut_everywhere(&deployment, &instance, route, &answers).await;
    });
}

/// Cuts the instance off from all targets, so that it passes requests on to another one, and starts a
/// task that reports the other one's reach.
async fn replace_instances(deployment: &Deployment, other: &CutTarget) -> AbortOnDrop {
    let links = Links::lay(deployment, &deployment.running).await;
    links.cut(&deployment.running, LinkCut::Reset);
    let entry = json!({
        "instance": OTHER, "front": "127.0.0.1:9", "peer": other.address, "domain": "a",
        "leaving": false, "started": 1, "compares": true,
    });
    let key = format!("cactuslane/instances/{OTHER}");
    deployment.store.write(&key, &entry);
    let gateway = deployment.running.gateway.clone();
    let report = move || {
        let now = gateway.now();
        gateway.members().record_message(OTHER, now);
        let report = ReachReport {
            heard_age: Some(0),
            ..ReachReport::default()
        };
        gateway.pool.reach().apply_report(OTHER, report, now);
    };
    let reporting = tokio::spawn(async move {
        loop {
            report();
            sleep(Duration::from_millis(50)).await;
        }
    });
    let gateway = &deployment.running.gateway;
    wait_until(|| {
        let now = gateway.now();
        gateway.members().reachable_address(OTHER, now).is_some()
    })
    .await;
    let _ = ask(deployment, "/lookup/whole/first", "first").await;
    wait_until(|| gateway.pool.reach().is_cut()).await;
    AbortOnDrop(reporting)
}

/// A task that ends when its handle is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Guards against a prompt that is taken for computed though the engine's answer broke off, and against
/// a stream that fails with it.
#[parameterized(
    length = { "1.1", Framing::Length, Ending::Fin },
    length_reset = { "1.1", Framing::Length, Ending::Rst },
    chunks = { "1.1", Framing::Chunks, Ending::Fin },
    connection = { "1.1", Framing::Connection, Ending::Fin },
    old_connection = { "1.0", Framing::Connection, Ending::Fin },
)]
fn a_prompt_whose_answer_breaks_off_is_computed_elsewhere(
    version: &'static str,
    framing: Framing,
    ending: Ending,
) {
    run_test(async move {
        let answers = PROMPT.answers(version, framing);
        let deployment = deploy().await;
        let target = CutTarget::bind(CUTTING, answers).await;
        replace_targets(&deployment, PROMPT, &target).await;
        // With load on all decode engines the prompt is computed on the prefill engine.
        for engine in &deployment.engines {
            let busy = Load {
                running: 25,
                ..Load::default()
            };
            let mut placer = deployment.running.gateway.placer();
            placer.load_view.add(&engine.id, busy);
        }
        let (head, length) = (
            answers.head("cut-0000").len(),
            answers.text("cut-0000").len(),
        );
        let cuts = [
            0,
            9,
            17,
            20,
            head - 1,
            head,
            head + 1,
            head + 16,
            length - 1,
        ];
        for at in cuts {
            let before = sources(&deployment);
            // The engine gets no prompts for a time after a failure.
            while sources(&deployment) == before {
                let whole = ask(&deployment, "/report/whole", "whole").await;
                assert_eq!((whole.complete, whole.body), (true, all_events()));
            }
            let before = sources(&deployment);
            let path = format!("/report/{}", Cut { at, ending }.segment());
            let id = format!("cut-{at:04}");
            let answer = ask(&deployment, &path, &id).await;
            assert_eq!((answer.complete, answer.body), (true, all_events()));
            assert_eq!(target.arrivals(&id).len(), 1, "{id}");
            assert_eq!(sources(&deployment), before, "{id}");
        }
    });
}

/// Returns the number of requests that told a decode engine from where to fetch a computed prompt.
fn sources(deployment: &Deployment) -> usize {
    let headers = deployment.engines.iter().flat_map(Target::headers);
    let named = headers.filter(|headers| headers.contains_key("x-kv-source"));
    named.count()
}

/// Guards against an answer to a call that is cut at some byte and is taken for a whole one.
#[test]
fn an_answer_to_a_call_that_is_cut_at_any_byte_is_not_valid() {
    let report = br#"{"stage":"decode","busy":false,"sequence":12,"models":[]}"#;
    let parts = br#"{"epoch":1,"next":1,"held":[["","a1",800,"m"],["","a2",660,"m"]]}"#;
    for at in 0..report.len() {
        assert!(engine::decode_report(&report[..at]).is_err(), "report {at}");
    }
    for at in 0..parts.len() {
        assert!(engine::decode_parts(&parts[..at]).is_err(), "parts {at}");
    }
    for at in 0..COMPUTED.len() {
        let cut = &COMPUTED.as_bytes()[..at];
        assert!(engine::decode_computed(cut).is_err(), "computed {at}");
    }
    assert!(engine::decode_report(report).is_ok());
    assert!(engine::decode_parts(parts).is_ok());
    assert!(engine::decode_computed(COMPUTED.as_bytes()).is_ok());
}
