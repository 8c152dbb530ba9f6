use std::collections;
use std::time;

use carawaycleat_net as net;

use crate::json as body;

/// The maximum length of a line in bytes. Each line is one JSON message.
const MAX_LINE_BYTES: usize = 64 << 20;

/// A stream of changes, see [`Client::watch`](crate::Client::watch).
#[derive(Debug)]
pub struct Watch {
    reader: net::Reader,
    /// The start of an incomplete line.
    buffer: Vec<u8>,
    /// Complete lines that have not been returned.
    lines: collections::VecDeque<Vec<u8>>,
}

impl Watch {
    pub(crate) fn new(reader: net::Reader) -> Self {
        Self {
            reader,
            buffer: Vec::new(),
            lines: collections::VecDeque::new(),
        }
    }

    /// Waits for the next message and returns the revision that the watch has reached and the changes, in ascending
    /// order of revision. `timeout` limits the wait for each piece of the message.
    ///
    /// A message without changes shows that the connection is alive.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing arrives in time, if the connection ends, or if the store cancels the watch. A new
    /// watch has to be created after that.
    pub async fn next(
        &mut self,
        timeout: time::Duration,
    ) -> crate::Result<(u64, Vec<crate::Change>)> {
        let line = self.line(timeout).await?;
        let message: body::Streamed<body::Watch> = serde_json::from_slice(&line)?;
        let Some(watch) = message.result else {
            let reason = message.error.unwrap_or_default().message;
            return Err(crate::Error::Refused(200, reason));
        };
        if watch.compact_revision > 0 {
            return Err(crate::Error::Compacted(watch.compact_revision));
        }
        if watch.canceled {
            return Err(crate::Error::Refused(200, watch.cancel_reason));
        }
        let changes = watch.events.into_iter().map(body::Event::into_change);
        Ok((
            watch.header.revision,
            changes.collect::<crate::Result<_>>()?,
        ))
    }

    async fn line(&mut self, timeout: time::Duration) -> crate::Result<Vec<u8>> {
        loop {
            if let Some(line) = self.lines.pop_front() {
                return Ok(line);
            }
            let piece = self.reader.next_within(timeout).await;
            let Some(piece) = piece.map_err(|e| crate::Error::Unavailable(true, e))? else {
                return Err(crate::Error::Refused(200, "the watch ended".to_owned()));
            };
            self.split(&piece)?;
        }
    }

    fn split(&mut self, piece: &[u8]) -> crate::Result<()> {
        for part in piece.split_inclusive(|&b| b == b'\n') {
            self.buffer.extend_from_slice(part);
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(crate::Error::Malformed(
                    "a line of a watch is too long".to_owned(),
                ));
            }
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.buffer);
                if !line.trim_ascii().is_empty() {
                    self.lines.push_back(line);
                }
            }
        }
        Ok(())
    }
}
