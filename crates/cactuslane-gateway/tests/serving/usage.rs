//! Counts of customers' requests as instances make and exchange them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_authority::UsageUpdate;
use cactuslane_gateway::{GatewayHandle, control, usage};
use cactuslane_platform::Settings;
use cactuslane_platform::settings::{DutySettings, UsageSettings};
use cactuslane_platform_standin::{Fault, Target, TargetKind, settings, target};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;
use yare::parameterized;

use crate::customers::{ask, configure, deploy_keyed, keyed, two_customers};
use crate::deployment::{Deployment, run_test, start_fleet, start_instance, wait_until};
use crate::raw::read_request;

/// Window that no test outlasts.
const WINDOW: Duration = Duration::from_secs(1 << 24);
/// Headers of the two customers.
const KEYS: [[(&str, &str); 1]; 2] = [
    [("authorization", "Bearer k-2")],
    [("authorization", "Bearer k-3")],
];

/// Makes an instance count the requests of customers.
fn count_usage(running: &GatewayHandle, deployment: &Deployment) {
    let name = running.gateway.settings().instance.clone();
    let mut settings = settings(&name, deployment.store.address);
    settings.duties = Some(DutySettings {
        address: deployment.store.address,
        call_rate: 1.0,
        usage: Some(UsageSettings {
            window: WINDOW,
            due: WINDOW,
        }),
        scale: false,
        gap: Duration::from_secs(3),
    });
    running.gateway.reload(settings);
}

/// Returns the numbers of requests of both customers that an instance knows of.
fn counts(running: &GatewayHandle) -> [u64; 2] {
    let gateway = &running.gateway;
    let now = gateway.unix_now();
    let book = gateway.usage();
    let report = book.report(book.window_of(now));
    ["acme", "bolt"].map(|name| report.get(name).copied().unwrap_or_default())
}

/// Returns the number of runs at all targets.
fn runs(deployment: &Deployment) -> u64 {
    let targets = deployment.workers.iter().chain(&deployment.engines);
    targets.map(|target| u64::from(target.total_runs())).sum()
}

/// Starts a deployment of one instance that counts.
async fn deploy_counting() -> Deployment {
    let deployment = deploy_keyed().await;
    count_usage(&deployment.running, &deployment);
    let gateway = deployment.running.gateway.clone();
    wait_until(|| {
        let now = gateway.unix_now();
        gateway.usage().window_of(now) > 0
    })
    .await;
    deployment
}

/// Guards against requests that count in the window beside theirs as the agreed time is rounded.
#[test]
fn the_agreed_time_of_one_instance_is_its_own_to_a_tenth_of_a_millisecond() {
    run_test(async move {
        let deployment = deploy_counting().await;
        let error = Duration::from_micros(100);
        let own_unix = || SystemTime::now().duration_since(UNIX_EPOCH);
        for number in 0..2_000 {
            let before = own_unix().expect("the clock is set").saturating_sub(error);
            let agreed = deployment.running.gateway.unix_now();
            let after = own_unix().expect("the clock is set") + error;
            let range = before.as_millis() as u64..=after.as_millis() as u64;
            assert!(range.contains(&agreed), "{number}: {agreed}, {range:?}");
            sleep(Duration::from_micros(500)).await;
        }
    });
}

/// Guards against requests that are not counted as they run just after the start or a new setting.
#[test]
fn requests_are_counted_as_soon_as_settings_and_configuration_ask_for_it() {
    run_test(async move {
        let deployment = deploy_keyed().await;
        count_usage(&deployment.running, &deployment);
        for id in ["r1", "r2", "r3"] {
            ask(&deployment, "/lookup/7", id, &KEYS[0]).await;
        }
        assert_eq!(runs(&deployment), 3);
        assert_eq!(counts(&deployment.running), [3, 0]);
    });
}

