/// A server-sent event.
///
/// # Examples
///
/// ```
/// use carawaycleat_net::sse;
///
/// let mut bytes = Vec::new();
/// sse::Event::new("[DONE]").encode(&mut bytes);
/// assert_eq!(bytes, b"data: [DONE]\n\n");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The event type; none for the default type.
    pub event: Option<String>,
    /// The data, with a line feed between lines.
    pub data: String,
}

impl Event {
    /// Returns an event of the default type.
    #[must_use]
    pub fn new(data: impl Into<String>) -> Self {
        Self {
            event: None,
            data: data.into(),
        }
    }

    /// Appends the encoded event to `out`. Line breaks in the event type are removed.
    pub fn encode(&self, out: &mut Vec<u8>) {
        if let Some(event) = &self.event {
            out.extend_from_slice(b"event: ");
            out.extend(event.bytes().filter(|byte| !matches!(byte, b'\r' | b'\n')));
            out.push(b'\n');
        }
        // A lone carriage return also ends a line of an event stream.
        for line in self.data.replace("\r\n", "\n").split(['\n', '\r']) {
            out.extend_from_slice(b"data: ");
            out.extend_from_slice(line.as_bytes());
            out.push(b'\n');
        }
        out.push(b'\n');
    }
}
