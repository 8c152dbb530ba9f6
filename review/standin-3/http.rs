//! HTTP/1.1 messages on blocking sockets.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;

/// A received request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter in the query of a request.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(other, _)| *other == name);
        found.map_or_else(String::new, |(_, value)| value.replace("%2F", "/"))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Bytes of a connection that were received and not consumed.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_nonblocking(false);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Receives more bytes. Fails at the end of the connection.
    fn receive(&mut self) -> io::Result<()> {
        let mut bytes = [0; 8192];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.buffer.extend_from_slice(&bytes[..length]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.receive()?;
        }
    }

    /// Receives the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
        Ok(Message {
            line,
            headers,
            body: Vec::new(),
        })
    }

    fn bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.receive()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Receives the next chunk of a body; an empty one at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.bytes(size)?;
        self.line()?;
        Ok(bytes)
    }

    /// Receives a message with its body.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(message);
                }
                message.body.extend(chunk);
            }
        }
        let length = message.header("content-length").unwrap_or("0");
        let length = length.parse().unwrap_or(0);
        message.body = self.bytes(length)?;
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a response with a body.
    pub fn respond(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let text =
            format!("HTTP/1.1 {status} -\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
        self.send(text.as_bytes())
    }
}