/// Each run at a target counts once, and what a target did not run does not count.
#[parameterized(
    lookup = { "/lookup/7", None, Some(1) },
    correction = { "/correction/7", None, Some(1) },
    report = { "/report/7", None, Some(1) },
    summary = { "/summary/7", None, Some(1) },
    lookup_rejected = { "/lookup/7", Some(Fault::Reject), None },
    correction_rejected = { "/correction/7", Some(Fault::Reject), None },
    lookup_failed = { "/lookup/7", Some(Fault::Fail), None },
    correction_failed = { "/correction/7", Some(Fault::Fail), Some(1) },
    correction_lost = { "/correction/7", Some(Fault::Lose), Some(1) },
    lookup_lost = { "/lookup/7", Some(Fault::Lose), None },
    correction_crossed = { "/correction/7", Some(Fault::Cross), Some(1) },
    report_rejected = { "/report/7", Some(Fault::Reject), None },
    report_failed = { "/report/7", Some(Fault::Fail), Some(1) },
    summary_broken = { "/summary/7", Some(Fault::Break(3)), None },
    report_broken = { "/report/7", Some(Fault::Break(3)), Some(1) },
)]
fn runs_are_counted(path: &'static str, fault: Option<Fault>, expected: Option<u64>) {
    run_test(async move {
        let deployment = deploy_counting().await;
        if let Some(fault) = fault {
            deployment.inject_fault(&deployment.workers, fault);
            deployment.inject_fault(&deployment.engines, fault);
        }
        ask(&deployment, path, "r1", &KEYS[0]).await;
        assert_eq!(counts(&deployment.running), [runs(&deployment), 0]);
        if let Some(expected) = expected {
            assert_eq!(runs(&deployment), expected);
        }
        let metrics = deployment
            .running
            .gateway
            .metrics
            .text(&deployment.running.gateway);
        let counted = format!(
            "customer_runs_total{{customer=\"acme\"}} {}",
            runs(&deployment)
        );
        assert!(
            runs(&deployment) == 0 || metrics.contains(&counted),
            "{metrics}"
        );
    });
}

/// Guards against a lost count of a caller that left while its request ran.
#[test]
fn a_request_whose_caller_left_counts() {
    run_test(async {
        let deployment = deploy_counting().await;
        deployment.inject_fault(&deployment.workers, Fault::Slow(300));
        let asking = ask(&deployment, "/correction/7", "r1", &KEYS[1]);
        let left = tokio::time::timeout(Duration::from_millis(100), asking).await;
        assert!(left.is_err());
        wait_until(|| counts(&deployment.running) == [0, 1]).await;
        assert_eq!(runs(&deployment), 1);
    });
}

/// Guards against a run that counts in the window of its answer's end, which may be much later than the head.
#[test]
fn a_run_counts_once_the_head_of_its_answer_has_arrived() {
    run_test(async {
        let deployment = deploy_counting().await;
        let listener = TcpListener::bind((deployment.store.address.ip(), 0)).await;
        let listener = listener.expect("a port can be bound");
        let address = listener.local_addr().expect("it is bound");
        for worker in &deployment.workers {
            worker.register(&deployment.store, "draining");
        }
        target::register(
            &deployment.store,
            "i-raw",
            TargetKind::Plain,
            1,
            address,
            "ready",
        );
        let gateway = &deployment.running.gateway;
        wait_until(|| gateway.target("i-raw").is_some()).await;
        let asking = ask(&deployment, "/correction/7", "r1", &KEYS[1]);
        let answering = async {
            let mut stream = loop {
                let (mut stream, _) = listener.accept().await.expect("it is reached");
                let request = read_request(&mut stream, &mut Vec::new()).await;
                if request.is_some_and(|request| request.id == "r1") {
                    break stream;
                }
            };
            let head = "HTTP/1.1 200 OK\r\nx-instance-id: i-raw\r\nx-request-id: r1\r\n\
                        x-server-stamp: stamp\r\ncontent-length: 4\r\n\r\n";
            stream.write_all(head.as_bytes()).await.expect("it is open");
            wait_until(|| counts(&deployment.running) == [0, 1]).await;
            stream.write_all(b"done").await.expect("it is open");
            stream
        };
        let (answer, _stream) = tokio::join!(asking, answering);
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(counts(&deployment.running), [0, 1]);
    });
}

/// Guards against a name of a customer that ends the line of a metric, and against as many lines as
/// there are customers.
#[test]
fn metrics_by_customer_are_bounded_and_whole() {
    run_test(async {
        let deployment = deploy_counting().await;
        let gateway = &deployment.running.gateway;
        gateway.metrics.count_run("a\"} 7\nb\\");
        for number in 0..1_000 {
            gateway.metrics.count_run(&format!("customer-{number}"));
        }
        let text = gateway.metrics.text(gateway);
        let lines: Vec<&str> = text
            .lines()
            .filter(|line| line.contains("customer_runs_total"))
            .collect();
        assert_eq!(lines.len(), 301, "{lines:?}");
        assert!(lines.iter().all(|line| line.contains("\"} ")), "{lines:?}");
        let other = lines.iter().find(|line| line.contains("(other)"));
        assert!(
            other.is_some_and(|line| line.ends_with(" 701")),
            "{other:?}"
        );
        assert!(!text.contains("\nb"), "{text}");
    });
}

