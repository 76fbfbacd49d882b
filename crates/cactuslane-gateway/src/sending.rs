//! Sending of messages to the other instances.

use std::net::SocketAddr;

use cactuslane_authority::UsageUpdate;
use cactuslane_flight::origin::StreamId;
use cactuslane_place::{LimitNotice, Suspect};
use cactuslane_types::{Era, FIRST_ERA, InstanceId, TargetId};
use log::{debug, warn};
use tokio::net::UdpSocket;

use crate::calls::CallNumber;
use crate::limits::permits::PermitRequest;
use crate::messages::Message;
use crate::relay::Relay;
use crate::state::Gateway;

/// Sends relays of an era to the other instances of the same failure domain.
pub fn send_relays(gateway: &Gateway, socket: &UdpSocket, era: Era, relays: Vec<Relay>) {
    let peers = gateway
        .members()
        .domain_peer_addresses(&gateway.settings().domain);
    for relay in relays {
        let message = if era > FIRST_ERA {
            Message::RelayOfEra(era, relay)
        } else {
            Message::Relay(relay)
        };
        send(socket, &message, &peers);
    }
}

/// Notifies the other instances of the limit of a target.
pub fn notify_limit(gateway: &Gateway, notice: LimitNotice) {
    let Some(socket) = gateway.peer_socket.get() else {
        return;
    };
    let message = Message::Limit(gateway.settings().instance.clone(), notice);
    send(socket, &message, &gateway.members().peer_addresses());
}

/// Sends a request for a permit to an instance; returns false if that is not reachable.
#[must_use]
pub fn request_permit(gateway: &Gateway, issuer: &str, request: PermitRequest) -> bool {
    let address = gateway.members().reachable_address(issuer, gateway.now());
    let (Some(address), Some(socket)) = (address, gateway.peer_socket.get()) else {
        return false;
    };
    let me = gateway.settings().instance.clone();
    send(socket, &Message::PermitRequest(me, request), &[address]);
    true
}

/// Sends a request for a trial of a held suspect to an instance; returns false if that is not
/// reachable.
#[must_use]
pub fn request_trial(gateway: &Gateway, owner: &str, number: CallNumber, suspect: Suspect) -> bool {
    let address = gateway.members().reachable_address(owner, gateway.now());
    let (Some(address), Some(socket)) = (address, gateway.peer_socket.get()) else {
        return false;
    };
    send(socket, &Message::TrialRequest(number, suspect), &[address]);
    true
}

/// Tells instances which version began a stream.
pub fn notify_begun(gateway: &Gateway, stream: StreamId, version: &str, keepers: &[InstanceId]) {
    send_to(
        gateway,
        &Message::StreamBegun(stream, version.to_owned()),
        keepers,
    );
}

/// Asks instances which version began a stream; returns the number of those that are reachable.
#[must_use]
pub fn query_origin(
    gateway: &Gateway,
    number: CallNumber,
    stream: StreamId,
    keepers: &[InstanceId],
) -> usize {
    send_to(gateway, &Message::OriginQuery(number, stream), keepers)
}

/// Asks the other instances whether bytes arrive from now on of the process of a target that started
/// at a Unix time in milliseconds.
pub fn query_process(gateway: &Gateway, number: CallNumber, target: &TargetId, started_at: u64) {
    let Some(socket) = gateway.peer_socket.get() else {
        return;
    };
    let message = Message::ProcessQuery(number, target.clone(), started_at);
    send(socket, &message, &gateway.members().peer_addresses());
}

/// Sends counts of customers' requests to instances, also to those from which no message arrives.
pub fn send_usage(gateway: &Gateway, update: UsageUpdate, instances: &[InstanceId]) {
    let Some(socket) = gateway.peer_socket.get() else {
        return;
    };
    let members = gateway.members();
    let addresses = instances.iter();
    let addresses = addresses.filter_map(|instance| members.peer_address(instance));
    let addresses: Vec<SocketAddr> = addresses.collect();
    drop(members);
    send(socket, &Message::Usage(update), &addresses);
}

/// Sends a message to those of some instances that are reachable, and returns their number.
fn send_to(gateway: &Gateway, message: &Message, instances: &[InstanceId]) -> usize {
    let Some(socket) = gateway.peer_socket.get() else {
        return 0;
    };
    let (members, now) = (gateway.members(), gateway.now());
    let addresses = instances.iter();
    let addresses = addresses.filter_map(|instance| members.reachable_address(instance, now));
    let addresses: Vec<SocketAddr> = addresses.collect();
    drop(members);
    send(socket, message, &addresses);
    addresses.len()
}

/// Sends a message to some instances; one that cannot be sent is dropped.
pub fn send(socket: &UdpSocket, message: &Message, peers: &[SocketAddr]) {
    let message = match message.encode() {
        Ok(message) => message,
        Err(error) => {
            warn!(error:% = error; "message not encoded");
            return;
        }
    };
    for peer in peers {
        if let Err(error) = socket.try_send_to(&message, *peer) {
            debug!(peer:% = peer, error:% = error; "message not sent");
        }
    }
}
