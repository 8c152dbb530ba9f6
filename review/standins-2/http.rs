//! A small HTTP/1.1 server side, and the reading of responses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(other, _)| *other == name).map_or("", |(_, value)| value);
        value.replace("%2F", "/")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(other, _)| other.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

pub struct Response {
    pub status: u16,
    pub headers: String,
    pub body: String,
}

impl Response {
    pub fn json(status: u16, body: &str) -> Self {
        Self { status, headers: "content-type: application/json\r\n".to_owned(), body: body.to_owned() }
    }

    pub fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let (status, headers, body) = (self.status, &self.headers, &self.body);
        let length = body.len();
        let text = format!("HTTP/1.1 {status} S\r\n{headers}content-length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes())
    }
}

/// Reads the head of a message: its first line and its headers.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a request whose body has a length.
pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let length = header(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, target, headers, body })
}

/// Serves the requests of a connection.
pub fn serve(mut stream: TcpStream, handle: impl Fn(Request) -> Response) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(request) = read_request(&mut reader) {
        if handle(request).write(&mut stream).is_err() {
            return;
        }
    }
}

/// A response as a caller sees it.
#[derive(Debug, Default)]
pub struct Received {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the response to its end, or to the end of the connection.
pub fn send(address: SocketAddr, request: &[u8], timeout: Duration) -> Received {
    let mut received = Received::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return received };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    if stream.write_all(request).is_err() {
        return received;
    }
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader) else { return received };
    received.status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let length = header(&headers, "content-length").and_then(|text| text.parse::<usize>().ok());
    let is_chunked = header(&headers, "transfer-encoding").is_some();
    received.headers = headers;
    if let Some(length) = length {
        let mut body = vec![0; length];
        received.is_complete = reader.read_exact(&mut body).is_ok();
        received.body = body;
    } else if is_chunked {
        received.is_complete = read_chunks(&mut reader, &mut received.body).is_some();
    }
    received
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}
