//! A caller over TCP that shares no code with the system under test.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

/// The longest wait for the next byte of an answer.
const SILENCE: time::Duration = time::Duration::from_secs(25);

/// A request.
#[derive(Clone)]
pub(crate) struct Request {
    method: &'static str,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Request {
    pub(crate) fn new(method: &'static str, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub(crate) fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub(crate) fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    pub(crate) fn json(self, body: &serde_json::Value) -> Self {
        self.header("content-type", "application/json")
            .body(body.to_string())
    }

    /// Sends the request and reads the head of the answer.
    pub(crate) fn open(&self, address: net::SocketAddr) -> io::Result<Stream> {
        let mut socket = net::TcpStream::connect(address)?;
        socket.set_read_timeout(Some(SILENCE))?;
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nhost: {address}\r\n",
            self.method, self.path
        );
        for (name, value) in &self.headers {
            bytes.push_str(&format!("{name}: {value}\r\n"));
        }
        bytes.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        let mut bytes = bytes.into_bytes();
        bytes.extend(&self.body);
        socket.write_all(&bytes)?;
        Stream::read_head(io::BufReader::new(socket))
    }

    /// Sends the request and reads the whole answer.
    pub(crate) fn send(&self, address: net::SocketAddr) -> io::Result<Answer> {
        let mut stream = self.open(address)?;
        let mut body = Vec::new();
        while let Some(bytes) = stream.piece()? {
            body.extend(bytes);
        }
        Ok(Answer {
            status: stream.status,
            headers: stream.headers,
            body,
        })
    }

    /// Sends the request from a thread of its own.
    pub(crate) fn send_later(
        self,
        address: net::SocketAddr,
    ) -> thread::JoinHandle<io::Result<Answer>> {
        thread::spawn(move || self.send(address))
    }

    /// Sends the request, reads its events, and returns how the answer ended.
    pub(crate) fn stream(&self, address: net::SocketAddr) -> Outcome {
        match self.open(address) {
            Ok(stream) => stream.finish(),
            Err(error) => Outcome {
                status: 0,
                text: String::new(),
                end: End::Cut(error.to_string()),
            },
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the reason of a refusal.
    pub(crate) fn code(&self) -> String {
        let body = self.json();
        body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// How a streamed answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// With `[DONE]`.
    Done,
    /// With an error event or an error body that has this code.
    Error(String),
    /// Without either.
    Cut(String),
}

/// A streamed answer as its caller saw it.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) status: u16,
    pub(crate) text: String,
    pub(crate) end: End,
}

impl Outcome {
    /// Checks that the answer is whole and right.
    #[track_caller]
    pub(crate) fn assert_whole(&self, expected: &str) {
        assert_eq!(self.end, End::Done, "status {}, {}", self.status, self.text);
        assert_eq!(self.text, expected);
    }

    /// Checks that the answer is whole and right, or the start of the right one with an explicit error.
    #[track_caller]
    pub(crate) fn assert_whole_or_error(&self, expected: &str) {
        match &self.end {
            End::Done => assert_eq!(self.text, expected),
            End::Error(code) => {
                assert!(!code.is_empty(), "an error without a code: {self:?}");
                assert!(expected.starts_with(&self.text), "wrong text: {self:?}");
            }
            End::Cut(_) => panic!("silently short: {self:?}"),
        }
    }
}

/// The framing of a body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    Left(usize),
}

/// An answer while it arrives.
pub(crate) struct Stream {
    reader: io::BufReader<net::TcpStream>,
    pub(crate) status: u16,
    headers: Vec<(String, String)>,
    framing: Framing,
    pending: String,
    text: String,
    tokens: usize,
    id: String,
    end: Option<End>,
}

impl Stream {
    fn read_head(mut reader: io::BufReader<net::TcpStream>) -> io::Result<Self> {
        let first = line(&mut reader)?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or_else(|| invalid(&first))?;
        let mut headers = Vec::new();
        loop {
            let line = line(&mut reader)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or_else(|| invalid(&line))?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let framing = match length {
            Some((_, length)) => Framing::Left(length.parse().map_err(|_| invalid(length))?),
            None if headers.iter().any(|h| h.0 == "transfer-encoding") => Framing::Chunked,
            None => Framing::Left(0),
        };
        Ok(Self {
            reader,
            status,
            headers,
            framing,
            pending: String::new(),
            text: String::new(),
            tokens: 0,
            id: String::new(),
            end: None,
        })
    }

    /// Reads the next part of the body; none after its end. A body that is shorter than its framing says is an error.
    fn piece(&mut self) -> io::Result<Option<Vec<u8>>> {
        match self.framing {
            Framing::Left(0) => Ok(None),
            Framing::Left(length) => {
                let mut bytes = vec![0; length];
                self.reader.read_exact(&mut bytes)?;
                self.framing = Framing::Left(0);
                Ok(Some(bytes))
            }
            Framing::Chunked => {
                let size = line(&mut self.reader)?;
                let length = usize::from_str_radix(&size, 16).map_err(|_| invalid(&size))?;
                let mut bytes = vec![0; length];
                self.reader.read_exact(&mut bytes)?;
                line(&mut self.reader)?;
                if length == 0 {
                    self.framing = Framing::Left(0);
                    return Ok(None);
                }
                Ok(Some(bytes))
            }
        }
    }

    /// Reads until `count` tokens have come or the answer has ended, and returns the tokens so far.
    pub(crate) fn read_tokens(&mut self, count: usize) -> usize {
        while self.tokens < count && self.end.is_none() {
            match self.piece() {
                Ok(Some(bytes)) => self.take(&bytes),
                Ok(None) => self.end = Some(End::Cut("no [DONE]".to_owned())),
                Err(error) => self.end = Some(End::Cut(error.to_string())),
            }
        }
        self.tokens
    }

    fn take(&mut self, bytes: &[u8]) {
        self.pending.push_str(&String::from_utf8_lossy(bytes));
        if self.status != 200 {
            let body: serde_json::Value = serde_json::from_str(&self.pending).unwrap_or_default();
            let code = body["error"]["code"].as_str().unwrap_or_default();
            self.end = Some(End::Error(code.to_owned()));
            return;
        }
        while let Some(at) = self.pending.find("\n\n") {
            let event: String = self.pending.drain(..at + 2).collect();
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            let data = data.unwrap_or_default();
            if data == "[DONE]" {
                self.end.get_or_insert(End::Done);
                continue;
            }
            let body: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(code) = body["error"]["code"].as_str() {
                self.end = Some(End::Error(code.to_owned()));
            }
            if let Some(id) = body["id"].as_str() {
                id.clone_into(&mut self.id);
            }
            if let Some(text) = body["choices"][0]["delta"]["content"].as_str()
                && !text.is_empty()
            {
                self.tokens += 1;
                self.text.push_str(text);
            }
        }
    }

    /// Returns the id that the last event gave the answer.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Reads to the end of the answer.
    pub(crate) fn finish(mut self) -> Outcome {
        self.read_tokens(usize::MAX);
        Outcome {
            status: self.status,
            text: self.text,
            end: self.end.expect("reading goes on until an end"),
        }
    }
}

fn line(reader: &mut impl io::BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("not HTTP: {text}"))
}
