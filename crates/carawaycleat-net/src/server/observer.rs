use std::fmt;

use crate::request;

/// A closure that is told of the requests whose caller disconnected before their handler was started.
pub(super) struct Observer(Box<dyn Fn(&request::Request) + Send + Sync>);

impl Observer {
    pub(super) fn new(observe: impl Fn(&request::Request) + Send + Sync + 'static) -> Self {
        Self(Box::new(observe))
    }

    pub(super) fn observe(&self, request: &request::Request) {
        (self.0)(request);
    }
}

impl fmt::Debug for Observer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Observer")
    }
}
