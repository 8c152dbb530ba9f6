use std::fmt::Write as _;
use std::str;

use crate::name;

/// A selection of events; a field that is not set matches every event.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::timeline;
///
/// let filter = timeline::Filter::parse("workspace=city&limit=10")?;
/// assert_eq!(filter.limit, Some(10));
/// assert_eq!(filter.to_query(), "workspace=city&limit=10");
/// # Ok::<(), timeline::Error>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// The identifier of the request.
    pub request: Option<String>,
    /// The workspace.
    pub workspace: Option<name::Name>,
    /// The model.
    pub model: Option<name::Name>,
    /// The upstream.
    pub upstream: Option<name::Name>,
    /// The earliest wall-clock time, in milliseconds since the Unix epoch.
    pub since: Option<u64>,
    /// The largest number of events; the latest are kept.
    pub limit: Option<usize>,
}

impl Filter {
    /// Parses the query part of a URL.
    ///
    /// # Errors
    ///
    /// Returns an error for a parameter that is unknown or has a value that is not allowed.
    pub fn parse(query: &str) -> super::Result<Self> {
        let mut filter = Self::default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            match key {
                "request" => filter.request = Some(parse_request(value)?),
                "workspace" => filter.workspace = Some(parse_name("workspace", value)?),
                "model" => filter.model = Some(parse_name("model", value)?),
                "upstream" => filter.upstream = Some(parse_name("upstream", value)?),
                "since" => filter.since = Some(parse_number("since", value)?),
                "limit" => filter.limit = Some(parse_number("limit", value)?),
                _ => return Err(super::Error::Parameter(key.to_owned())),
            }
        }
        Ok(filter)
    }

    /// Returns the filter as the query part of a URL.
    pub fn to_query(&self) -> String {
        let mut query = String::new();
        let mut append = |key: &str, value: Option<String>| {
            if let Some(value) = value {
                let separator = if query.is_empty() { "" } else { "&" };
                let _ = write!(query, "{separator}{key}={value}");
            }
        };
        append("request", self.request.clone());
        append(
            "workspace",
            self.workspace.as_ref().map(name::Name::to_string),
        );
        append("model", self.model.as_ref().map(name::Name::to_string));
        append(
            "upstream",
            self.upstream.as_ref().map(name::Name::to_string),
        );
        append("since", self.since.map(|since| since.to_string()));
        append("limit", self.limit.map(|limit| limit.to_string()));
        query
    }

    /// Returns whether `event` is selected, regardless of the limit.
    pub fn matches(&self, event: &super::Event) -> bool {
        is_match(&self.request, &event.request)
            && is_match(&self.workspace, &event.workspace)
            && is_match(&self.model, &event.model)
            && is_match(&self.upstream, &event.upstream)
            && self.since.is_none_or(|since| event.stamp.wall_ms >= since)
    }
}

fn is_match<T: PartialEq>(expected: &Option<T>, found: &Option<T>) -> bool {
    expected.is_none() || expected == found
}

fn parse_request(value: &str) -> super::Result<String> {
    // The characters that a name may contain need no escaping in a URL.
    Ok(parse_name("request", value)?.to_string())
}

fn parse_name(key: &'static str, value: &str) -> super::Result<name::Name> {
    name::Name::parse(value)
        .map_err(|_| super::Error::Value(key, "a name of a-z, A-Z, 0-9, '-', '_', '.' and '@'"))
}

fn parse_number<T: str::FromStr>(key: &'static str, value: &str) -> super::Result<T> {
    value
        .parse()
        .map_err(|_| super::Error::Value(key, "a whole number of at least 0"))
}
