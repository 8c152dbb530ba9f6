//! A JSON reader for the messages of the platform.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// Returns the member `name` of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Object(members) => members.get(name),
            _ => None,
        }
    }

    /// Returns the member `name` of an object if it is a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the member `name` of an object if it is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns the members of the list `name` of an object; none when it is missing.
    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Self::List(values)) => values,
            _ => &[],
        }
    }
}

/// Parses a JSON text.
pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut reader = Reader { bytes, at: 0 };
    let value = reader.value()?;
    reader.skip_space();
    (reader.at == bytes.len()).then_some(value)
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip_space();
        (*self.bytes.get(self.at)? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.take(b'{')?;
        let mut members = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Value::Object(members));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            self.take(b':')?;
            members.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Value::Object(members));
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take(b'[')?;
        let mut values = Vec::new();
        if self.take(b']').is_some() {
            return Some(Value::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Value::List(values));
            }
        }
    }

    /// Reads a text. The messages of the platform escape only quotes, backslashes and slashes.
    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    bytes.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn number(&mut self) -> Option<Value> {
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = self.bytes[self.at..]
            .iter()
            .take_while(|byte| is_part(byte))
            .count();
        let text = std::str::from_utf8(&self.bytes[self.at..self.at + length]).ok()?;
        self.at += length;
        text.parse().ok().map(Value::Number)
    }
}
