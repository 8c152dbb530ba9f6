use crate::name;

/// A route from a path prefix to a group of upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path prefix. The route with the longest matching prefix is used.
    pub prefix: String,
    /// The kind of upstreams behind the route.
    pub target: Target,
    /// The group of upstreams; required for a service.
    #[serde(default)]
    pub group: Option<name::Name>,
    /// Whether the route is open to callers without a key.
    #[serde(default)]
    pub open: bool,
    /// The workspaces that may use the route; all if empty.
    #[serde(default)]
    pub workspaces: Vec<name::Name>,
    /// The methods whose operations must be executed at most once, such as `POST`.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
    /// The number of tokens that one request to a service costs.
    #[serde(default = "default_cost")]
    pub cost_tokens: u64,
    /// The time allowed for a response, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

/// The kind of upstreams behind a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Model engines. The request states the model.
    Models,
    /// A plain service.
    Service,
}

/// One hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

const fn default_cost() -> u64 {
    1
}

const fn default_timeout() -> u64 {
    30_000
}

impl Route {
    /// Returns whether an operation with `method` may be executed more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        !self
            .non_idempotent
            .iter()
            .any(|m| m.eq_ignore_ascii_case(method))
    }

    pub(super) fn validate(&self) -> super::Result<()> {
        if !self.prefix.starts_with('/') {
            return Err(super::Error::Field("prefix", "a path that starts with '/'"));
        }
        if self.target == Target::Service && self.group.is_none() {
            return Err(super::Error::Field("group", "given for a service"));
        }
        if !(1..=MAX_TIMEOUT_MS).contains(&self.timeout_ms) {
            return Err(super::Error::Field("timeout_ms", "from 1 to 3600000"));
        }
        if self.open && !self.workspaces.is_empty() {
            return Err(super::Error::Field(
                "workspaces",
                "empty on a route that is open to all",
            ));
        }
        Ok(())
    }
}
