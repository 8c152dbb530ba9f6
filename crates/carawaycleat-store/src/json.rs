//! Message bodies of the JSON gateway.
//!
//! Bytes are encoded in base64, 64-bit numbers as strings, and fields with default values are omitted.

use base64::prelude::*;
use serde_json::json;

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    #[serde(deserialize_with = "number")]
    pub(crate) revision: u64,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub(crate) struct KeyValue {
    key: String,
    value: String,
    #[serde(deserialize_with = "number")]
    create_revision: u64,
    #[serde(deserialize_with = "number")]
    mod_revision: u64,
    #[serde(deserialize_with = "number")]
    lease: u64,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub(crate) struct Range {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<KeyValue>,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub(crate) struct Transaction {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<Response>,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub(crate) struct Response {
    pub(crate) response_range: Range,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub(crate) struct Lease {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub(crate) id: u64,
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub(crate) ttl: u64,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub(crate) struct Streamed<T> {
    pub(crate) result: Option<T>,
    pub(crate) error: Option<Failure>,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub(crate) struct Failure {
    pub(crate) message: String,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub(crate) struct Watch {
    pub(crate) header: Header,
    pub(crate) canceled: bool,
    pub(crate) cancel_reason: String,
    #[serde(deserialize_with = "number")]
    pub(crate) compact_revision: u64,
    pub(crate) events: Vec<Event>,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub(crate) struct Event {
    r#type: String,
    kv: KeyValue,
}

impl Header {
    /// Returns the revision of the store, which every response contains.
    ///
    /// Fields with default values are omitted, so that without this check an empty body would be read as the response
    /// that a condition did not hold.
    pub(crate) fn checked_revision(&self) -> crate::Result<u64> {
        match self.revision {
            0 => Err(crate::Error::Malformed(
                "a response without a revision".to_owned(),
            )),
            revision => Ok(revision),
        }
    }
}

impl KeyValue {
    pub(crate) fn into_pair(self) -> crate::Result<crate::Pair> {
        Ok(crate::Pair {
            key: String::from_utf8(BASE64_STANDARD.decode(&self.key)?)?,
            value: BASE64_STANDARD.decode(&self.value)?,
            create_revision: self.create_revision,
            mod_revision: self.mod_revision,
            lease: self.lease.cast_signed(),
        })
    }
}

impl Event {
    pub(crate) fn into_change(self) -> crate::Result<crate::Change> {
        let is_deletion = self.r#type == "DELETE";
        let pair = self.kv.into_pair()?;
        Ok(crate::Change {
            key: pair.key,
            value: (!is_deletion).then_some(pair.value),
            revision: pair.mod_revision,
        })
    }
}

pub(crate) fn pairs(kvs: Vec<KeyValue>) -> crate::Result<Vec<crate::Pair>> {
    kvs.into_iter().map(KeyValue::into_pair).collect()
}

pub(crate) fn encode(bytes: impl AsRef<[u8]>) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Returns the first key after all keys with `prefix`.
pub(crate) fn end_of(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // In the protocol, a single zero byte means "to the end of the key space".
    vec![0]
}

pub(crate) fn transaction(transaction: &crate::Transaction) -> serde_json::Value {
    let compare: Vec<_> = transaction.conditions.iter().map(condition).collect();
    let success: Vec<_> = transaction.writes.iter().map(write).collect();
    let failure: Vec<_> = transaction
        .reads
        .iter()
        .map(|key| json!({"request_range": {"key": encode(key)}}))
        .collect();
    json!({"compare": compare, "success": success, "failure": failure})
}

fn condition(condition: &crate::Condition) -> serde_json::Value {
    match condition {
        crate::Condition::Absent(key) => {
            json!({"key": encode(key), "target": "CREATE", "result": "EQUAL", "create_revision": "0"})
        }
        crate::Condition::Modified(key, revision) => {
            json!({"key": encode(key), "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string()})
        }
        crate::Condition::Created(key, revision) => {
            json!({"key": encode(key), "target": "CREATE", "result": "EQUAL", "create_revision": revision.to_string()})
        }
    }
}

fn write(write: &crate::Write) -> serde_json::Value {
    match write {
        crate::Write::Put { key, value, lease } => {
            json!({"request_put": {"key": encode(key), "value": encode(value), "lease": lease.to_string()}})
        }
        crate::Write::Delete { key } => json!({"request_delete_range": {"key": encode(key)}}),
    }
}

#[derive(serde::Deserialize)]
#[serde(untagged)]
enum Number {
    Text(String),
    Plain(u64),
}

fn number<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = match serde::Deserialize::deserialize(deserializer)? {
        Number::Plain(value) => return Ok(value),
        Number::Text(text) => text,
    };
    // Lease identifiers are signed; a negative one is converted bit for bit.
    let parsed = text
        .parse::<u64>()
        .or_else(|_| text.parse::<i64>().map(i64::cast_unsigned));
    parsed.map_err(|_| serde::de::Error::custom(format!("{text:?} is not a 64-bit number")))
}
