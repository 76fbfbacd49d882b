//! Costs of decisions and tables of one instance, at several sizes.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use cactuslane_config::Document;
use cactuslane_member::{Message, Packet, WorkRecord};
use cactuslane_once::{CallKey, IdempotencyTable, StoredAnswer};
use cactuslane_route::fleet_view::WorkInProgress;
use cactuslane_route::{Load, RouteRequest, Router, TargetFacts};
use cactuslane_types::Role;
use cactuslane_wire::{ClusterKey, Purpose};

use super::{Point, Series, micros};

/// Numbers of targets that the router knows.
const TARGETS: [usize; 5] = [12, 32, 125, 250, 1_000];
/// Number of routing decisions that are timed for each number of targets.
const DECISIONS: u32 = 2_000;
/// Numbers of callers in a configuration document.
const CALLERS: [usize; 4] = [10, 90, 270, 540];
/// Numbers of idempotency keys in a table.
const KEYS: [usize; 3] = [1_000, 10_000, 50_000];
/// Numbers of targets in one update of work in progress.
const WORK_RECORDS: [usize; 4] = [1, 2, 8, 32];
/// Size of the UDP and IPv4 headers of a datagram, in bytes.
const HEADERS: usize = 28;

/// Runs all measurements of this module.
#[must_use]
pub fn measure() -> Vec<Series> {
    vec![
        routing(),
        parsing(),
        document_size(),
        work_update_size(),
        idempotency_table(),
    ]
}

/// Measures the mean time of a routing decision, for 7 instances of which 6 are peers with work at
/// every target.
fn routing() -> Series {
    let mut points = Vec::new();
    for size in TARGETS {
        let mut router = Router::new(1);
        router.fleet.instances = 7;
        for index in 0..size {
            let id = format!("engine-{index:04}");
            let facts = TargetFacts {
                domain: format!("domain-{}", index % 16),
                service: "m".to_owned(),
                role: Role::Mixed,
                serving: true,
            };
            router.fleet.set(&id, facts);
            let load = Load {
                queued: index as u64 * 7 % 900,
                running: 20,
                free: 900,
                context: 30_000,
            };
            router.fleet.report(&id, load, 0);
            let work = WorkInProgress {
                queued: 500,
                running: 3,
                context: 4_000,
                blocks: 70,
            };
            for peer in 0..6 {
                router
                    .fleet
                    .record_peer_work(&format!("entry-{peer}"), &[(id.clone(), work)], 0);
            }
        }
        let request = RouteRequest {
            service: "m".to_owned(),
            domain: "domain-1".to_owned(),
            prompt: 2_000,
            output: 300,
            block_hashes: (0..31).collect(),
            ttft_bound: 1_500.0,
            itl_bound: 60.0,
            bound_factor: 1.0,
            ..RouteRequest::default()
        };
        let started = Instant::now();
        for _ in 0..DECISIONS {
            black_box(router.decide(black_box(&request), 0.0, 10));
        }
        let value = micros(started.elapsed()) / f64::from(DECISIONS);
        points.push(Point { size, value });
    }
    Series {
        name: "routing: microseconds a decision",
        over: "targets in the picture",
        points,
    }
}

/// Measures the time to parse and check a configuration document, in one run per size.
fn parsing() -> Series {
    let mut points = Vec::new();
    for size in CALLERS {
        let text = document(size);
        let started = Instant::now();
        assert!(Document::parse("measured", &text).is_ok());
        points.push(Point {
            size,
            value: micros(started.elapsed()),
        });
    }
    Series {
        name: "configuration: microseconds to check a document",
        over: "callers",
        points,
    }
}

/// Measures the size of a configuration document.
fn document_size() -> Series {
    let points = CALLERS.map(|size| Point {
        size,
        value: document(size).len() as f64,
    });
    Series {
        name: "configuration: bytes of a document",
        over: "callers",
        points: points.to_vec(),
    }
}

/// Measures the size of a sealed datagram that publishes work in progress to another instance.
fn work_update_size() -> Series {
    let key = ClusterKey::new("the key of a measurement");
    let mut points = Vec::new();
    for size in WORK_RECORDS {
        let record = |index: usize| WorkRecord {
            target: format!("engine-{index:04}"),
            queued: 7_000,
            running: 30,
            context: 60_000,
            blocks: 1_200,
        };
        let packet = Packet {
            from: "entry-001".to_owned(),
            incarnation: 1_800_000_000_000,
            sequence: 1_000_000,
            message: Message::Work((0..size).map(record).collect()),
            records: Vec::new(),
        };
        let value = (key.seal(Purpose::Gossip, &packet).len() + HEADERS) as f64;
        points.push(Point { size, value });
    }
    Series {
        name: "telling: bytes of a datagram, headers included",
        over: "targets told",
        points,
    }
}

/// Measures the mean time to begin, mark as sent and mark as answered a call with an idempotency
/// key, while the table grows from empty to the given number of keys.
fn idempotency_table() -> Series {
    let mut points = Vec::new();
    for size in KEYS {
        let mut table = IdempotencyTable::default();
        let keys: Vec<CallKey> = (0..size)
            .map(|index| ("desk".to_owned(), format!("key-{index:08}")))
            .collect();
        let started = Instant::now();
        for key in &keys {
            table.begin(key, &[0; 32], 0);
            if table.mark_sent(key) {
                let body = vec![0; 200];
                table.mark_answered(
                    key,
                    StoredAnswer {
                        status: 200,
                        headers: Vec::new(),
                        body,
                    },
                );
            }
        }
        points.push(Point {
            size,
            value: micros(started.elapsed()) / size as f64,
        });
    }
    Series {
        name: "at most once: microseconds a call",
        over: "keys remembered",
        points,
    }
}

/// Returns a configuration document with 8 models and a number of callers.
fn document(callers: usize) -> String {
    let mut text = String::from("{ \"models\": { \"engines\": {");
    for model in 0..8 {
        let comma = if model > 0 { "," } else { "" };
        let _ = write!(
            text,
            "{comma} \"model-{model}\": {{ \"first_token_ms\": 410, \"between_tokens_ms\": 51, \
             \"min_serving\": 60, \"version\": \"1\", \"max_output\": 4096 }}"
        );
    }
    text.push_str("} }, \"capacity\": { \"retry_share\": 0.1 }, \"callers\": {");
    for caller in 0..callers {
        let comma = if caller > 0 { "," } else { "" };
        let _ = write!(
            text,
            "{comma}\n  \"customer-{caller:04}\": {{\n    \"token_sha256\": \"{:064x}\",\n    \
             \"models\": [\"model-{}\"],\n    \"rate\": 20, \"tokens\": 100000, \
             \"concurrency\": 200\n  }}",
            caller,
            caller % 8
        );
    }
    text.push_str(
        "}, \"maintenance\": { \"time_zone\": \"Europe/Zagreb\", \"at_once\": 8, \"per_domain\": 2 } }",
    );
    text
}
