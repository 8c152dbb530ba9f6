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
    /// Whether what follows these events is no event, for example the head of another response. Nothing after it belongs
    /// to the stream.
    pub is_malformed: bool,
}

/// Splits an event stream at event boundaries without changing its bytes.
///
/// Every event has to have a numeric identifier. The lines of an event are its fields and comments; its first line may also
/// be a field whose name begins with `x-`. Blocks of comments are allowed between events.
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
    /// Whether the current event has a line that is no comment.
    has_field: bool,
    is_malformed: bool,
}

/// The names of the fields of an event.
const FIELDS: [&[u8]; 4] = [b"id", b"data", b"event", b"retry"];
/// The beginning of the names of further fields.
const EXTENSION_PREFIX: &[u8] = b"x-";

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
        while !self.is_malformed
            && let Some(length) = self.buffer[position..]
                .iter()
                .position(|byte| *byte == b'\n')
        {
            let end = position + length;
            let line = self.buffer[self.line_start..end].trim_ascii_end();
            if line.is_empty() {
                let id = self.id.take();
                if std::mem::take(&mut self.has_field) && id.is_none() {
                    self.is_malformed = true;
                    break;
                }
                complete = end + 1;
                batch.ids.extend(id.map(|id| (id, complete)));
            } else if !line.starts_with(b":") {
                self.is_malformed = !is_field(line, !self.has_field);
                self.has_field = true;
                if let Some(id) = line.strip_prefix(b"id:") {
                    let id = std::str::from_utf8(id).ok();
                    self.id = id.and_then(|id| id.trim().parse().ok());
                }
            }
            position = end + 1;
            self.line_start = position;
        }
        batch.is_malformed = self.is_malformed;
        batch.bytes = self.buffer[..complete].to_vec();
        self.buffer.drain(..complete);
        self.line_start = self.line_start.saturating_sub(complete);
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

/// Returns whether a line is a field of an event.
fn is_field(line: &[u8], is_first: bool) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    FIELDS.contains(&name)
        || is_first && name.len() < line.len() && name.starts_with(EXTENSION_PREFIX)
}
