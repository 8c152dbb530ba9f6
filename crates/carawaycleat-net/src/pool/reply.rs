use crate::error;
use crate::headers;
use crate::pool::reader;

/// The answer of a server.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: headers::Headers,
    /// The body.
    pub body: reader::Reader,
}

impl Reply {
    /// Returns the whole body.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::TooLong`] when the body is longer than `limit` bytes, otherwise as
    /// [`reader::Reader::next`].
    pub async fn bytes(mut self, limit: usize) -> error::Result<Vec<u8>> {
        self.body.bytes(limit).await
    }

    /// Closes the connection after this answer.
    pub(super) fn not_reusable(mut self) -> Self {
        self.body.forget_home();
        self
    }
}
