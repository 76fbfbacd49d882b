//! Two customers who ask for more than the targets can do.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_platform_standin::caller;
use hyper::header::RETRY_AFTER;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::customers::{configure, keyed, with_headers};
use crate::deployment::{Deployment, deploy, read_answer, run_test, wait_until};

/// Time that a request takes at the target, whose 6 slots serve 30 requests a second.
const WORK: Duration = Duration::from_millis(200);
/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(10);
/// Number of rounds.
const ROUNDS: u32 = 600;
/// Number of first rounds in which the instance finds out how long the work takes.
const FIRST_ROUNDS: u32 = 200;
/// Customers with their keys, and the number of rounds for each request: the second one asks for
/// less than half of what the target can do, which is its share.
const CUSTOMERS: [(&str, &str, u32); 2] = [("large", "k-1", 1), ("small", "k-2", 10)];
/// Smallest share of its requests that the one who asks for less is served, in percent.
const MIN_SERVED: usize = 70;
/// Longest time that a caller may be told to stay away, in seconds: a third of its deadline.
const MAX_AWAY: f64 = 5.0 / 3.0;

/// What became of a request.
#[derive(Clone, Debug)]
struct Ending {
    /// Customer that sent it.
    customer: &'static str,
    /// Round in which it was sent.
    round: u32,
    /// Id of the request.
    id: String,
    /// Status of the answer.
    status: u16,
    /// Value of the header `Retry-After`, in seconds.
    come_back: Option<f64>,
    /// Whether the answer bears a target's signature.
    is_signed: bool,
    /// Time from sending to the end of the answer.
    elapsed: Duration,
}

/// Sends a request of a customer and reads the answer.
async fn ask(deployment: Arc<Deployment>, customer: &'static str, key: &str, round: u32) -> Ending {
    let id = format!("{customer}-{round}");
    // Equal requests would count as repeats of each other.
    let request = caller::request(deployment.front(), &format!("/lookup/{id}"), &id);
    let request = with_headers(request, &[("authorization", &format!("Bearer {key}"))]);
    let sent = Instant::now();
    let response = deployment.client.send(request).await;
    let response = response.expect("it is answered");
    let headers = response.headers().clone();
    let answer = read_answer(response).await;
    let come_back = headers.get(RETRY_AFTER);
    let come_back = come_back.and_then(|value| value.to_str().ok()?.parse().ok());
    Ending {
        customer,
        round,
        status: answer.status,
        come_back,
        is_signed: caller::is_signed_answer(&headers, &id),
        elapsed: sent.elapsed(),
        id,
    }
}

/// Starts an instance with two customers and one target that takes time.
async fn deploy_busy() -> Arc<Deployment> {
    let deployment = deploy().await;
    let customers = CUSTOMERS.map(|(name, key, _)| json!({ "name": name, "api_keys": [key] }));
    configure(&deployment, &keyed(4, &json!(customers))).await;
    deployment.workers[0].set_work(WORK);
    deployment.workers[1].register(&deployment.store, "draining");
    let gateway = deployment.running.gateway.clone();
    wait_until(|| {
        let fleet = gateway.fleet();
        fleet.targets("register", None, gateway.now()).len() == 1
    })
    .await;
    Arc::new(deployment)
}

/// Returns the median time of the requests that ended with a status.
fn median(endings: &[Ending], status: u16) -> Duration {
    let ended = endings.iter().filter(|ending| ending.status == status);
    let mut times: Vec<Duration> = ended.map(|ending| ending.elapsed).collect();
    times.sort();
    times[times.len() / 2]
}

/// Guards against an overload that is not noticed as it is there from the start on, and against a
/// customer that takes the share of another one.
#[test]
fn a_customer_that_asks_for_less_than_its_share_is_served_under_overload() {
    run_test(async {
        let deployment = deploy_busy().await;
        let mut asking = JoinSet::new();
        for round in 0..ROUNDS {
            for (customer, key, every) in CUSTOMERS {
                if round % every == 0 {
                    asking.spawn(ask(deployment.clone(), customer, key, round));
                }
            }
            sleep(ROUND).await;
        }
        let endings = asking.join_all().await;
        for ending in &endings {
            let runs = deployment.runs(&ending.id);
            match ending.status {
                200 => assert!(runs > 0 && ending.is_signed, "{ending:?}, {runs} runs"),
                503 => {
                    let is_told = ending.come_back.is_some_and(|s| s > 0.0 && s <= MAX_AWAY);
                    let is_true = runs == 0 && !ending.is_signed;
                    assert!(is_told && is_true, "{ending:?}, {runs} runs");
                }
                _ => panic!("{ending:?}"),
            }
        }
        let gateway = &deployment.running.gateway;
        let text = gateway.metrics.text(gateway);
        for result in ["wait", "share", "room"] {
            let counted = format!("admissions_total{{result=\"{result}\"}}");
            assert!(text.contains(&counted), "none has {result}");
        }
        let later = |ending: &&Ending| ending.round >= FIRST_ROUNDS;
        let endings: Vec<Ending> = endings.iter().filter(later).cloned().collect();
        let [large, small] = CUSTOMERS.map(|(customer, _, _)| {
            let own = endings.iter().filter(|ending| ending.customer == customer);
            let served = own.clone().filter(|ending| ending.status == 200).count();
            (served, own.count())
        });
        println!("{large:?} and {small:?} served");
        assert!(small.0 * 100 >= small.1 * MIN_SERVED, "{small:?} served");
        // The large one gets the rest, which is twice as much.
        assert!(large.0 > small.0 && large.0 * 2 < large.1, "{large:?}");
        let (served, refused) = (median(&endings, 200), median(&endings, 503));
        assert!(
            refused * 2 < served,
            "refused after {refused:?}, {served:?}"
        );
    });
}
