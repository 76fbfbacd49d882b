//! The budget of repeated sends, and the choice of a route.

use std::time::Duration;

use cactuslane_flight::budget::{WindowedRetryBudget, slack_share};
use cactuslane_flight::routing_config::{RetryPolicy, Route, RoutingConfig};
use yare::parameterized;

#[test]
fn any_window_keeps_to_the_budget() {
    let (ratio, slack, window) = (0.2, 3.0, 1_000);
    let mut budget = WindowedRetryBudget::new(ratio, slack, window);
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for now in (0..6_000).step_by(7) {
        // Requests stop for a while, and those who repeat don't.
        if !(2_000..4_000).contains(&now) {
            budget.record_request(now);
            requests.push(now);
        }
        if budget.try_take(now) {
            repeats.push(now);
        }
    }
    let within = |times: &[u64], start: u64| {
        times
            .iter()
            .filter(|at| (start..start + window).contains(at))
            .count() as f64
    };
    for start in (0..5_000).step_by(50) {
        // A window may count the requests of the one half a window before it.
        let counted = within(&requests, start)
            .max(within(&requests, start.saturating_sub(window / 2)))
            .max(within(&requests, start.saturating_sub(window)));
        assert!(within(&repeats, start) <= counted * ratio + slack + 1.0);
    }
    assert!(repeats.len() > 100);
}

/// All instances that start at once, and know nobody yet, stay far below what they may share.
#[test]
fn instances_that_start_together_keep_to_the_shared_slack() {
    let (slack, window) = (54.0, 10_000);
    for uptime in [0, 100, 500] {
        let all = 7.0 * slack_share(slack, 1, uptime, window);
        assert!(all < slack * 0.3, "{all} at {uptime} ms");
    }
    let settled = 7.0 * slack_share(slack, 7, window, window);
    assert!(settled <= slack && settled > slack * 0.7);
}

/// Creates a route.
fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        retry: RetryPolicy::Never,
        stream: false,
        prompt_aware: false,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        silence_limit: Duration::from_secs(2),
        max_pause: None,
        priority: 0,
        services: services
            .iter()
            .map(|(name, weight)| ((*name).to_owned(), *weight))
            .collect(),
        max_attempts: 1,
    }
}

#[parameterized(
    longest = { "desk.example", "/counts/old/7", Some("old") },
    shorter = { "desk.example", "/counts/7", Some("counts") },
    no_part_of_a_segment = { "desk.example", "/countsmore/7", None },
    other_host = { "office.example", "/counts/7", None },
    host_in_capitals = { "Desk.Example", "/counts/7", Some("counts") },
)]
fn the_longest_prefix_of_the_host_wins(host: &str, path: &str, found: Option<&str>) {
    let document = RoutingConfig {
        routes: vec![
            route("counts", "/counts/", &[]),
            route("old", "/counts/old/", &[]),
        ],
        ..RoutingConfig::default()
    };
    assert_eq!(
        document
            .find_route(host, path)
            .map(|route| route.name.as_str()),
        found
    );
}

#[parameterized(
    first = { 0.0, "a" },
    still_first = { 0.89, "a" },
    second = { 0.91, "b" },
)]
fn a_split_follows_its_weights(draw: f64, service: &str) {
    let route = route("split", "/", &[("a", 90), ("b", 10)]);
    assert_eq!(route.pick_service(draw).map(String::as_str), Some(service));
}
