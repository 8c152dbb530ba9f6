use std::net;
use std::time;

use crate::headers;

/// An HTTP request whose body is held in memory.
///
/// # Examples
///
/// ```
/// use carawaycleat_net as net;
///
/// let request = net::Request::new("POST", "/work?fast=1").header("accept", "text/plain").body("job");
/// assert_eq!(request.path, "/work");
/// assert_eq!(request.target(), "/work?fast=1");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method, in upper case.
    pub method: String,
    /// The path without the query, as sent by the caller.
    pub path: String,
    /// The query without the question mark.
    pub query: Option<String>,
    /// The headers.
    pub headers: headers::Headers,
    /// The body.
    pub body: Vec<u8>,
    /// The address of the caller, set by the server; none in a request that a client sends.
    pub peer: Option<net::SocketAddr>,
    /// When the connection was accepted, set by the server; none in a request that a client sends.
    pub accepted: Option<time::Instant>,
}

impl Request {
    /// Returns a request without headers and body. A query string in `path` is moved to [`Request::query`].
    #[must_use]
    pub fn new(method: impl Into<String>, path: impl AsRef<str>) -> Self {
        let (path, query) = match path.as_ref().split_once('?') {
            Some((path, query)) => (path, Some(query.to_owned())),
            None => (path.as_ref(), None),
        };
        Self {
            method: method.into(),
            path: path.to_owned(),
            query,
            ..Self::default()
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.append(name, value);
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, bytes: impl Into<Vec<u8>>) -> Self {
        self.body = bytes.into();
        self
    }

    /// Returns the path with the query.
    #[must_use]
    pub fn target(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}
