use crate::error;
use crate::headers;
use crate::memory;
use crate::pace;
use crate::pool::reader;

/// A response received by a [`Pool`](crate::Pool).
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: headers::Headers,
    /// The body.
    pub body: reader::Reader,
    /// Whether it is the first response on its connection. A later one may be a copy of an earlier one.
    pub is_first: bool,
}

impl Reply {
    /// Returns the whole body.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::TooLong`] if the body is longer than `limit` bytes, and the errors of
    /// [`reader::Reader::next`].
    pub async fn bytes(mut self, limit: usize) -> error::Result<Vec<u8>> {
        self.body.bytes(limit).await
    }

    /// Returns the whole body, whose memory is added to `reservation`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`reader::Reader::bytes_in`].
    pub async fn bytes_in(
        mut self,
        limit: usize,
        reservation: &mut memory::Reservation,
    ) -> error::Result<Vec<u8>> {
        self.body.bytes_in(limit, reservation).await
    }

    /// Returns the whole body, which must not arrive more slowly than `pace`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`reader::Reader::bytes_at`].
    pub async fn bytes_at(mut self, limit: usize, pace: pace::Pace) -> error::Result<Vec<u8>> {
        self.body.bytes_at(limit, pace).await
    }

    /// Makes the connection close after this response.
    #[must_use]
    pub fn without_reuse(mut self) -> Self {
        self.body.disable_reuse();
        self
    }
}
