//! Clients, which send one request after the other on a kept connection.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::record::Record;

/// Host to which requests are addressed.
pub const HOST: &str = "ficu95.example";

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// Whether it may run once at most.
    pub is_unsafe: bool,
    /// The address that it was sent to.
    pub front: SocketAddr,
    /// The time at which it was sent, in milliseconds since the start.
    pub sent: u64,
    /// The status of the answer, 0 for a connection that ended without one.
    pub status: u16,
    /// The body of the answer.
    pub body: String,
}

/// All requests that have ended.
pub type Requests = Arc<Mutex<Vec<Sent>>>;

/// Starts a client of one address, which sends a request after each pause until `stop` is set.
pub fn start(
    (number, front, pause): (u64, SocketAddr, Duration),
    record: &Record,
    requests: &Requests,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, requests, stop) = (record.clone(), requests.clone(), stop.clone());
    thread::spawn(move || {
        let count = AtomicU64::new(0);
        let mut kept: Option<Connection> = None;
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(pause);
            let turn = count.fetch_add(1, Ordering::SeqCst);
            let id = format!("{:08x}{:08x}", number + 1, turn);
            let is_unsafe = turn % 2 == 0;
            let connection = kept.take().or_else(|| {
                let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
                stream
                    .set_read_timeout(Some(Duration::from_millis(1700)))
                    .ok()?;
                Some(Connection::new(stream))
            });
            let Some(mut connection) = connection else {
                continue;
            };
            let request = if is_unsafe {
                let body = format!("book {id}");
                format!(
                    "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
                     X-Deadline-Ms: 1500\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            } else {
                format!(
                    "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
                     X-Deadline-Ms: 1500\r\n\r\n"
                )
            };
            let kind = if is_unsafe { "POST" } else { "GET" };
            let sent = record.line(&format!("client sends {id} {kind} to {front}"));
            let answer = connection
                .stream
                .write_all(request.as_bytes())
                .and_then(|()| connection.read());
            let (status, body) = match answer {
                Ok(Some(answer)) => {
                    if answer.header("connection") != Some("close") {
                        kept = Some(connection);
                    }
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    (answer.status(), body)
                }
                Ok(None) | Err(_) => (0, String::new()),
            };
            record.line(&format!("client gets {id} {status}"));
            let mut requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
            requests.push(Sent {
                id,
                is_unsafe,
                front,
                sent,
                status,
                body,
            });
        }
    })
}
