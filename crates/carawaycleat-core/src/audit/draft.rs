use crate::name;
use crate::relay;

/// A configuration as it is written, before entries that stand twice have replaced each other.
#[derive(Clone, Debug)]
pub struct Draft {
    /// The version, which grows with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<relay::Route>,
    /// The services.
    pub services: Vec<(name::Name, relay::Service)>,
    /// The workspaces.
    pub workspaces: Vec<relay::Workspace>,
    /// The limits on requests and connections of callers.
    pub limits: Option<relay::Limits>,
}

impl Draft {
    /// Returns the configuration for serving. Of entries that stand twice, the last one counts.
    #[must_use]
    pub fn into_config(self) -> relay::Config {
        relay::Config::new(
            self.version,
            self.routes,
            self.services.into_iter().collect(),
            self.workspaces,
            self.limits,
        )
    }
}