/// Every instance that collects, the leader among them, knows the counts of all.
#[test]
fn collectors_and_the_leader_know_all_counts() {
    run_test(async {
        let deployment = deploy_keyed().await;
        let fleet = start_fleet(&deployment).await;
        let all = || fleet.iter().chain([&deployment.running]);
        for running in all() {
            count_usage(running, &deployment);
        }
        let is_keyed = |running: &GatewayHandle| {
            let config = running.gateway.routing_config();
            config.is_some_and(|config| config.customers.is_some())
        };
        wait_until(|| all().all(is_keyed)).await;
        wait_until(|| all().all(|running| running.gateway.usage().window_of(u64::MAX) > 0)).await;
        let mut expected = [0, 0];
        for (number, running) in all().enumerate() {
            let front = running.gateway.settings().front;
            for (customer, key) in KEYS.iter().enumerate() {
                for path in ["/lookup/7", "/report/7"] {
                    let id = format!("r{number}-{customer}-{path}");
                    let request = cactuslane_platform_standin::caller::request(front, path, &id);
                    let request = crate::customers::with_headers(request, key);
                    let answer = crate::customers::send(&deployment, request).await;
                    assert_eq!(answer.status, 200, "{answer:?}");
                    expected[customer] += 1;
                }
            }
        }
        let leads = |running: &&GatewayHandle| {
            let now = cactuslane_gateway::leadership::boot_millis();
            running.gateway.leadership().is_held(now)
        };
        wait_until(|| all().any(|running| leads(&running))).await;
        wait_until(|| {
            all()
                .filter(leads)
                .any(|running| counts(running) == expected)
        })
        .await;
        // Four collectors and the leader, which may be one of them.
        wait_until(|| all().filter(|running| counts(running) == expected).count() >= 4).await;
        assert!(all().all(|running| counts(running) <= expected));
    });
}

/// Guards against counts that end with an instance which deleted its entry before the next one started.
#[test]
fn an_instance_that_deleted_its_entry_brings_its_counts_to_one_that_starts() {
    run_test(async {
        let deployment = deploy_counting().await;
        ask(&deployment, "/lookup/7", "r1", &KEYS[0]).await;
        let leaving = &deployment.running.gateway;
        leaving.leave();
        control::unregister(leaving).await;
        let key = "cactuslane/instances/front-1";
        assert!(deployment.store.read(key).is_none());
        let next = start_instance("front-2", &deployment.store).await;
        count_usage(&next, &deployment);
        wait_until(|| counts(&next) == [1, 0]).await;
        assert!(!next.gateway.members().is_known("front-1"));
    });
}

/// Guards against counts of strangers, once all have ended that may have deleted their entries before the start.
#[parameterized(
    within_the_grace_period = { Duration::from_hours(1), 2 },
    later = { Duration::ZERO, 0 },
)]
fn counts_of_unknown_senders_are_taken_for_the_grace_period(grace: Duration, expected: u64) {
    run_test(async move {
        let deployment = deploy_counting().await;
        let gateway = &deployment.running.gateway;
        let mut settings = Settings::clone(&gateway.settings());
        settings.grace = grace;
        gateway.reload(settings);
        let window = gateway.usage().window_of(gateway.unix_now());
        let update = UsageUpdate {
            sender: "front-9".to_owned(),
            unix_time: gateway.unix_now(),
            process: ("front-9".to_owned(), 1),
            windows: vec![(window, vec![("acme".to_owned(), 2)])],
        };
        usage::apply(gateway, &update);
        assert_eq!(counts(&deployment.running), [expected, 0]);
    });
}

#[parameterized(
    no_report_is_due = { false, true },
    no_customers = { true, false },
)]
fn nothing_is_counted_without_need(is_due: bool, has_customers: bool) {
    run_test(async move {
        let deployment = deploy_keyed().await;
        if is_due {
            count_usage(&deployment.running, &deployment);
        }
        let customers = if has_customers {
            two_customers()
        } else {
            serde_json::Value::Null
        };
        configure(&deployment, &keyed(5, &customers)).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        ask(&deployment, "/lookup/7", "r1", &KEYS[0]).await;
        assert_eq!(counts(&deployment.running), [0, 0]);
        let targets: Vec<&Target> = deployment.workers.iter().collect();
        assert!(targets.iter().any(|target| target.total_runs() == 1));
    });
}
