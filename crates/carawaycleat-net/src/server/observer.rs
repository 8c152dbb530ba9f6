use std::fmt;

use crate::request;
use crate::server::unanswered;

/// A closure that is told of the requests without a complete response.
pub(super) struct Observer {
    /// The name of the header that identifies a request.
    id_header: &'static str,
    observe: Box<dyn Fn(unanswered::Unanswered) + Send + Sync>,
}

impl Observer {
    pub(super) fn new(
        id_header: &'static str,
        observe: impl Fn(unanswered::Unanswered) + Send + Sync + 'static,
    ) -> Self {
        Self {
            id_header,
            observe: Box::new(observe),
        }
    }

    pub(super) fn observe(&self, request: unanswered::Unanswered) {
        (self.observe)(request);
    }

    /// Returns the identifier of a request.
    pub(super) fn id(&self, request: &request::Request) -> Option<String> {
        request.headers.get(self.id_header).map(str::to_owned)
    }
}

impl fmt::Debug for Observer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Observer")
    }
}
