/// The maximum length of an event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Complete consecutive events, as received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The received bytes, unchanged.
    pub bytes: Vec<u8>,
    /// The numeric event identifiers in order, each with the end position of its event in `bytes`. Events without a
    /// numeric identifier are left out.
    pub ids: Vec<(u64, usize)>,
}

/// Splits an event stream at event boundaries without changing its bytes.
///
/// # Examples
///
/// ```
/// use carawaycleat_net::sse;
///
/// let mut splitter = sse::Splitter::default();
/// let batch = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("short events");
/// assert_eq!(batch.bytes, b"id: 1\ndata: a\n\n");
/// assert_eq!(batch.ids, [(1, 15)]);
/// assert!(!splitter.is_between_events());
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// The position in `buffer` at which the current line starts.
    line_start: usize,
    id: Option<u64>,
}

impl Splitter {
    /// Appends received bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::TooLong`] if an event is longer than 256 KiB.
    pub fn push(&mut self, bytes: &[u8]) -> crate::Result<Batch> {
        let mut batch = Batch::default();
        let mut complete = 0;
        let mut position = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        while let Some(length) = self.buffer[position..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let end = position + length;
            let line = self.buffer[self.line_start..end].trim_ascii_end();
            if line.is_empty() {
                complete = end + 1;
                batch.ids.extend(self.id.take().map(|id| (id, complete)));
            } else if let Some(id) = line.strip_prefix(b"id:") {
                let id = std::str::from_utf8(id).ok();
                self.id = id.and_then(|id| id.trim().parse().ok());
            }
            position = end + 1;
            self.line_start = position;
        }
        batch.bytes = self.buffer[..complete].to_vec();
        self.buffer.drain(..complete);
        self.line_start -= complete;
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(crate::Error::TooLong(MAX_EVENT_BYTES));
        }
        Ok(batch)
    }

    /// Returns whether the bytes received so far end at an event boundary.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }
}
