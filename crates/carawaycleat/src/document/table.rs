use std::cell;
use std::fmt;
use std::ops;
use std::str;

use carawaycleat_core::name;
use toml::de;

const NAME: &str = "a name of 1 to 128 characters of a-z, A-Z, 0-9, '-', '_', '.' and '@'";

/// A table of a document, with accessors that read one key each.
///
/// A missing key yields the default. An invalid value is reported and also yields the default, so that reading
/// continues and finds all problems in one pass.
pub(crate) struct Table<'a> {
    sink: &'a super::Sink<'a>,
    path: String,
    line: usize,
    entries: Option<&'a de::DeTable<'a>>,
    /// The keys that were looked up so far; [`finish`](Self::finish) reports all others.
    known_keys: cell::RefCell<Vec<&'static str>>,
}

impl<'a> Table<'a> {
    pub(super) fn root(sink: &'a super::Sink<'a>, entries: &'a de::DeTable<'a>) -> Self {
        Self::new(sink, String::new(), 1, Some(entries))
    }

    fn new(
        sink: &'a super::Sink<'a>,
        path: String,
        line: usize,
        entries: Option<&'a de::DeTable<'a>>,
    ) -> Self {
        let known_keys = cell::RefCell::default();
        Self {
            sink,
            path,
            line,
            entries,
            known_keys,
        }
    }

    /// Returns the line of `key`, or none if the key is missing.
    pub(crate) fn line_of(&self, key: &str) -> Option<usize> {
        let (key, _) = self.entry(key)?;
        Some(self.sink.line(key.span()))
    }

    /// Returns the line at which the table starts.
    pub(crate) fn line(&self) -> usize {
        self.line
    }

    /// Reports an invalid value of `key`, at the line of the key or, if it is missing, of the table.
    pub(crate) fn report(&self, key: &str, found: impl fmt::Display, allowed: impl fmt::Display) {
        self.sink.push(super::Problem {
            line: self.line_of(key).unwrap_or(self.line),
            key: self.path_of(key),
            found: found.to_string(),
            allowed: allowed.to_string(),
        });
    }

    /// Returns the table `key`, or an empty one if it is missing or invalid.
    pub(crate) fn table(&self, key: &'static str) -> Self {
        let entries = match self.value(key) {
            Some(de::DeValue::Table(table)) => Some(table),
            Some(other) => {
                self.report(key, describe(other), "a table");
                None
            }
            None => None,
        };
        let line = self.line_of(key).unwrap_or(self.line);
        Self::new(self.sink, self.path_of(key), line, entries)
    }

