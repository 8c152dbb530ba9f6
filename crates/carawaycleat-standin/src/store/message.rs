//! Messages of the JSON gateway of the etcd v3 interface. Fields with their default value are left out of answers.

use super::encoding::base64_bytes;
use super::encoding::int64;

/// The header of each answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Header {
    /// The revision of the store when the answer was made.
    #[serde(with = "int64")]
    pub revision: i64,
}

/// A key with its value.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Pair {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The revision of the creation.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub create_revision: i64,
    /// The revision of the last write.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub mod_revision: i64,
    /// The number of writes since the creation.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub version: i64,
    /// The value.
    #[serde(with = "base64_bytes", skip_serializing_if = "Vec::is_empty")]
    pub value: Vec<u8>,
    /// The lease that the key is attached to, or 0.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub lease: i64,
}

/// A set of keys: one key, or all from `key` up to `range_end`. A `range_end` of one zero byte has no upper bound.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Range {
    /// The key, or the first key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive; empty for one key.
    #[serde(with = "base64_bytes")]
    pub range_end: Vec<u8>,
    /// The most keys in the answer; 0 for all.
    #[serde(with = "int64")]
    pub limit: i64,
    /// The revision to read at; only 0, the current one, is supported.
    #[serde(with = "int64")]
    pub revision: i64,
    /// Whether a deletion answers with the deleted keys.
    pub prev_kv: bool,
}

impl Range {
    /// Returns whether `key` is in the range.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.range_end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

/// A write of one key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Put {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// The lease to attach the key to, or 0.
    #[serde(with = "int64")]
    pub lease: i64,
    /// Whether to answer with the pair before the write.
    pub prev_kv: bool,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Compare {
    /// The relation that must hold.
    pub result: Relation,
    /// The property that is compared.
    pub target: Target,
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The operand of [`Target::Version`].
    #[serde(with = "int64")]
    pub version: i64,
    /// The operand of [`Target::Create`].
    #[serde(with = "int64")]
    pub create_revision: i64,
    /// The operand of [`Target::Mod`].
    #[serde(with = "int64")]
    pub mod_revision: i64,
    /// The operand of [`Target::Value`].
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// The operand of [`Target::Lease`].
    #[serde(with = "int64")]
    pub lease: i64,
}

/// A relation of a [`Compare`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
#[expect(missing_docs, reason = "the names of the protocol say it")]
pub enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

/// A property that a [`Compare`] looks at.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
#[expect(missing_docs, reason = "the names of the protocol say it")]
pub enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Operation {
    /// A read.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    /// A write.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    /// A deletion.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Range),
}

/// A transaction: `success` when all of `compare` hold, else `failure`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Transaction {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// The operations when all conditions hold.
    pub success: Vec<Operation>,
    /// The operations when a condition does not hold.
    pub failure: Vec<Operation>,
}

/// A request about a lease.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Lease {
    /// The lease; 0 in a grant lets the store choose.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    /// The time to live of a grant, in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
}

/// A request for a compaction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Compaction {
    /// The revision up to which the history is dropped.
    #[serde(with = "int64")]
    pub revision: i64,
}

/// A request for a watch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Watch {
    /// The watch to create.
    pub create_request: Create,
}

/// The parameters of a watch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Create {
    /// The keys.
    #[serde(flatten)]
    pub range: Range,
    /// The first revision; 0 starts after the current one.
    #[serde(with = "int64")]
    pub start_revision: i64,
}

/// The answer to a range, put, delete, lease or compaction request; only the fields of that request are set.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Answer {
    /// The header; absent inside of a transaction.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<Header>,
    /// The keys found.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<Pair>,
    /// Whether the limit cut the keys off.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
    /// The number of keys in the range.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub count: i64,
    /// The pair before a put.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prev_kv: Option<Pair>,
    /// The number of deleted keys.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub deleted: i64,
    /// The deleted pairs.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub prev_kvs: Vec<Pair>,
    /// Whether the conditions of a transaction held.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub succeeded: bool,
    /// The answers to the operations of a transaction.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<Response>,
    /// The lease.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "int64::is_zero")]
    pub id: i64,
    /// The time to live of the lease in seconds; left out when the lease does not exist.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "int64::is_zero")]
    pub ttl: i64,
}

/// The answer to one [`Operation`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Response {
    /// The answer to a read.
    #[serde(rename = "response_range")]
    Range(Answer),
    /// The answer to a write.
    #[serde(rename = "response_put")]
    Put(Answer),
    /// The answer to a deletion.
    #[serde(rename = "response_delete_range")]
    Delete(Answer),
}

/// A change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Event {
    /// `DELETE` for a deletion, left out for a write.
    #[serde(rename = "type", default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Deletion>,
    /// The pair after the change.
    pub kv: Pair,
}

/// The kind of an [`Event`] that is no write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Deletion {
    /// The key was deleted or its lease ended.
    #[serde(rename = "DELETE")]
    Delete,
}

/// One message of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Notice {
    /// The header.
    pub header: Header,
    /// Whether this is the first message.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Whether the store ended the watch.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// The oldest revision a watch may start at, when it was ended for that.
    #[serde(default, with = "int64", skip_serializing_if = "int64::is_zero")]
    pub compact_revision: i64,
    /// The reason for the end.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub cancel_reason: String,
    /// The changes; none in a progress notification.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}
