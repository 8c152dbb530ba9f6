use crate::request;

/// The position in the response to one request, in tokens or in body bytes.
///
/// A rejected part does not change the position, so after any error the response can be resumed at another upstream
/// from [`position`](Self::position).
///
/// # Examples
///
/// ```
/// use carawaycleat_core::{request, stream};
///
/// let id = request::Id::from_u128(1);
/// let mut cursor = stream::Cursor::new(id);
/// cursor.accept(id, 0)?;
/// assert!(cursor.accept(id, 2).is_err());
/// let second = request::Id::from_u128(2);
/// cursor.resume(second);
/// cursor.accept(second, 1)?;
/// cursor.finish(second, 2)?;
/// assert!(cursor.is_complete());
/// # Ok::<(), stream::Error>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cursor {
    id: request::Id,
    position: u64,
    length: Option<u64>,
    is_complete: bool,
}

impl Cursor {
    /// Returns a cursor at the start of the response to `id`.
    pub const fn new(id: request::Id) -> Self {
        Self {
            id,
            position: 0,
            length: None,
            is_complete: false,
        }
    }

    /// Returns the number of accepted tokens or bytes, which is the position to resume from.
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Returns whether the complete response has arrived.
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Continues at the current position with the response to the attempt `id`.
    pub const fn resume(&mut self, id: request::Id) {
        self.id = id;
    }

    /// Declares the length of the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when a different length was declared before, or more than `length` has arrived.
    pub fn expect_length(&mut self, length: u64) -> super::Result<()> {
        match self.length {
            Some(first) if first != length => {
                return Err(super::Error::LengthMismatch(first, length));
            }
            _ if self.position > length => {
                return Err(super::Error::TooLong(length, self.position));
            }
            _ => self.length = Some(length),
        }
        Ok(())
    }

    /// Accepts the token at `position`.
    ///
    /// # Errors
    ///
    /// Returns an error when the token belongs to another request, is not the next one, or is past the end.
    pub fn accept(&mut self, id: request::Id, position: u64) -> super::Result<()> {
        self.check_open(id)?;
        if position > self.position {
            return Err(super::Error::Gap(self.position, position));
        }
        if position < self.position {
            return Err(super::Error::Duplicate(self.position, position));
        }
        self.advance(1)
    }

    /// Accepts the next `bytes` bytes of a body.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes belong to another request or are past the end.
    pub fn accept_bytes(&mut self, id: request::Id, bytes: u64) -> super::Result<()> {
        self.check_open(id)?;
        self.advance(bytes)
    }

    /// Ends the response, whose total length is `count`, including the parts from earlier attempts.
    ///
    /// # Errors
    ///
    /// Returns an error when the end belongs to another request, or when `count` or the declared length differs from
    /// what has arrived.
    pub fn finish(&mut self, id: request::Id, count: u64) -> super::Result<()> {
        self.check_open(id)?;
        for expected in [Some(count), self.length].into_iter().flatten() {
            if self.position < expected {
                return Err(super::Error::Truncated(expected, self.position));
            }
            if self.position > expected {
                return Err(super::Error::TooLong(expected, self.position));
            }
        }
        self.is_complete = true;
        Ok(())
    }

    /// Checks that the response had ended when its connection closed.
    ///
    /// # Errors
    ///
    /// Returns an error when the end has not arrived. The end of the connection alone never completes a response,
    /// because it looks the same when the upstream is killed.
    pub const fn close(&self) -> super::Result<()> {
        match (self.is_complete, self.length) {
            (true, _) => Ok(()),
            (false, Some(length)) if self.position < length => {
                Err(super::Error::Truncated(length, self.position))
            }
            (false, _) => Err(super::Error::Closed(self.position)),
        }
    }

    fn check_open(&self, id: request::Id) -> super::Result<()> {
        if id != self.id {
            return Err(super::Error::Mismatched(self.id, id));
        }
        if self.is_complete {
            return Err(super::Error::AfterEnd);
        }
        Ok(())
    }

    fn advance(&mut self, count: u64) -> super::Result<()> {
        let position = self.position.saturating_add(count);
        match self.length {
            Some(length) if position > length => Err(super::Error::TooLong(length, position)),
            _ => {
                self.position = position;
                Ok(())
            }
        }
    }
}
