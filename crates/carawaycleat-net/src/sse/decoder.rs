use crate::error;
use crate::sse::event;

/// The maximum length of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An incremental decoder of server-sent events.
///
/// Comments and the fields `id` and `retry` are skipped. Lines end with a line feed, optionally preceded by a carriage
/// return.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    start: usize,
    scanned: usize,
    event: Option<String>,
    data: Option<String>,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.scanned -= self.start;
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is longer than 1 MiB or not UTF-8; the decoder must not be used after that.
    pub fn next_event(&mut self) -> error::Result<Option<event::Event>> {
        while let Some(offset) = self.buffer[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let end = self.scanned + offset;
            let line = self.buffer[self.start..end].to_vec();
            self.start = end + 1;
            self.scanned = self.start;
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if let Some(event) = self.process_line(line)? {
                return Ok(Some(event));
            }
        }
        self.scanned = self.buffer.len();
        self.check_length(self.scanned - self.start)?;
        Ok(None)
    }

    fn process_line(&mut self, line: &[u8]) -> error::Result<Option<event::Event>> {
        if line.is_empty() {
            let event = self.event.take();
            return Ok(self.data.take().map(|data| event::Event { event, data }));
        }
        let line = std::str::from_utf8(line).map_err(error::Error::malformed)?;
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match (field, &mut self.data) {
            ("event", _) => self.event = Some(value.to_owned()),
            ("data", Some(data)) => {
                data.push('\n');
                data.push_str(value);
            }
            ("data", none) => *none = Some(value.to_owned()),
            _ => {}
        }
        self.check_length(0)?;
        Ok(None)
    }

    fn check_length(&self, pending: usize) -> error::Result<()> {
        let data = self.data.as_ref().map_or(0, String::len);
        if data + pending > MAX_EVENT_BYTES {
            return Err(error::Error::TooLong(MAX_EVENT_BYTES));
        }
        Ok(())
    }
}
