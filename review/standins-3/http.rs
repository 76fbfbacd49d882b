//! Heads and bodies of HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1).unwrap_or_default();
        word.parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes that were read and not used yet.
    pub buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; returns whether there were any.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a line without its end.
    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(Some(text.trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a number of bytes.
    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head; `None` if the connection ended before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.read_line()? else {
            return Ok(None);
        };
        let mut message = Message {
            line,
            ..Message::default()
        };
        loop {
            let line = self.read_line()?;
            let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
    }

    /// Reads a chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or_default().trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let chunk = self.read_exact(size)?;
        self.read_line()?;
        Ok(chunk)
    }

    /// Reads the body that a head announces.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let chunked = message.header("transfer-encoding").is_some();
        if chunked {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(());
                }
                message.body.extend_from_slice(&chunk);
            }
        }
        let length = message.header("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = self.read_exact(length)?;
        Ok(())
    }

    /// Reads a message with its body; `None` if the connection ended before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    /// Writes an answer with a JSON body.
    pub fn answer_json(&mut self, status: u16, body: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all(format!("{head}{body}").as_bytes())
    }
}
