//! Clients that send streams at a set rate, each on a new connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// What clients send now.
#[derive(Clone, Copy)]
pub struct Mix {
    pub per_s: f64,
    pub prompt: u32,
    pub output: u32,
}

pub struct Load {
    pub mix: Mutex<Mix>,
    /// Machines that take new connections.
    pub fronts: Mutex<Vec<SocketAddr>>,
    pub served: AtomicUsize,
    pub failed: AtomicUsize,
    stopped: AtomicBool,
    record: Arc<Record>,
}

impl Load {
    pub fn start(mix: Mix, fronts: Vec<SocketAddr>, record: &Arc<Record>) -> Arc<Self> {
        let load = Arc::new(Self {
            mix: Mutex::new(mix),
            fronts: Mutex::new(fronts),
            served: AtomicUsize::new(0),
            failed: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            record: record.clone(),
        });
        let shared = load.clone();
        thread::spawn(move || {
            let mut number = 0u32;
            while !shared.stopped.load(Ordering::Relaxed) {
                let mix = *shared.mix.lock().unwrap();
                number += 1;
                let load = shared.clone();
                thread::spawn(move || load.send(number, mix));
                thread::sleep(Duration::from_secs_f64(1.0 / mix.per_s));
            }
        });
        load
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn send(&self, number: u32, mix: Mix) {
        let fronts = self.fronts.lock().unwrap().clone();
        let front = fronts[number as usize % fronts.len()];
        let id = format!("{:016x}", 0x5000_0000u64 + u64::from(number));
        let text = format!(
            "POST /bylaw/x HTTP/1.1\r\nhost: permits.example\r\nx-request-id: {id}\r\nx-model: m\r\n\
             x-token-counts: {},{}\r\nx-prompt-prefix: {id}:{}\r\nx-deadline-ms: 8000\r\n\
             content-length: 2\r\nconnection: close\r\n\r\nhi",
            mix.prompt, mix.output, mix.prompt
        );
        let result = stream(front, &text);
        match &result {
            Ok(_) => self.served.fetch_add(1, Ordering::Relaxed),
            Err(_) => self.failed.fetch_add(1, Ordering::Relaxed),
        };
        self.record
            .line(&format!("client: {id} to {front}: {result:?}"));
    }
}

/// Sends a request and reads a stream; returns the status, or why it is not whole.
fn stream(front: SocketAddr, text: &str) -> Result<u16, String> {
    let fail = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).map_err(fail)?;
    stream
        .set_read_timeout(Some(Duration::from_secs(9)))
        .map_err(fail)?;
    stream.write_all(text.as_bytes()).map_err(fail)?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)
        .map_err(fail)?
        .ok_or("closed")?;
    let status = head.status();
    http::read_body(&mut reader, &head).map_err(fail)?;
    if status == 200 {
        Ok(status)
    } else {
        Err(format!("status {status}"))
    }
}
