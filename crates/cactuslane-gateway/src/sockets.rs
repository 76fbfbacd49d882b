//! Options of TCP sockets.

use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Maximum time for which sent data may remain unacknowledged before the kernel closes the
/// connection (`TCP_USER_TIMEOUT`).
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets the TCP options of a connection that the instance makes; an option that can't be set is only logged.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let results = [
        ("nodelay", stream.set_nodelay(true)),
        (
            "user timeout",
            socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)),
        ),
    ];
    for (option, result) in results {
        if let Err(error) = result {
            log::debug!(option, error:% = error; "socket option refused");
        }
    }
}
