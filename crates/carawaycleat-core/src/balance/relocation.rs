use std::time;

use crate::name;
use crate::timeline;

/// The reasons to ask a caller to connect anew.
#[derive(Clone, Debug)]
pub struct Relocation {
    /// The host that has returned.
    pub host: name::Name,
    /// The age of the connection.
    pub age: time::Duration,
    /// The requests per second of this host.
    pub load: f64,
    /// The mean of the hosts among which the callers are distributed.
    pub mean_load: f64,
    /// The age of that mean.
    pub load_age: time::Duration,
}

impl Relocation {
    /// Returns the decision as it is logged for a request.
    #[must_use]
    pub fn decision(self, request: String) -> timeline::Decision {
        timeline::Decision::new("moved")
            .with_request(request)
            .with("returned", &self.host)
            .with("age_ms", timeline::Value::millis(self.age))
            .with("load", self.load.round() as u64)
            .with("mean_load", self.mean_load.round() as u64)
            .with("load_age_ms", timeline::Value::millis(self.load_age))
    }
}
