use crate::body;
use crate::headers;
use crate::memory;
use crate::stream;

/// The response that a handler of a [`Server`](crate::Server) returns.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: headers::Headers,
    /// The body.
    pub body: body::Body,
    /// The memory of the body, which is given back once the response is written.
    pub(crate) reservation: Option<memory::Reservation>,
}

impl Response {
    /// Returns a response without headers and body.
    #[must_use]
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: headers::Headers::new(),
            body: body::Body::default(),
            reservation: None,
        }
    }

    /// Returns a response with a JSON body, or status 500 if the value cannot be represented in JSON.
    #[must_use]
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(bytes) => Self::new(status)
                .header("content-type", "application/json")
                .body(bytes),
            Err(_) => Self::new(500),
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
        self.body = body::Body::Bytes(bytes.into());
        self
    }

    /// Keeps the reservation of the body's memory until the response is written.
    #[must_use]
    pub fn reserved(mut self, reservation: memory::Reservation) -> Self {
        self.reservation = Some(reservation);
        self
    }

    /// Sets a body whose chunks are sent as they are written.
    #[must_use]
    pub fn stream(mut self, stream: stream::Stream) -> Self {
        self.body = body::Body::Stream(stream);
        self
    }
}
