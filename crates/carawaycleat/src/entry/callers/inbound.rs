use std::time;

use carawaycleat_core::admission;
use carawaycleat_core::entry;
use carawaycleat_core::key;
use carawaycleat_core::outcome;
use carawaycleat_core::request;
use carawaycleat_core::resource;
use carawaycleat_net as net;

use super::context;
use crate::api;

/// Headers that are not forwarded: those that apply to a single connection and those with credentials of the caller.
const DROPPED_HEADERS: [&str; 14] = [
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-api-key",
    "x-request-id",
];

/// The minimum length of a key that is searched for in the path and the body, in bytes.
const MIN_DETECTED_KEY_BYTES: usize = 8;

/// The maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// A parsed request of a caller that has not yet been passed to the reducer.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) request: entry::Request,
    pub(super) target: resource::Target,
    pub(super) call: Option<api::Request>,
    pub(super) timeout: time::Duration,
    pub(super) path: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

type Rejection = (Option<resource::Target>, api::Refusal);

impl Request {
    /// Parses a request. Only the digest of the caller's key is kept.
    pub(super) fn read(
        context: &context::Context,
        id: request::Id,
        request: net::Request,
    ) -> Result<Self, Rejection> {
        let route = context.with_reducer(|reducer, _| {
            reducer
                .route(&request.path)
                .map(|(name, route)| (name.clone(), route.clone()))
        });
        let Some((name, route)) = route else {
            // A host that has just started has no routes; it can only reject a path once its configuration is
            // confirmed.
            if !context.with_reducer(|reducer, _| reducer.monitor().is_confirmed()) {
                let message = "this host has no configuration yet";
                let reason = outcome::Reason::ConfigurationStale;
                return Err((None, super::refuse(reason, message)));
            }
            let message = format!("no route matches {}", request.path);
            return Err((None, super::refuse(outcome::Reason::UnknownRoute, message)));
        };
        let with_target = |refusal| (Some(route.target), refusal);
        let key = bearer_key(&request.headers)
            .map_err(with_target)?
            .map(str::to_owned);
        if key.as_deref().is_some_and(|key| is_exposed(key, &request)) {
            let message = "the key must only be sent in the header `authorization`";
            return Err(with_target(super::refuse(
                outcome::Reason::InvalidRequest,
                message,
            )));
        }
        let call = match route.target {
            resource::Target::Models => parse_call(&request).map_err(with_target)?,
            resource::Target::Service => None,
        };
        let idempotency_key = parse_idempotency_key(&request.headers).map_err(with_target)?;
        let timeout = time::Duration::from_millis(
            call.as_ref()
                .and_then(|call| call.deadline_ms)
                .unwrap_or(route.timeout_ms)
                .min(route.timeout_ms),
        );
        let reducer_request = entry::Request {
            id,
            key_digest: key.as_deref().map(key::Digest::of),
            route: name,
            method: request.method.clone(),
            model: call.as_ref().map(|call| call.model.clone()),
            adapter: call.as_ref().and_then(|call| call.adapter.clone()),
            class: call
                .as_ref()
                .map_or(admission::Class::Short, |call| call.class),
            prompt_tokens: call
                .as_ref()
                .map_or(route.cost_tokens, |call| call.prompt_tokens),
            max_tokens: call.as_ref().map_or(0, |call| call.max_tokens),
            bytes: request.body.len(),
            prefixes: call
                .as_ref()
                .map(|call| call.prefixes.clone())
                .unwrap_or_default(),
            idempotency_key,
            deadline: context.now() + timeout,
        };
        Ok(Self {
            request: reducer_request,
            target: route.target,
            call,
            timeout,
            path: request.target(),
            headers: forwarded_headers(&request.headers, key.as_deref()),
            body: request.body,
        })
    }
}

/// Returns whether the key also occurs in the path, the query or the body, which are forwarded to an upstream.
fn is_exposed(key: &str, request: &net::Request) -> bool {
    let is_in_body = || match std::str::from_utf8(&request.body) {
        Ok(text) => text.contains(key),
        Err(_) => request
            .body
            .windows(key.len())
            .any(|window| window == key.as_bytes()),
    };
    // A key of a few characters would occur in most texts by chance.
    key.len() >= MIN_DETECTED_KEY_BYTES && (request.target().contains(key) || is_in_body())
}

fn bearer_key(headers: &net::Headers) -> Result<Option<&str>, api::Refusal> {
    let Some(value) = headers.get("authorization") else {
        return Ok(None);
    };
    let key = match value.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => key.trim(),
        _ => "",
    };
    if key.is_empty() {
        let message = "the header `authorization` must be `Bearer` and a key";
        return Err(super::refuse(outcome::Reason::MissingKey, message));
    }
    Ok(Some(key))
}

fn parse_call(request: &net::Request) -> Result<Option<api::Request>, api::Refusal> {
    let form = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/v1/models") => return Ok(None),
        ("POST", "/v1/chat/completions") => api::Form::Chat,
        ("POST", "/v1/completions") => api::Form::Completion,
        (method, path) => {
            let message = format!("no operation {method} {path}");
            let refusal = super::refuse(outcome::Reason::UnknownRoute, message);
            return Err(match path {
                "/v1/models" => refusal.with_allowed_methods("GET"),
                "/v1/chat/completions" | "/v1/completions" => refusal.with_allowed_methods("POST"),
                _ => refusal,
            });
        }
    };
    let call = api::Request::parse(form, &request.headers, &request.body);
    let invalid =
        |error: api::Error| super::refuse(outcome::Reason::InvalidRequest, error.to_string());
    call.map(Some).map_err(invalid)
}

fn parse_idempotency_key(headers: &net::Headers) -> Result<Option<String>, api::Refusal> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        let message = "the header `idempotency-key` must have from 1 to 256 bytes";
        return Err(super::refuse(outcome::Reason::InvalidRequest, message));
    }
    Ok(Some(value.to_owned()))
}

/// Returns the headers to forward to the upstream, without any header whose value contains the key.
fn forwarded_headers(headers: &net::Headers, key: Option<&str>) -> Vec<(String, String)> {
    let is_dropped = |name: &str, value: &str| {
        let is_listed = DROPPED_HEADERS
            .iter()
            .any(|dropped| dropped.eq_ignore_ascii_case(name));
        is_listed || key.is_some_and(|key| value.contains(key))
    };
    let forwarded = headers
        .iter()
        .filter(|(name, value)| !is_dropped(name, value));
    forwarded
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}
