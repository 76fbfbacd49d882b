//! Tests of completions under engine faults, resumed and cancelled streams, malformed requests and
//! explanations of requests.

use std::time::Duration;

use cactuslane_demo::caller::{Caller, Response, completion_body, expected_text};
use cactuslane_demo::{Cluster, Options};
use cactuslane_standin::{Deployment, Fault, FaultKind, Faults};
use cactuslane_store::http::Client;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use yare::parameterized;

/// Number of tokens requested for a completion.
const TOKENS: u32 = 120;

/// Runs a test with the deployment of Cluj on a runtime with 3 threads, once all instances are
/// ready.
fn with_cluster<F: Future<Output = ()>>(pace: f64, test: impl FnOnce(Cluster) -> F) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(async {
        let options = Options {
            pace,
            ..Options::default()
        };
        let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
        let cluster = cluster.expect("it starts");
        assert!(cluster.wait_ready().await);
        test(cluster).await;
    });
}

/// Injects a fault into the next `count` completion requests that reach any engine.
fn fail_engines(cluster: &Cluster, kind: FaultKind, count: u32) {
    let (target, on) = ("*".to_owned(), "call".to_owned());
    cluster.faults.add(Fault {
        target,
        on,
        kind,
        after: 0,
        count,
        delay_ms: 0,
    });
}

/// Returns a caller of the entry instance with an index from 0.
fn caller(cluster: &Cluster, entry: usize) -> Caller {
    Caller::new(cluster.entries[&format!("entry-{}", entry + 1)].address())
}

/// Returns whether a response is complete and has the expected text for a prompt.
fn is_complete(response: &Response, prompt: &str, stream: bool) -> bool {
    let expected = expected_text(prompt, TOKENS);
    let text = if stream {
        response.streamed_text()
    } else {
        response.json()["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    response.status == 200 && response.complete && text == expected
}

/// After faults of two engine requests, the entry instance retries and the caller gets the complete
/// text: a stream that was cut off continues after the last token that was received.
#[parameterized(
    down = { FaultKind::Down, true },
    lost = { FaultKind::Lost, true },
    cut_stream = { FaultKind::Cut, true },
    cut_unstreamed = { FaultKind::Cut, false },
    crossed_stream = { FaultKind::Crossed, true },
    crossed_unstreamed = { FaultKind::Crossed, false },
    crashed = { FaultKind::Crash, true },
)]
fn a_response_is_complete_after_faults(kind: FaultKind, stream: bool) {
    with_cluster(50.0, |cluster| async move {
        fail_engines(&cluster, kind, 2);
        let model = cluster.deployment.model.0;
        let response = caller(&cluster, 0)
            .complete(model, "a long tally", TOKENS, stream)
            .await;
        assert!(
            is_complete(&response, "a long tally", stream),
            "{} {}",
            response.status,
            response.text()
        );
    });
}

/// If no engine can be reached, the response has the outcome `not-run` and the header
/// `retry-after`.
#[test]
fn an_unsent_request_is_reported_as_not_run() {
    with_cluster(50.0, |mut cluster| async move {
        let cluster = &mut cluster;
        cluster.engines.clear();
        let model = cluster.deployment.model.0;
        let response = caller(cluster, 0)
            .complete(model, "tally", TOKENS, false)
            .await;
        assert_eq!(
            response.header("cactuslane-outcome"),
            "not-run",
            "{}",
            response.text()
        );
        assert!(!response.header("retry-after").is_empty());
    });
}

/// If every engine request fails, the response has the outcome `unknown`, and a stream ends without
/// `[DONE]` and has no token that differs from the expected text.
#[parameterized(
    down = { FaultKind::Down },
    crossed = { FaultKind::Crossed },
    cut = { FaultKind::Cut },
)]
fn a_failed_request_is_reported_as_unknown(kind: FaultKind) {
    with_cluster(50.0, |cluster| async move {
        fail_engines(&cluster, kind, 10_000);
        let model = cluster.deployment.model.0;
        let response = caller(&cluster, 0)
            .complete(model, "tally", TOKENS, false)
            .await;
        assert_eq!(
            response.header("cactuslane-outcome"),
            "unknown",
            "{}",
            response.text()
        );
        let stream = caller(&cluster, 0)
            .complete(model, "tally", TOKENS, true)
            .await;
        assert!(!stream.text().contains("[DONE]"));
        let part = stream.streamed_text();
        assert!(expected_text("tally", TOKENS).starts_with(&part));
    });
}

/// Another entry instance continues a stream after the last event that the caller has, and refuses
/// a resume token that is forged or belongs to a request with another prompt.
#[test]
fn a_stream_resumes_at_another_entry() {
    with_cluster(20.0, |cluster| async move {
        let model = cluster.deployment.model.0;
        let first = caller(&cluster, 0);
        let whole = first.complete(model, "resume me", TOKENS, true).await;
        let token = whole.header("cactuslane-resume").to_owned();
        for seen in [0, 1, 50, TOKENS - 1, TOKENS] {
            let seen_text = seen.to_string();
            let headers = [
                ("cactuslane-resume", token.as_str()),
                ("last-event-id", &seen_text),
            ];
            let second = caller(&cluster, 3);
            let rest = second
                .complete_with(model, "resume me", TOKENS, true, &headers)
                .await;
            let expected = expected_text("resume me", TOKENS);
            let before = expected_text("resume me", seen);
            assert_eq!(format!("{before}{}", rest.streamed_text()), expected);
            assert!(rest.text().ends_with("[DONE]\n\n"));
        }
        let headers = [
            ("cactuslane-resume", token.as_str()),
            ("last-event-id", "3"),
        ];
        let other = caller(&cluster, 3)
            .complete_with(model, "another", TOKENS, true, &headers)
            .await;
        assert_eq!(
            (other.status, other.header("cactuslane-outcome")),
            (400, "not-run")
        );
        let forged = [("cactuslane-resume", "AAAA"), ("last-event-id", "3")];
        let other = caller(&cluster, 3)
            .complete_with(model, "resume me", TOKENS, true, &forged)
            .await;
        assert_eq!(other.status, 400);
    });
}

