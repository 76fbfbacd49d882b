//! Requests that are answered by a stream.

use cactuslane_place::Load;
use cactuslane_platform_standin::{Fault, Mode, Target, TargetKind, target};
use hyper::body::Bytes;
use yare::parameterized;

use crate::deployment::{all_events, deploy, run, until};

#[test]
fn a_stream_comes_whole_and_a_body_goes_unchanged() {
    run(async {
        let deployment = deploy().await;
        let got = deployment.ask("/summary/7", "r1").await;
        assert_eq!((got.status, got.whole), (200, true));
        assert_eq!(got.body, all_events());
        assert_eq!(deployment.runs("r1"), 1);
        let bodies: Vec<Bytes> = deployment.engines.iter().flat_map(Target::bodies).collect();
        assert_eq!(bodies, [Bytes::from_static(b"a body")]);
    });
}

#[parameterized(
    within_an_event = { Fault::Break(3) },
    before_any_event = { Fault::Break(0) },
    silent = { Fault::Mute(2) },
)]
fn a_stream_that_may_go_on_is_resumed_once(fault: Fault) {
    run(async {
        let deployment = deploy().await;
        // The resumed stream breaks as well: two attempts are all that the route allows.
        deployment.fault(&deployment.engines, fault);
        let got = deployment.ask("/summary/7", "r1").await;
        assert_eq!(deployment.runs("r1"), 2);
        assert!(all_events().starts_with(&got.body), "{}", got.body);
        let again = deployment.ask("/summary/7", "r2").await;
        assert_eq!((again.whole, again.body), (true, all_events()));
    });
}

#[test]
fn a_resumed_stream_is_whole() {
    run(async {
        let deployment = deploy().await;
        deployment.prefer_first(&deployment.engines);
        deployment.fault(&deployment.engines[..1], Fault::Break(3));
        let got = deployment.ask("/summary/7", "r1").await;
        assert_eq!((got.whole, got.body), (true, all_events()));
        assert_eq!(deployment.engines[0].runs("r1"), 1);
        assert_eq!(deployment.engines[1].runs("r1"), 1);
    });
}

#[test]
fn a_stream_that_may_not_go_on_breaks_off_visibly() {
    run(async {
        let deployment = deploy().await;
        deployment.fault(&deployment.engines, Fault::Break(2));
        let got = deployment.ask("/report/7", "r1").await;
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.body, all_events()[..got.body.len()]);
        assert_eq!(deployment.runs("r1"), 1);
    });
}

#[test]
fn a_silent_stream_is_waited_for_where_no_attempt_is_left() {
    run(async {
        let deployment = deploy().await;
        deployment.prefer_first(&deployment.engines);
        deployment.fault(&deployment.engines[..1], Fault::Break(0));
        deployment.fault(&deployment.engines[1..], Fault::Slow(3_400));
        let got = deployment.ask("/summary/7", "r1").await;
        assert_eq!((got.whole, got.body), (true, all_events()));
    });
}

#[test]
fn a_computed_prompt_is_offered_to_another_engine() {
    run(async {
        let deployment = deploy().await;
        // Streams everywhere have the prompt be computed apart.
        deployment.prefer_first(&deployment.engines);
        let streams = Load {
            running: 20,
            ..Load::default()
        };
        let first = &deployment.engines[0];
        deployment
            .running
            .gateway
            .placer()
            .load_view
            .add(&first.id, streams);
        deployment.fault(&deployment.engines[..1], Fault::Reject);
        let got = deployment.ask("/report/7", "r1").await;
        assert_eq!((got.whole, got.body), (true, all_events()));
        assert_eq!(deployment.prefill.prompts(), 1);
        assert_eq!(deployment.engines[1].runs("r1"), 1);
    });
}

#[test]
fn an_engine_that_was_replaced_while_the_store_is_away_costs_no_request() {
    run(async {
        let deployment = deploy().await;
        let address = deployment.prefill.address;
        // Another engine has the address now, and the store does not say so.
        deployment.store.remove_target("i-p1");
        let kind = TargetKind::Prefill;
        target::register(&deployment.store, "i-old", kind, address, "ready");
        let gateway = deployment.running.gateway.clone();
        until(|| gateway.target("i-old").is_some()).await;
        deployment.store.set_mode(Mode::Busy);
        deployment.prefer_first(&deployment.engines);
        let streams = Load {
            running: 20,
            ..Load::default()
        };
        gateway.placer().load_view.add("i-d1", streams);
        for id in 0..3 {
            let got = deployment.ask("/report/7", &format!("r{id}")).await;
            assert_eq!((got.whole, got.body), (true, all_events()));
        }
        assert!(gateway.target("i-old").is_none());
    });
}