    /// Returns the tables of the array `key`, without invalid items; none if the key is missing or invalid.
    pub(crate) fn tables(&self, key: &'static str) -> Vec<Self> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            self.report(
                key,
                describe(value),
                format_args!("an array of tables, `[[{key}]]`"),
            );
            return Vec::new();
        };
        let mut tables = Vec::new();
        for item in array.iter() {
            let line = self.sink.line(item.span());
            match item.get_ref() {
                de::DeValue::Table(table) => {
                    tables.push(Self::new(self.sink, self.path_of(key), line, Some(table)));
                }
                other => self.report(key, describe(other), "tables only"),
            }
        }
        tables
    }

    /// Returns the integer `key`, or `default` if it is missing, not an integer or outside `range`.
    pub(crate) fn integer(
        &self,
        key: &'static str,
        range: ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(value) = self.value(key) else {
            return default;
        };
        match parse_integer(value).filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let (min, max) = range.into_inner();
                self.report(
                    key,
                    describe(value),
                    format_args!("a whole number from {min} to {max}"),
                );
                default
            }
        }
    }

    /// Returns the integer `key` as a size, or `default` if it is missing, not an integer or outside `range`.
    pub(crate) fn size(
        &self,
        key: &'static str,
        range: ops::RangeInclusive<u64>,
        default: usize,
    ) -> usize {
        let number = self.integer(key, range, default as u64);
        usize::try_from(number).unwrap_or(usize::MAX)
    }

    /// Returns the integer or float `key`, or `default` if it is missing, not a number or outside `range`.
    pub(crate) fn number(
        &self,
        key: &'static str,
        range: ops::RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        let Some(value) = self.value(key) else {
            return default;
        };
        let number = match value {
            de::DeValue::Float(float) => float.as_str().parse().ok(),
            de::DeValue::Integer(integer) => integer.as_str().parse().ok(),
            _ => None,
        };
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let (min, max) = range.into_inner();
                self.report(
                    key,
                    describe(value),
                    format_args!("a number from {min} to {max}"),
                );
                default
            }
        }
    }

    /// Returns the boolean `key`, or `default` if it is missing or not a boolean.
    pub(crate) fn flag(&self, key: &'static str, default: bool) -> bool {
        let Some(value) = self.value(key) else {
            return default;
        };
        value.as_bool().unwrap_or_else(|| {
            self.report(key, describe(value), "true or false");
            default
        })
    }

    /// Returns the string `key` parsed as `T`, or none if it is missing or invalid.
    pub(crate) fn parsed<T: str::FromStr>(&self, key: &'static str, allowed: &str) -> Option<T> {
        self.converted(key, allowed, |text| text.parse().ok())
    }

    /// Returns the string `key` converted by `convert`, or `default` if it is missing or invalid.
    pub(crate) fn text<T>(
        &self,
        key: &'static str,
        allowed: &str,
        default: T,
        convert: impl FnOnce(&str) -> Option<T>,
    ) -> T {
        self.converted(key, allowed, convert).unwrap_or(default)
    }

    /// Returns the string `key` converted by `convert`, or none if it is missing or invalid.
    pub(crate) fn converted<T>(
        &self,
        key: &'static str,
        allowed: &str,
        convert: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.value(key)?;
        let converted = value.as_str().and_then(convert);
        if converted.is_none() {
            self.report(key, describe(value), allowed);
        }
        converted
    }

    /// Returns the name `key`, or none if it is missing or invalid. Only an invalid name is reported.
    pub(crate) fn name(&self, key: &'static str) -> Option<name::Name> {
        self.converted(key, NAME, |text| name::Name::parse(text).ok())
    }

    /// Returns the name `key`, or none if it is missing or invalid. Both are reported.
    pub(crate) fn required_name(&self, key: &'static str) -> Option<name::Name> {
        self.require(key, NAME);
        self.name(key)
    }

    /// Returns the names of the array `key`, without invalid items; none if the key is missing or invalid.
    pub(crate) fn names(&self, key: &'static str) -> Vec<name::Name> {
        self.list_with(key, NAME, |text| name::Name::parse(text).ok())
            .unwrap_or_default()
    }

    /// Returns the strings of the array `key` parsed as `T`, without invalid items, or none if the key is missing or
    /// not an array.
    pub(crate) fn list<T: str::FromStr>(&self, key: &'static str, allowed: &str) -> Option<Vec<T>> {
        self.list_with(key, allowed, |text| text.parse().ok())
    }

    /// Returns the strings of the array `key` converted by `convert`, without invalid items, or none if the key is
    /// missing or not an array.
    pub(crate) fn list_with<T>(
        &self,
        key: &'static str,
        allowed: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Option<Vec<T>> {
        let value = self.value(key)?;
        let Some(array) = value.as_array() else {
            self.report(
                key,
                describe(value),
                format_args!("an array, each {allowed}"),
            );
            return None;
        };
        let mut items = Vec::new();
        for item in array.iter() {
            match item.get_ref().as_str().and_then(&convert) {
                Some(parsed) => items.push(parsed),
                None => self.sink.push(super::Problem {
                    line: self.sink.line(item.span()),
                    key: self.path_of(key),
                    found: describe(item.get_ref()),
                    allowed: allowed.to_owned(),
                }),
            }
        }
        Some(items)
    }

    /// Reports `key` if it is missing.
    pub(crate) fn require(&self, key: &'static str, allowed: &str) {
        if self.value(key).is_none() {
            self.report(key, "nothing", format_args!("{allowed} (required)"));
        }
    }

    /// Reports the keys of the table that no accessor has looked up, as unknown keys.
    pub(crate) fn finish(&self) {
        let known_keys = self.known_keys.borrow();
        for key in self.entries.into_iter().flat_map(|entries| entries.keys()) {
            if !known_keys.contains(&key.get_ref().as_ref()) {
                self.report(key.get_ref(), "an unknown key", known_keys.join(", "));
            }
        }
    }

    /// Returns the number of problems reported so far in the whole document.
    pub(crate) fn problem_count(&self) -> usize {
        self.sink.len()
    }

    /// Marks `key` as known and returns its value.
    pub(crate) fn value(&self, key: &'static str) -> Option<&'a de::DeValue<'a>> {
        if !self.known_keys.borrow().contains(&key) {
            self.known_keys.borrow_mut().push(key);
        }
        self.entry(key).map(|(_, value)| value.get_ref())
    }

    fn entry(
        &self,
        key: &str,
    ) -> Option<(
        &'a toml::Spanned<de::DeString<'a>>,
        &'a toml::Spanned<de::DeValue<'a>>,
    )> {
        self.entries?
            .iter()
            .find(|(candidate, _)| candidate.get_ref() == key)
    }

    /// Returns the dotted path of `key` from the root of the document.
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

fn parse_integer(value: &de::DeValue<'_>) -> Option<u64> {
    let integer = value.as_integer()?;
    u64::from_str_radix(integer.as_str(), integer.radix()).ok()
}

/// Describes a value in an error message: scalars literally, arrays and tables by their type.
pub(super) fn describe(value: &de::DeValue<'_>) -> String {
    match value {
        de::DeValue::String(text) => format!("{text:?}"),
        de::DeValue::Integer(integer) => integer.as_str().to_owned(),
        de::DeValue::Float(float) => float.as_str().to_owned(),
        de::DeValue::Boolean(flag) => flag.to_string(),
        de::DeValue::Datetime(datetime) => datetime.to_string(),
        de::DeValue::Array(_) => "an array".to_owned(),
        de::DeValue::Table(_) => "a table".to_owned(),
    }
}
