use super::Origin;
use super::Resumption;
use super::digest;
use crate::clock;
use crate::name;
use crate::relay::registration;

/// The software versions that may go on with the response to a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Pin {
    /// All.
    Free,
    /// The one that began the stream.
    To(Origin),
    /// None, because it is not known which one began the stream.
    Unknown,
}

/// The stream of a request.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    /// The stream that the caller goes on with; none for a new request.
    pub(crate) resumption: Option<Resumption>,
    pub(crate) pin: Pin,
    /// Since when the origin of a stream that the caller goes on with is looked up.
    pub(crate) sought_since: Option<clock::Instant>,
}

impl Stream {
    /// Returns the stream of a request that has just arrived.
    pub(crate) fn new(resumption: Option<Resumption>) -> Self {
        Self {
            resumption,
            pin: Pin::Free,
            sought_since: None,
        }
    }

    /// Returns the digest of the request that began the stream; none when the caller goes on with a stream that it does
    /// not name.
    pub(crate) fn digest(&self, request_id: &str) -> Option<u64> {
        match &self.resumption {
            None => Some(digest(request_id)),
            Some(resumption) => resumption.stream.as_deref().map(digest),
        }
    }

    /// Returns whether an upstream with this registration may go on with the stream.
    pub(crate) fn permits(&self, registration: &registration::Registration) -> bool {
        match &self.pin {
            Pin::Free => true,
            Pin::To(origin) => {
                origin.version == registration.version && origin.service == registration.service
            }
            Pin::Unknown => false,
        }
    }

    /// Returns whether the process that an attempt was sent to may bring events of the stream: it is certainly of the version
    /// that wrote the earlier ones, or there are none.
    pub(crate) fn admits(&self, life: &Life) -> bool {
        match &self.pin {
            Pin::Free => true,
            Pin::To(origin) => life.other.is_none() && life.origin == *origin,
            Pin::Unknown => false,
        }
    }
}

/// The process of an upstream that an attempt was sent to.
#[derive(Clone, Debug)]
pub(crate) struct Life {
    /// Its service and version when the attempt was sent.
    pub(crate) origin: Origin,
    /// What a registration has said since: the process that responds may be of this origin instead.
    pub(crate) other: Option<Origin>,
}

impl registration::Registration {
    /// Returns the service and the software version.
    pub(crate) fn origin(&self) -> Origin {
        Origin {
            service: name::Name::clone(&self.service),
            version: self.version.clone(),
        }
    }
}
