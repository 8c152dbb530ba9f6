use crate::request;

/// The position in the answer to one request, in tokens or in body bytes.
///
/// A part that is refused does not move the position, so an answer can be resumed elsewhere at
/// [`position`](Self::position) after any error.
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
    /// Returns a cursor at the start of the answer to `id`.
    pub const fn new(id: request::Id) -> Self {
        Self {
            id,
            position: 0,
            length: None,
            is_complete: false,
        }
    }

    /// Returns the number of tokens or bytes that were accepted, which is where to resume.
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Returns whether the whole answer has arrived.
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Continues at the present position with the answer to another attempt.
    pub const fn resume(&mut self, id: request::Id) {
        self.id = id;
    }

    /// Declares the length of the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error when another length was declared before, or more than `length` has arrived.
    pub fn expect_length(&mut self, length: u64) -> super::Result<()> {
        match self.length {
            Some(first) if first != length => return Err(super::Error::Length(first, length)),
            _ if self.position > length => return Err(super::Error::Long(length, self.position)),
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
            return Err(super::Error::Repeat(self.position, position));
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

    /// Ends the answer, whose whole length including what an earlier attempt delivered is `count`.
    ///
    /// # Errors
    ///
    /// Returns an error when the end belongs to another request, or `count` or the declared length is not what
    /// has arrived.
    pub fn finish(&mut self, id: request::Id, count: u64) -> super::Result<()> {
        self.check_open(id)?;
        for expected in [Some(count), self.length].into_iter().flatten() {
            if self.position < expected {
                return Err(super::Error::Short(expected, self.position));
            }
            if self.position > expected {
                return Err(super::Error::Long(expected, self.position));
            }
        }
        self.is_complete = true;
        Ok(())
    }

    /// Checks that the answer had ended when its connection closed.
    ///
    /// # Errors
    ///
    /// Returns an error when the end has not arrived. The end of the connection alone never completes an answer:
    /// it looks the same when the upstream is killed.
    pub const fn close(&self) -> super::Result<()> {
        match (self.is_complete, self.length) {
            (true, _) => Ok(()),
            (false, Some(length)) if self.position < length => {
                Err(super::Error::Short(length, self.position))
            }
            (false, _) => Err(super::Error::Closed(self.position)),
        }
    }

    fn check_open(&self, id: request::Id) -> super::Result<()> {
        if id != self.id {
            return Err(super::Error::Mismatched(self.id, id));
        }
        if self.is_complete {
            return Err(super::Error::Ended);
        }
        Ok(())
    }

    fn advance(&mut self, count: u64) -> super::Result<()> {
        let position = self.position.saturating_add(count);
        match self.length {
            Some(length) if position > length => Err(super::Error::Long(length, position)),
            _ => {
                self.position = position;
                Ok(())
            }
        }
    }
}
