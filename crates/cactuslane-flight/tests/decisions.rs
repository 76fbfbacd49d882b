//! The retry budget, and the choice of a route and a service.

use std::time::Duration;

use cactuslane_flight::budget::{WindowedRetryBudget, slack_share};
use cactuslane_flight::routing_config::{RetryPolicy, Route, RoutingConfig};
use yare::parameterized;

/// In every window, retries stay within the ratio of its requests plus the slack, also while no
/// requests arrive.
#[test]
fn retries_stay_within_the_budget_in_every_window() {
    let (ratio, slack, window) = (0.2, 3.0, 1_000);
    let mut budget = WindowedRetryBudget::new(ratio, slack, window);
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for now in (0..6_000).step_by(7) {
        // No requests arrive from 2 s to 4 s, while retries are attempted throughout.
        if !(2_000..4_000).contains(&now) {
            budget.record_request(now);
            requests.push(now);
        }
        if budget.try_take(now) {
            retries.push(now);
        }
    }
    let within = |times: &[u64], start: u64| {
        times
            .iter()
            .filter(|at| (start..start + window).contains(at))
            .count() as f64
    };
    for start in (0..5_000).step_by(50) {
        // A retry is allowed by the requests of the window before it, so the windows that start
        // half a window and a whole window earlier count as well.
        let counted = within(&requests, start)
            .max(within(&requests, start.saturating_sub(window / 2)))
            .max(within(&requests, start.saturating_sub(window)));
        assert!(within(&retries, start) <= counted * ratio + slack + 1.0);
    }
    assert!(retries.len() > 100);
}

/// Seven instances that start together and don't know each other yet use less than 30 % of the
/// shared slack; once they know each other, they use more than 70 % of it but not more than all.
#[test]
fn instances_that_start_together_stay_within_the_shared_slack() {
    let (slack, window) = (54.0, 10_000);
    for uptime in [0, 100, 500] {
        let all = 7.0 * slack_share(slack, 1, uptime, window);
        assert!(all < slack * 0.3, "{all} at {uptime} ms");
    }
    let full = 7.0 * slack_share(slack, 7, window, window);
    assert!(full <= slack && full > slack * 0.7);
}

/// Creates a route of the host `desk.example` that allows one attempt and no retry.
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
        public: false,
    }
}

#[parameterized(
    longest = { "desk.example", "/counts/old/7", Some("old") },
    shorter = { "desk.example", "/counts/7", Some("counts") },
    partial_segment = { "desk.example", "/countsmore/7", None },
    other_host = { "office.example", "/counts/7", None },
    host_in_other_case = { "Desk.Example", "/counts/7", Some("counts") },
)]
fn longest_prefix_of_the_host_is_found(host: &str, path: &str, found: Option<&str>) {
    let config = RoutingConfig {
        routes: vec![
            route("counts", "/counts/", &[]),
            route("old", "/counts/old/", &[]),
        ],
        ..RoutingConfig::default()
    };
    assert_eq!(
        config
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
fn traffic_split_follows_the_weights(draw: f64, service: &str) {
    let route = route("split", "/", &[("a", 90), ("b", 10)]);
    assert_eq!(route.pick_service(draw).map(String::as_str), Some(service));
}