/// Guards against a stream that goes on at another event than its caller has, or begins once more, as
/// it is not clear what the caller has.
#[parameterized(
    two_events = { &["3", "50"] },
    second_is_no_number = { &["3", "x"] },
)]
fn a_stream_is_not_resumed_at_an_unclear_place(places: &'static [&'static str]) {
    with_cluster(20.0, move |cluster| async move {
        let model = cluster.deployment.model.0;
        let first = caller(&cluster, 0);
        let whole = first.complete(model, "resume me", TOKENS, true).await;
        let token = whole.header("cactuslane-resume").to_owned();
        let mut headers = vec![("cactuslane-resume", token.as_str())];
        headers.extend(places.iter().map(|place| ("last-event-id", *place)));
        let second = caller(&cluster, 3);
        let rest = second
            .complete_with(model, "resume me", TOKENS, true, &headers)
            .await;
        assert_eq!(rest.status, 400, "{}", rest.text());
    });
}

/// If the caller disconnects, its stream is cancelled at the engine.
#[test]
fn a_disconnect_cancels_the_stream() {
    with_cluster(1.0, |cluster| async move {
        let model = cluster.deployment.model.0;
        let address = caller(&cluster, 0).address;
        let request = Request::post(format!("http://{address}/v1/completions"))
            .header(
                "authorization",
                format!("Bearer {}", cactuslane_demo::CALLER_TOKEN),
            )
            .body(Full::new(Bytes::from(completion_body(
                model, "hang up", 2_000, true,
            ))))
            .expect("it is well formed");
        let mut response = Client::open_unpooled()
            .send(request)
            .await
            .expect("a response head is received");
        response
            .body_mut()
            .frame()
            .await
            .expect("a frame")
            .expect("the frame is received");
        let streams = || {
            cluster
                .engines
                .values()
                .map(cactuslane_standin::engine::Engine::streams)
                .sum::<usize>()
        };
        assert_eq!(streams(), 1);
        drop(response);
        while streams() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// A malformed request, or one for an unknown model, service or path, is refused with the outcome
/// `not-run` and an error code, and the next request is served.
#[parameterized(
    no_json = { "/v1/completions", "{", 400, "bad_request" },
    no_model = { "/v1/completions", "{}", 400, "bad_request" },
    unknown_model = { "/v1/completions", r#"{"model":"x","prompt":"p"}"#, 404, "not_found" },
    no_prompt = { "/v1/completions", r#"{"model":"model-numarare"}"#, 400, "bad_request" },
    no_messages = { "/v1/chat/completions", r#"{"model":"model-numarare","messages":[]}"#, 400, "bad_request" },
    too_many = { "/v1/completions", r#"{"model":"model-numarare","prompt":"p","max_tokens":99999}"#, 400, "bad_request" },
    several = { "/v1/completions", r#"{"model":"model-numarare","prompt":"p","n":3}"#, 400, "bad_request" },
    wrong_stream = { "/v1/completions", r#"{"model":"model-numarare","prompt":"p","stream":"yes"}"#, 400, "bad_request" },
    unknown_service = { "/services/none/x", "", 404, "not_found" },
    unknown_path = { "/v2/completions", "", 404, "not_found" },
)]
fn an_invalid_request_is_refused(path: &str, body: &str, status: u16, code: &str) {
    with_cluster(50.0, |cluster| async move {
        let caller = caller(&cluster, 0);
        let response = caller
            .send("POST", path, &[], Bytes::from(body.to_owned()))
            .await;
        assert_eq!(
            (response.status, response.header("cactuslane-outcome")),
            (status, "not-run")
        );
        assert_eq!(response.json()["error"]["code"], code);
        assert!(!response.header("x-request-id").is_empty());
        let good = caller
            .complete(cluster.deployment.model.0, "after", TOKENS, false)
            .await;
        assert!(is_complete(&good, "after", false));
    });
}

/// An instance other than the one that served a request explains it too, but not to a caller with
/// an invalid token.
#[test]
fn any_entry_explains_a_request() {
    with_cluster(50.0, |cluster| async move {
        fail_engines(&cluster, FaultKind::Cut, 1);
        let model = cluster.deployment.model.0;
        let response = caller(&cluster, 0)
            .complete(model, "explain me", TOKENS, true)
            .await;
        let id = response.header("x-request-id").to_owned();
        let path = format!("/v1/explain/{id}");
        // The trace span of the request ends only after the stream is handed over, so the
        // explanation may not be available immediately.
        let mut explained = caller(&cluster, 4).get(&path).await;
        while explained.status != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            explained = caller(&cluster, 4).get(&path).await;
        }
        let text = explained.text();
        assert!(
            text.contains("engine failed") && text.contains("first token"),
            "{text}"
        );
        let mut stranger = caller(&cluster, 0);
        stranger.token = "nobody".to_owned();
        assert_eq!(stranger.get(&path).await.status, 401);
    });
}
