//! HTTP endpoints for address resolution, readiness and metrics.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::Door;
use cactuslane_held::{HeadLimits, connections};
use cactuslane_platform::directory::{
    MAX_ADDRESSES, READY_PATH, RESOLVE_PATH, caller_domain, encode_addresses,
};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use log::debug;
use rand::seq::SliceRandom;
use serde_json::json;
use tokio::net::TcpListener;

use crate::preview;
use crate::state::Gateway;

/// Time to live of the addresses in an answer, for which callers may cache them.
const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// Limits on the heads of requests; a connection may be idle for the same time.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    bytes: 16 << 10,
    timeout: Duration::from_secs(10),
};
/// The path of the metrics in the `OpenMetrics` text format.
const METRICS_PATH: &str = "/metrics";

/// Serves the endpoints on one listener until the task is aborted.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, door: Door) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                debug!(error:% = error; "connection not accepted");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let Some(guard) = gateway.held.open(door).await else {
            continue;
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let respond = |request: Request<Incoming>, _| {
                let response = respond(&gateway, &request);
                async move { response }
            };
            connections::serve(guard, stream, || HEAD_LIMITS, pending(), respond).await;
        });
    }
}

/// Answers one request; paths that belong to no endpoint are answered with 404.
fn respond(gateway: &Gateway, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        READY_PATH if gateway.is_ready() => text(StatusCode::OK, String::new()),
        READY_PATH => text(StatusCode::SERVICE_UNAVAILABLE, String::new()),
        RESOLVE_PATH => resolve(gateway, request.uri().query().unwrap_or_default()),
        METRICS_PATH => text(StatusCode::OK, gateway.metrics.text(gateway)),
        path if path.starts_with(preview::PREFIX) => explain(gateway, request),
        _ => text(StatusCode::NOT_FOUND, String::new()),
    }
}

/// Answers with what would become of a request whose head this one has, with [`preview::PREFIX`]
/// before its path.
fn explain(gateway: &Gateway, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = match preview::preview(gateway, request) {
        Ok(value) => text(StatusCode::OK, value.to_string()),
        Err((status, message)) => {
            let error = json!({ "error": { "message": message } });
            text(status, error.to_string())
        }
    };
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Answers with the front addresses of the serving instances, this one included if it is ready.
///
/// Addresses in the caller's failure domain come first, both groups in random order, and at most
/// [`MAX_ADDRESSES`] are returned. If no instance serves, the answer is 503.
fn resolve(gateway: &Gateway, query: &str) -> Response<Full<Bytes>> {
    let domain = caller_domain(query).unwrap_or_default();
    let settings = gateway.settings();
    let mut serving = gateway.members().serving(gateway.now());
    if gateway.is_ready() {
        serving.push((settings.front, settings.domain.clone()));
    }
    if serving.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, String::new());
    }
    serving.shuffle(&mut rand::rng());
    serving.sort_by_key(|(_, instance_domain)| instance_domain != domain);
    serving.truncate(MAX_ADDRESSES);
    let addresses: Vec<SocketAddr> = serving.into_iter().map(|(address, _)| address).collect();
    let mut response = text(StatusCode::OK, encode_addresses(&addresses, ADDRESS_TTL));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns a response with a status and a body.
fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
