//! Tests of which entries apply to the process that serves a connection.

use std::net::{Ipv4Addr, SocketAddr};

use cactuslane_flight::ServingProcess;
use cactuslane_flight::target::{Target, TargetState};
use cactuslane_types::Role;
use yare::parameterized;

/// Returns a target whose entry states a start and a version.
fn target(started_at: Option<u64>, version: Option<&str>) -> Target {
    Target {
        id: "i-1".to_owned(),
        service: "model".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 80)),
        domain: "a".to_owned(),
        slots: 1,
        role: Role::Decode,
        state: TargetState::Ready,
        started_at,
        models: Vec::new(),
        version: version.map(str::to_owned),
        reclaimable: false,
        leaves_in: None,
    }
}

/// Guards against the version of an entry that another process wrote.
#[parameterized(
    same = { Some(5), Some(5), Some("v1"), Some("v1") },
    later = { Some(6), Some(5), Some("v1"), None },
    earlier = { Some(4), Some(5), Some("v1"), None },
    not_stated = { None, Some(5), Some("v1"), None },
    entry_states_none = { Some(5), None, Some("v1"), None },
    nothing_is_stated = { None, None, Some("v1"), Some("v1") },
    no_version = { Some(5), Some(5), None, None },
)]
fn a_version_applies_to_the_process_that_wrote_the_entry(
    stated: Option<u64>,
    registered: Option<u64>,
    version: Option<&str>,
    expected: Option<&str>,
) {
    let target = target(registered, version);
    let process = ServingProcess::stated(stated);
    assert_eq!(process.has_registered(&target), stated == registered);
    assert_eq!(process.version(&target).map(String::as_str), expected);
}
