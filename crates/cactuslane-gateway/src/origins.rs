//! Which software version began a stream: what instances tell each other of it, and where a caller
//! may take the stream up again.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::ServingProcess;
use cactuslane_flight::origin::{StreamId, StreamOrigin, stream_id};
use cactuslane_flight::target::Target;
use cactuslane_types::SoftwareVersion;
use log::{info, warn};
use tokio::time::{Instant, timeout};

use crate::ranking::top_ranked;
use crate::records;
use crate::request::CallerRequest;
use crate::sending;
use crate::state::{Gateway, STREAM_LIFETIME_FACTOR};

/// Number of instances, besides the one that forwards a stream, that keep its version.
const KEEPERS: usize = 3;
/// Number of instances that are asked for it; more than keep it, as instances may have come or gone
/// since.
const ASKED: usize = 5;
/// Maximum time to wait for their answers.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Records that a target sent the first event of the stream of a request, and tells the instances
/// that keep its version.
///
/// `process` is the one that sent the event; a target without an engine does not state it. Returns
/// the origin of the stream, which is unknown if the process is not the one that wrote the entry of
/// the target.
pub fn record_begun(
    gateway: &Gateway,
    request: &CallerRequest,
    target: &Target,
    process: Option<ServingProcess>,
) -> StreamOrigin {
    let registered = || Some(gateway.fleet().known(&target.id)?.started_at);
    let process = process.or_else(|| registered().map(ServingProcess::stated));
    let version = process.and_then(|process| process.version(target).cloned());
    let Some(version) = version else {
        warn!(
            request = request.info.id,
            target_id = target.id,
            process:? = target.started_at;
            "stream begun at an unknown version"
        );
        return StreamOrigin::Unknown;
    };
    if request.info.id.is_empty() {
        // A caller cannot name the stream, and others without an id are not the same one.
        return StreamOrigin::Version(version);
    }
    let stream = stream_id(&request.info.id);
    let now = gateway.now();
    gateway.origins().record(stream, &version, now);
    gateway
        .begun()
        .record(stream, &target.service, &version, now);
    let lifetime = gateway.stream_lifetime();
    if gateway.fleet().is_mixed(&target.service, lifetime, now) {
        gateway.begun_changed.notify_one();
    }
    let keepers = keepers(gateway, stream, KEEPERS);
    sending::notify_begun(gateway, stream, &version, &keepers);
    StreamOrigin::Version(version)
}

/// Returns at which version a request may begin or go on.
///
/// A request that takes up a stream goes on at the version that began it, as this instance, one
/// that keeps it or the store knows, or at the only version that the service has had since.
pub async fn find(gateway: &Arc<Gateway>, request: &CallerRequest) -> StreamOrigin {
    if request.info.last_event.unwrap_or(0) == 0 {
        return StreamOrigin::NotBegun;
    }
    let started = Instant::now();
    let began = request.info.resumes.as_deref().unwrap_or_default();
    let stream = stream_id(began);
    let known = gateway.origins().version(stream).cloned();
    let (version, source) = match known {
        _ if began.is_empty() => (None, "not named"),
        Some(version) => (Some(version), "own"),
        None => (ask(gateway, stream).await, "asked"),
    };
    let (mut version, mut source) = match version {
        Some(version) => (Some(version), source),
        None => (only_version(gateway, request), "only version"),
    };
    if version.is_none() && !began.is_empty() {
        records::read_new(gateway).await;
        version = gateway.origins().version(stream).cloned();
        source = "store";
    }
    info!(
        request = request.info.id,
        resumes = began,
        target_version = version.as_deref().unwrap_or(""),
        source,
        asked_ms = started.elapsed().as_millis() as u64,
        passed_by = request.passed_by(),
        odd_headers = request.has_odd_place(),
        last_event = request.info.last_event.unwrap_or(0);
        "stream is taken up"
    );
    version.map_or(StreamOrigin::Unknown, StreamOrigin::Version)
}

/// Returns the version that began a stream, for an instance that asks.
#[must_use]
pub fn answer_query(gateway: &Gateway, stream: StreamId) -> Option<SoftwareVersion> {
    gateway.origins().version(stream).cloned()
}

/// Asks the instances that keep the version of a stream.
async fn ask(gateway: &Gateway, stream: StreamId) -> Option<SoftwareVersion> {
    let keepers = keepers(gateway, stream, ASKED);
    let mut call = gateway.origin_calls.open(keepers.len());
    let asked = sending::query_origin(gateway, call.number, stream, &keepers);
    let answers = async {
        for _ in 0..asked {
            if let Some(version) = call.answers.recv().await? {
                return Some(version);
            }
        }
        None
    };
    timeout(ASK_TIMEOUT, answers).await.ok()?
}

/// Returns the version at which all streams of a request's service have begun that a caller can
/// take up, if there was only one and the store shows all targets.
fn only_version(gateway: &Gateway, request: &CallerRequest) -> Option<SoftwareVersion> {
    let lifetime = request.route.timeout * STREAM_LIFETIME_FACTOR;
    let now = gateway.now();
    gateway
        .fleet()
        .only_version(&request.service, lifetime, now)
}

/// Returns the instances, without this one, that keep the version of a stream.
fn keepers(gateway: &Gateway, stream: StreamId, count: usize) -> Vec<String> {
    let candidates = gateway.members().issuer_candidates(gateway.now());
    top_ranked(candidates, &format!("stream {stream:x}"), count)
}
