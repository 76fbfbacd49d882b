//! HTTP/1.1 with blocking sockets: a server with a thread for each connection, and a client.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or the head of an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The path with the query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=')
                && key == name
            {
                return decode_percent(value);
            }
        }
        String::new()
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the first line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if message.line.is_empty() {
            message.line = line;
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or comes in chunks; an error means that it broke off.
pub fn read_body(reader: &mut impl BufRead, message: &Message) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|value| value.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// An answer with a whole body.
pub fn answer(status: u16, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Serves requests; the handler writes the answer and returns whether the connection stays open.
pub fn serve<H>(address: SocketAddr, handler: H) -> io::Result<()>
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(mut message)) = read_head(&mut reader) {
                    let Ok(body) = read_body(&mut reader, &message) else {
                        return;
                    };
                    message.body = body;
                    if !handler(&message, &mut writer).unwrap_or(false) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Sends a request on a new connection and reads the whole answer.
pub fn request(address: SocketAddr, text: &str, wait: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut message = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    message.body = read_body(&mut reader, &message)?;
    Ok(message)
}
