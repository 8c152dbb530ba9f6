//! Readers for the tables of each resource kind.
//!
//! The ranges here duplicate those of `resource::Resource::validate`, which stops at the first invalid field, so that
//! all problems of a resource are found at once. A resource without problems is still validated.

use std::net;
use std::path;

use carawaycleat_core::resource;

use super::secret;
use crate::document;

type Reader = fn(&document::Table<'_>, &path::Path) -> Option<resource::Resource>;

const READERS: [(&str, resource::Kind, Reader); 8] = [
    ("model", resource::Kind::Model, model),
    ("adapter", resource::Kind::Adapter, adapter),
    ("version", resource::Kind::Version, version),
    ("workspace", resource::Kind::Workspace, workspace),
    ("key", resource::Kind::Key, key),
    ("rate", resource::Kind::Rate, rate),
    ("route", resource::Kind::Route, route),
    ("upstream", resource::Kind::Upstream, upstream),
];

const ADDRESS: &str = "an IP address with a port from 1 to 65535, such as \"192.0.2.1:8000\"";
const DIGEST: &str = "64 lower-case hexadecimal digits of a SHA-256 digest, or `secret_file`";
const PREFIX: &str = "a path that starts with '/'";
const TARGET: &str = "\"models\" or \"service\"";
const FENCING: &str = "\"checked\" or \"ignored\"";
const METHOD: &str = "a method in capital letters, such as \"POST\"";
const MAX_TOKENS: u64 = 100_000_000;
const MAX_WEIGHT: u64 = 1_000;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Returns all resources of a manifest, grouped by kind.
pub(super) fn items(table: &document::Table<'_>, file: &path::Path) -> Vec<super::Item> {
    let mut items = Vec::new();
    for (key, kind, read) in READERS {
        for resource_table in table.tables(key) {
            items.extend(item(&resource_table, kind, read, file));
        }
    }
    table.finish();
    items
}

fn item(
    table: &document::Table<'_>,
    kind: resource::Kind,
    read: Reader,
    file: &path::Path,
) -> Option<super::Item> {
    let problems_before = table.problem_count();
    let name = table.required_name("name");
    let resource = read(table, file);
    table.finish();
    let resource = resource?;
    if table.problem_count() == problems_before
        && let Err(resource::Error::Field(field, allowed)) = resource.validate()
    {
        table.report(field, "a value that is not allowed", allowed);
    }
    Some(super::Item {
        id: resource::Id::new(kind, name?),
        resource,
        file: file.to_owned(),
        line: table.line(),
    })
}

fn model(table: &document::Table<'_>, _: &path::Path) -> Option<resource::Resource> {
    let version = table.required_name("version");
    let group = table.required_name("group");
    Some(resource::Resource::Model(resource::Model {
        version: version?,
        group: group?,
    }))
}

fn adapter(table: &document::Table<'_>, _: &path::Path) -> Option<resource::Resource> {
    let model = table.required_name("model");
    let bytes = bytes(table);
    Some(resource::Resource::Adapter(resource::Adapter {
        model: model?,
        bytes,
    }))
}

fn version(table: &document::Table<'_>, _: &path::Path) -> Option<resource::Resource> {
    let model = table.required_name("model");
    let bytes = bytes(table);
    Some(resource::Resource::Version(resource::Version {
        model: model?,
        bytes,
    }))
}

fn bytes(table: &document::Table<'_>) -> u64 {
    // A TOML integer is a signed 64-bit number.
    required_integer(table, "bytes", 1, i64::MAX.unsigned_abs())
}

fn workspace(table: &document::Table<'_>, _: &path::Path) -> Option<resource::Resource> {
    let weight = table.integer("weight", 1..=MAX_WEIGHT, 1);
    let weight = u32::try_from(weight).ok()?;
    Some(resource::Resource::Workspace(resource::Workspace {
        weight,
    }))
}

fn key(table: &document::Table<'_>, file: &path::Path) -> Option<resource::Resource> {
    let workspace = table.required_name("workspace");
    let digest = digest(table, file);
    Some(resource::Resource::Key(resource::Key {
        workspace: workspace?,
        digest: digest?,
    }))
}

fn digest(table: &document::Table<'_>, file: &path::Path) -> Option<String> {
    let digest = table.value("digest");
    let secret_file = table.converted("secret_file", secret::ALLOWED, |text| Some(text.to_owned()));
    match (digest, secret_file) {
        (Some(_), Some(_)) => {
            table.report(
                "secret_file",
                "`secret_file` beside `digest`",
                "one of the two",
            );
            None
        }
        (None, Some(secret_file)) => {
            let directory = file.parent().unwrap_or(path::Path::new(""));
            let digest = secret::digest(&directory.join(secret_file));
            digest
                .map_err(|found| table.report("secret_file", found, secret::ALLOWED))
                .ok()
        }
        (Some(value), None) => {
            let text = value.as_str().unwrap_or_default();
            if is_digest(text) {
                return Some(text.to_owned());
            }
            // The message omits the value, because it may be the secret itself.
            table.report(
                "digest",
                format_args!("another text of {} bytes", text.len()),
                DIGEST,
            );
            None
        }
        (None, None) => {
            if table.line_of("secret_file").is_none() {
                table.require("digest", DIGEST);
            }
            None
        }
    }
}

fn is_digest(text: &str) -> bool {
    text.len() == 64
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

fn rate(table: &document::Table<'_>, _: &path::Path) -> Option<resource::Resource> {
    let workspace = table.required_name("workspace");
    let tokens_per_second = required_integer(table, "tokens_per_second", 1, MAX_TOKENS);
    let burst_tokens = required_integer(table, "burst_tokens", 1, MAX_TOKENS);
    let workspace = workspace?;
    Some(resource::Resource::Rate(resource::Rate {
        workspace,
        tokens_per_second,
        burst_tokens,
    }))
}

fn route(table: &document::Table<'_>, _: &path::Path) -> Option<resource::Resource> {
    table.require("prefix", PREFIX);
    table.require("target", TARGET);
    let prefix = table.converted("prefix", PREFIX, |text| {
        text.starts_with('/').then(|| text.to_owned())
    });
    let target = table.converted("target", TARGET, parse_target);
    let route = resource::Route {
        group: table.name("group"),
        open: table.flag("open", false),
        workspaces: table.names("workspaces"),
        non_idempotent: table
            .list_with("non_idempotent", METHOD, parse_method)
            .unwrap_or_default(),
        cost_tokens: table.integer("cost_tokens", 0..=MAX_TOKENS, 1),
        timeout_ms: table.integer("timeout_ms", 1..=MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS),
        prefix: prefix?,
        target: target?,
    };
    if route.target == resource::Target::Service && table.line_of("group").is_none() {
        table.report(
            "group",
            "nothing",
            "the group of the upstreams, for a service (required)",
        );
    }
    if route.open && !route.workspaces.is_empty() {
        table.report(
            "workspaces",
            "workspaces with `open = true`",
            "none on a route that is open to all",
        );
    }
    Some(resource::Resource::Route(route))
}

fn parse_target(text: &str) -> Option<resource::Target> {
    match text {
        "models" => Some(resource::Target::Models),
        "service" => Some(resource::Target::Service),
        _ => None,
    }
}

fn parse_method(text: &str) -> Option<String> {
    let is_valid = !text.is_empty() && text.bytes().all(|b| b.is_ascii_uppercase());
    is_valid.then(|| text.to_owned())
}

fn upstream(table: &document::Table<'_>, _: &path::Path) -> Option<resource::Resource> {
    table.require("address", ADDRESS);
    let group = table.required_name("group");
    let availability_zone = table.required_name("availability_zone");
    let address = table.converted("address", ADDRESS, parse_address);
    let side_address = table.converted("side_address", ADDRESS, parse_address);
    let memory_bytes = table.integer("memory_bytes", 0..=i64::MAX.unsigned_abs(), 0);
    let fencing = table.text(
        "fencing",
        FENCING,
        resource::Fencing::default(),
        parse_fencing,
    );
    let leaving = table.flag("leaving", false);
    Some(resource::Resource::Upstream(resource::Upstream {
        group: group?,
        address: address?,
        side_address,
        availability_zone: availability_zone?,
        memory_bytes,
        fencing,
        leaving,
    }))
}

fn parse_address(text: &str) -> Option<net::SocketAddr> {
    text.parse()
        .ok()
        .filter(|address: &net::SocketAddr| address.port() != 0)
}

fn parse_fencing(text: &str) -> Option<resource::Fencing> {
    match text {
        "checked" => Some(resource::Fencing::Checked),
        "ignored" => Some(resource::Fencing::Ignored),
        _ => None,
    }
}

fn required_integer(table: &document::Table<'_>, key: &'static str, min: u64, max: u64) -> u64 {
    table.require(key, &format!("a whole number from {min} to {max}"));
    table.integer(key, min..=max, min)
}
