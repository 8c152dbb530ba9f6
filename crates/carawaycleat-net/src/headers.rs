/// A list of header pairs in order, with case-insensitive names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    pairs: Vec<(String, String)>,
}

impl Headers {
    /// Returns an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the first value of `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns all values of `name` in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Replaces all values of `name` by `value`.
    pub fn set(&mut self, name: impl Into<String>, value: impl Into<String>) {
        let name = name.into();
        self.remove(&name);
        self.pairs.push((name, value.into()));
    }

    /// Adds a pair at the end.
    pub fn append(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.pairs.push((name.into(), value.into()));
    }

    /// Removes all values of `name` and returns the first.
    pub fn remove(&mut self, name: &str) -> Option<String> {
        let mut removed = None;
        self.pairs.retain_mut(|(other, value)| {
            let keep = !other.eq_ignore_ascii_case(name);
            if !keep && removed.is_none() {
                removed = Some(std::mem::take(value));
            }
            keep
        });
        removed
    }

    /// Returns the pairs in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Returns whether `token` is in one of the comma-separated values of `name`.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }
}
