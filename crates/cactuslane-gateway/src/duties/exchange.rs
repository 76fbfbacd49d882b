//! One HTTP exchange with the platform on a connection of its own.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use cactuslane_platform::duties::{Post, headers};
use cactuslane_types::FencingToken;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::sockets::set_socket_options;

/// Timeout of the connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the sending of a call within which its answer must arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which the body of the answer must follow its head; the status alone decides.
const BODY_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest part of a body that is read, in bytes.
const MAX_BODY_BYTES: usize = 4 << 10;

/// Why an exchange has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The duties are not held any more; nothing was sent.
    NotHeld,
    /// Nothing was sent.
    Unsent(String),
    /// The platform may have received the call, or may receive it later.
    Broken(String),
}

/// Sends a call if `is_held` returns true once a connection is open, and returns the status and the
/// text of the answer.
///
/// # Errors
///
/// Returns [`ExchangeError::Unsent`] or [`ExchangeError::NotHeld`] only if nothing was sent.
pub async fn post(
    address: SocketAddr,
    holder: &str,
    token: FencingToken,
    post: Post,
    is_held: impl Fn() -> bool,
) -> Result<(u16, String), ExchangeError> {
    let unsent = |why: String| ExchangeError::Unsent(why);
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let connected = connected.map_err(|_| unsent(format!("no connection to {address} in time")))?;
    let stream =
        connected.map_err(|error| unsent(format!("no connection to {address}: {error}")))?;
    set_socket_options(&stream);
    // Without this, the kernel goes on sending a call after its connection was given up: it could
    // arrive after calls of the next holder.
    if let Err(error) = stream.set_zero_linger() {
        return Err(unsent(format!("socket option refused: {error}")));
    }
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unsent(error.to_string()))?;
    if !is_held() {
        return Err(ExchangeError::NotHeld);
    }
    let mut request = Request::new(Full::new(Bytes::from(post.body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = post.path.parse().unwrap_or_default();
    *request.headers_mut() = headers(address, holder, token);
    let exchange = async {
        let response = sender.try_send_request(request).await;
        let response = response.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let text = error.into_error().to_string();
            if is_unsent {
                ExchangeError::Unsent(text)
            } else {
                ExchangeError::Broken(text)
            }
        })?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
        let text = match timeout(BODY_TIMEOUT, body).await {
            Ok(Ok(body)) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Ok(Err(_)) | Err(_) => String::new(),
        };
        Ok((status, text))
    };
    let (mut exchange, mut connection) = (pin!(exchange), pin!(connection));
    let mut is_open = true;
    // Both run in this task, so that nothing else runs between the check and the sending.
    let answered = timeout(ANSWER_TIMEOUT, async {
        loop {
            tokio::select! {
                biased;
                answer = &mut exchange => return answer,
                _ = &mut connection, if is_open => is_open = false,
            }
        }
    });
    answered
        .await
        .unwrap_or_else(|_| Err(ExchangeError::Broken("no answer in time".to_owned())))
}
