//! A small reader of JSON.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> Json {
        match self {
            Self::Object(fields) => fields.get(name).cloned().unwrap_or(Self::Null),
            _ => Self::Null,
        }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn text(&self) -> String {
        if let Self::Text(text) = self { text.clone() } else { String::new() }
    }

    pub fn list(&self) -> Vec<Json> {
        if let Self::List(list) = self { list.clone() } else { Vec::new() }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => quoted.extend(['\\', character]),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted + "\""
}

pub fn parse(bytes: &[u8]) -> Option<Json> {
    value(bytes, &mut 0)
}

fn skip(bytes: &[u8], at: &mut usize) -> Option<u8> {
    while bytes.get(*at)?.is_ascii_whitespace() {
        *at += 1;
    }
    bytes.get(*at).copied()
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    match skip(bytes, at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                match skip(bytes, at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        if skip(bytes, at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.insert(name, value(bytes, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Object(fields))
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                match skip(bytes, at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(list))
        }
        b'"' => Some(Json::Text(string(bytes, at)?)),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(text.parse().map_or(Json::Null, Json::Number))
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => text.push(b'\n'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        text.extend(char::from_u32(code).unwrap_or('?').to_string().bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
            }
            byte => text.push(byte),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(text).ok()
}
