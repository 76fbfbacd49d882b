//! Which software version began a stream: what instances tell each other of it, and where a caller
//! may take the stream up again.

pub mod reads;

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::ServingProcess;
use cactuslane_flight::origin::{Evidence, StreamId, StreamOrigin, stream_id};
use cactuslane_flight::target::Target;
use cactuslane_types::SoftwareVersion;
use log::{info, warn};
use tokio::time::{Instant, timeout};

use crate::ranking::top_ranked;
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
/// that keeps it or the store knows, or at the only version that the service has had since, as the
/// store shows once the request has arrived.
pub async fn find(gateway: &Arc<Gateway>, request: &CallerRequest) -> StreamOrigin {
    if request.info.last_event.unwrap_or(0) == 0 {
        return StreamOrigin::NotBegun;
    }
    let (started, arrived) = (Instant::now(), gateway.elapsed());
    let began = request.info.resumes.as_deref().unwrap_or_default();
    let stream = (!began.is_empty()).then(|| stream_id(began));
    let (version, source) = match stream.and_then(|stream| known(gateway, stream)) {
        Some(version) => (Some(version), "own"),
        None => match ask(gateway, stream).await {
            Some(version) => (Some(version), "asked"),
            None => find_in_store(gateway, request, stream, arrived).await,
        },
    };
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
    known(gateway, stream)
}

/// Returns the version that began a stream, if this instance knows it.
fn known(gateway: &Gateway, stream: StreamId) -> Option<SoftwareVersion> {
    gateway.origins().version(stream).cloned()
}

/// Returns the version at which a request that arrived at `arrived` may go on by what the store
/// shows since then, and how that is known.
///
/// Without an answer of the store nothing is known.
async fn find_in_store(
    gateway: &Arc<Gateway>,
    request: &CallerRequest,
    stream: Option<StreamId>,
    arrived: Duration,
) -> (Option<SoftwareVersion>, &'static str) {
    let reads = reads::read_since(gateway, arrived).await;
    if let Some(version) = stream.and_then(|stream| known(gateway, stream)) {
        return (Some(version), "store");
    }
    let evidence = reads.as_deref().and_then(|reads| reads.evidence(arrived));
    let Some(evidence) = evidence else {
        return (None, "store not read");
    };
    match only_version(gateway, request, evidence) {
        Some(version) => (Some(version), "only version"),
        None => (None, "several versions"),
    }
}

/// Asks the instances that keep the version of a stream, if it is named.
async fn ask(gateway: &Gateway, stream: Option<StreamId>) -> Option<SoftwareVersion> {
    let stream = stream?;
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
/// take up, if the store shows only one.
fn only_version(
    gateway: &Gateway,
    request: &CallerRequest,
    evidence: Evidence<'_>,
) -> Option<SoftwareVersion> {
    let lifetime = request.route.timeout * STREAM_LIFETIME_FACTOR;
    let now = gateway.now();
    gateway
        .fleet()
        .only_version(&request.service, lifetime, now, evidence)
}

/// Returns the instances, without this one, that keep the version of a stream.
fn keepers(gateway: &Gateway, stream: StreamId, count: usize) -> Vec<String> {
    let candidates = gateway.members().issuer_candidates(gateway.now());
    top_ranked(candidates, &format!("stream {stream:x}"), count)
}
