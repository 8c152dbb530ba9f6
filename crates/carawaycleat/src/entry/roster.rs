use carawaycleat_core::config;
use carawaycleat_core::name;
use carawaycleat_wire as wire;

/// The prefix of the entry hosts' records in the store.
pub(super) const PREFIX: &str = "/carawaycleat/v1/roster/";

/// Returns the store key of the record of `host`.
pub(super) fn key(host: &name::Name) -> String {
    format!("{PREFIX}{host}")
}

/// Returns the entry hosts in the roster; records that cannot be decoded are ignored.
pub(super) fn members(cache: &config::Cache) -> Vec<wire::Member> {
    let records = cache.with_prefix(PREFIX);
    records
        .filter_map(|(_, value, _)| serde_json::from_slice(value).ok())
        .collect()
}
