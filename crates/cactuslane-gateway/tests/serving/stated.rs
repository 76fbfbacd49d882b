//! Requests that another instance passes on with a configuration that it states, or none.

use cactuslane_platform_standin::{HOST, caller};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, Uri};
use yare::parameterized;

use crate::deployment::{Deployment, deploy, read_answer, run_test};

/// Header by which an instance states the configuration by which it decides.
const CONFIGURATION: &str = "cactuslane-configuration";
/// Header by which it says that it does not take a request.
const DECLINED: &str = "cactuslane-declined";

/// Sends a request with a body of some bytes as another instance passes it on, which states a
/// configuration or none.
async fn pass_on(
    deployment: &Deployment,
    path: &str,
    body: usize,
    stated: Option<&'static str>,
) -> Response<Incoming> {
    let peer = deployment.running.gateway.settings().peer;
    let mut request: Request<_> = caller::request(deployment.front(), path, "r1");
    let uri = format!("http://{peer}{path}").parse::<Uri>();
    *request.uri_mut() = uri.expect("it is a URI");
    *request.body_mut() = Full::new(Bytes::from(vec![b'x'; body]));
    let headers = request.headers_mut();
    headers.insert("host", HeaderValue::from_static(HOST));
    headers.insert("cactuslane-passed-by", HeaderValue::from_static("front-2"));
    headers.insert("cactuslane-may-have-run", HeaderValue::from_static("0"));
    if let Some(stated) = stated {
        headers.insert(CONFIGURATION, HeaderValue::from_static(stated));
    }
    let response = deployment.client.send(request).await;
    response.expect("the request is answered")
}

/// Guards against refusals of callers of an instance that is itself behind: the one that it asks decides
/// by the later configuration, also that there is no route any more.
#[parameterized(
    served = { "/lookup/7", 200 },
    no_route_any_more = { "/none/7", 404 },
)]
fn a_request_of_an_earlier_configuration_is_decided_by_the_later_one(path: &str, status: u16) {
    run_test(async {
        let deployment = deploy().await;
        let response = pass_on(&deployment, path, 6, Some("1.1.2")).await;
        assert!(!response.headers().contains_key(DECLINED));
        assert_eq!(read_answer(response).await.status, status);
    });
}

/// Guards against an instance that decides on a request by a configuration of which it can't know
/// whether the one that passed the request on has a later one.
#[parameterized(
    not_stated = { None },
    unreadable = { Some("new") },
    later_revision = { Some("1.999999.3") },
    later_version = { Some("1.1.4") },
    later_era = { Some("2.1.3") },
)]
fn a_request_of_an_unknown_or_later_configuration_is_declined(stated: Option<&'static str>) {
    run_test(async move {
        let deployment = deploy().await;
        for (path, body) in [("/lookup/7", 6), ("/none/7", 6), ("/correction/7", 300_000)] {
            let response = pass_on(&deployment, path, body, stated).await;
            let has = |headers: &HeaderMap, name: &str| headers.contains_key(name);
            assert!(has(response.headers(), DECLINED), "{path}");
            let own = deployment.running.gateway.routing_config();
            let own = own.expect("one is in force").config_position().to_string();
            let named = response.headers()[CONFIGURATION].to_str();
            assert_eq!(named.expect("it is text"), own);
            assert_eq!(read_answer(response).await.status, 503, "{path}");
            assert_eq!(deployment.runs("r1"), 0);
        }
    });
}
