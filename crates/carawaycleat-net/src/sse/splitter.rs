/// The longest event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Whole events in the bytes that a server sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The bytes, unchanged.
    pub bytes: Vec<u8>,
    /// The identifiers of the events that have a numeric one, in order, with the position of each event's end.
    pub ids: Vec<(u64, usize)>,
}

/// Divides a stream of events between events and keeps the bytes as they are.
///
/// # Examples
///
/// ```
/// use carawaycleat_net::sse;
///
/// let mut splitter = sse::Splitter::default();
/// let run = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("short events");
/// assert_eq!(run.bytes, b"id: 1\ndata: a\n\n");
/// assert_eq!(run.ids, [(1, 15)]);
/// assert!(!splitter.is_between_events());
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Where the line in progress starts.
    line: usize,
    id: Option<u64>,
}

impl Splitter {
    /// Adds bytes and returns the events that are whole now.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::TooLong`] when an event is longer than 256 KiB.
    pub fn push(&mut self, bytes: &[u8]) -> crate::Result<Batch> {
        let mut run = Batch::default();
        let mut whole = 0;
        let mut at = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        while let Some(length) = self.buffer[at..].iter().position(|byte| *byte == b'\n') {
            let end = at + length;
            let line = self.buffer[self.line..end].trim_ascii_end();
            if line.is_empty() {
                whole = end + 1;
                run.ids.extend(self.id.take().map(|id| (id, whole)));
            } else if let Some(id) = line.strip_prefix(b"id:") {
                let id = std::str::from_utf8(id).ok();
                self.id = id.and_then(|id| id.trim().parse().ok());
            }
            at = end + 1;
            self.line = at;
        }
        run.bytes = self.buffer[..whole].to_vec();
        self.buffer.drain(..whole);
        self.line -= whole;
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(crate::Error::TooLong(MAX_EVENT_BYTES));
        }
        Ok(run)
    }

    /// Returns whether the bytes received so far end with a whole event.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }
}
