use std::fmt;
use std::str;

/// The kind of a resource.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model that callers may request.
    Model,
    /// An adapter on top of a model.
    Adapter,
    /// A version of a model's weights.
    Version,
    /// A workspace, which keys and rates belong to.
    Workspace,
    /// A caller's key.
    Key,
    /// A workspace's rate and burst.
    Rate,
    /// A route from a path prefix to upstreams.
    Route,
    /// An upstream.
    Upstream,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Model,
        Self::Adapter,
        Self::Version,
        Self::Workspace,
        Self::Key,
        Self::Rate,
        Self::Route,
        Self::Upstream,
    ];

    /// Returns the text used in paths, files and store keys.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Version => "version",
            Self::Workspace => "workspace",
            Self::Key => "key",
            Self::Rate => "rate",
            Self::Route => "route",
            Self::Upstream => "upstream",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Kind {
    type Err = super::Error;

    fn from_str(text: &str) -> super::Result<Self> {
        let found = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| super::Error::Kind(text.to_owned()))
    }
}
