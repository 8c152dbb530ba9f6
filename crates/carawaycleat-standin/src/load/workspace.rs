use super::number;

/// How urgent a request is, and what it must attain.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// First token within 0.5 s and a mean gap of at most 48 ms.
    #[default]
    Live,
    /// The whole answer within the plan's bound for short requests.
    Short,
    /// The whole answer within the plan's bound for batch requests.
    Batch,
}

impl Class {
    /// Returns the value of the header `Carawaycleat-Class`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Short => "short",
            Self::Batch => "batch",
        }
    }
}

/// A workspace: its key, its rate limit and what it sends.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name.
    pub name: String,
    /// The key that its requests carry.
    pub key: String,
    /// The rate limit in tokens a second; 0 for none. Only the report uses it.
    #[serde(default, deserialize_with = "number::rate")]
    pub tokens_per_second: f64,
    /// The burst in tokens.
    #[serde(default, deserialize_with = "number::rate")]
    pub burst_tokens: f64,
    /// A change of its rate during the run.
    pub surge: Option<Surge>,
    /// The requests to models.
    #[serde(default)]
    pub loads: Vec<Load>,
    /// The requests to plain services.
    #[serde(default)]
    pub bookings: Vec<Booking>,
}

/// A workspace that sends several times its rate from a given time.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// When it starts, in seconds.
    #[serde(deserialize_with = "number::seconds")]
    pub from_s: f64,
    /// When it ends, in seconds; at the end of the run by default.
    pub to_s: Option<f64>,
    /// The factor on the rate.
    #[serde(deserialize_with = "number::rate")]
    pub factor: f64,
}

/// Requests of one kind to models.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The mean rate outside of bursts.
    #[serde(deserialize_with = "number::rate")]
    pub requests_per_second: f64,
    /// The class.
    #[serde(default)]
    pub class: Class,
    /// Periods with a higher rate.
    pub burst: Option<Burst>,
    /// The models; all when empty.
    #[serde(default)]
    pub models: Vec<toml::Spanned<String>>,
    /// The length of the prompt without the shared prefix, in tokens.
    pub input: Length,
    /// The length of the answer, in tokens.
    pub output: Length,
    /// Shared beginnings of the prompts.
    pub prefixes: Option<Prefixes>,
}

/// Alternating periods, the burst first.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The length of a burst, in seconds.
    #[serde(deserialize_with = "number::period")]
    pub on_s: f64,
    /// The time between two bursts, in seconds.
    #[serde(deserialize_with = "number::seconds")]
    pub off_s: f64,
    /// The factor on the rate during a burst.
    #[serde(deserialize_with = "number::rate")]
    pub factor: f64,
    /// The factor on the rate between two bursts.
    #[serde(default = "one", deserialize_with = "number::rate")]
    pub off_factor: f64,
    /// The time by which the first burst is delayed, in seconds.
    #[serde(default, deserialize_with = "number::seconds")]
    pub offset_s: f64,
}

/// A length that is spread evenly from `mean * (1 - spread)` to `mean * (1 + spread)`.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Length {
    /// The mean in tokens.
    #[serde(deserialize_with = "number::tokens")]
    pub mean: f64,
    /// The spread as a part of the mean.
    #[serde(default, deserialize_with = "number::fraction")]
    pub spread: f64,
}

impl Length {
    /// Returns the longest length.
    pub fn longest(&self) -> f64 {
        (self.mean * (1.0 + self.spread)).ceil()
    }
}

/// Shared beginnings of prompts.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefixes {
    /// The number of different prefixes.
    pub count: std::num::NonZeroU32,
    /// Their length in tokens.
    #[serde(deserialize_with = "number::tokens")]
    pub tokens: f64,
    /// The part of the requests that begin with one.
    #[serde(default = "one", deserialize_with = "number::fraction")]
    pub share: f64,
}

/// Requests of one kind to a plain service.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Booking {
    /// The path, under the prefix of a route.
    pub path: toml::Spanned<String>,
    /// The method.
    #[serde(default)]
    pub method: Method,
    /// The mean rate.
    #[serde(deserialize_with = "number::rate")]
    pub requests_per_second: f64,
    /// The tokens that the route takes from the workspace's bucket for a request.
    #[serde(default, deserialize_with = "number::rate")]
    pub cost_tokens: f64,
    /// The part of the requests with an `Idempotency-Key`.
    #[serde(default, deserialize_with = "number::fraction")]
    pub keyed: f64,
    /// The part of the requests with a key that are repeated at another entry host.
    #[serde(default, deserialize_with = "number::fraction")]
    pub repeated: f64,
    /// The time until the repetition, in milliseconds of real time.
    #[serde(default = "repeat_after")]
    pub repeat_after_ms: u32,
}

/// The method of a [`Booking`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// A look-up, which the system may send again.
    Get,
    /// A change that must run at most once.
    #[default]
    Post,
}

impl Method {
    /// Returns the method in a request line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
        }
    }

    /// Returns whether requests change nothing.
    pub const fn is_safe(self) -> bool {
        matches!(self, Self::Get)
    }
}

pub(super) fn one() -> f64 {
    1.0
}

// Long enough that the repetition seldom overtakes the first request.
fn repeat_after() -> u32 {
    100
}
