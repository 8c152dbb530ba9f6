//! Checks of routes and of the limits on callers.

use std::collections;

use super::draft;
use super::finding;
use crate::relay;

/// The least urgent priority that upstreams know.
const MAX_PRIORITY: u8 = 9;

/// Adds what is wrong with the routes and the limits.
pub(super) fn check(draft: &draft::Draft, findings: &mut Vec<finding::Finding>) {
    let services: collections::BTreeSet<_> = draft.services.iter().map(|(name, _)| name).collect();
    let mut names = collections::BTreeSet::new();
    let mut matches = collections::BTreeMap::new();
    for route in &draft.routes {
        let place = format!("routes/{}", route.name);
        if !names.insert(&route.name) {
            findings.push(finding::Finding::warning(
                &place,
                "another route has the same name",
            ));
        }
        let earlier = matches.insert((route.host.clone(), route.prefix.clone()), &route.name);
        if let Some(earlier) = earlier {
            findings.push(finding::Finding::error(
                format!("routes/{earlier}"),
                format!(
                    "never matches: the route {} replaces it at {}{}",
                    route.name, route.host, route.prefix
                ),
            ));
        }
        check_match(route, &place, findings);
        check_times(route, &place, findings);
        check_attempts(route, &place, findings);
        if route.targets.is_empty() {
            findings.push(finding::Finding::error(&place, "has no service"));
        } else if route.targets.iter().all(|target| target.weight == 0) {
            findings.push(finding::Finding::error(
                &place,
                "all services have the weight 0",
            ));
        }
        for target in &route.targets {
            if !services.contains(&target.service) {
                findings.push(finding::Finding::error(
                    &place,
                    format!("the service {} does not exist", target.service),
                ));
            }
        }
        if route.priority > MAX_PRIORITY {
            findings.push(finding::Finding::warning(
                &place,
                format!(
                    "priority {} counts as {MAX_PRIORITY} at upstreams",
                    route.priority
                ),
            ));
        }
    }
    if let Some(limits) = &draft.limits {
        check_limits(limits, findings);
    }
}

fn check_match(route: &relay::Route, place: &str, findings: &mut Vec<finding::Finding>) {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        findings.push(finding::Finding::error(
            place,
            format!(
                "never matches: the prefix {:?} must begin and end with a slash",
                route.prefix
            ),
        ));
    }
    if route.host.is_empty() || route.host.contains([':', '/']) {
        findings.push(finding::Finding::error(
            place,
            format!(
                "never matches: {:?} is not a host name without a port",
                route.host
            ),
        ));
    }
}

fn check_times(route: &relay::Route, place: &str, findings: &mut Vec<finding::Finding>) {
    if route.timeout.is_zero() {
        findings.push(finding::Finding::error(
            place,
            "the time limit is 0, so that each request is over at once",
        ));
        return;
    }
    if route.objective > route.timeout {
        findings.push(finding::Finding::error(
            place,
            format!(
                "the latency objective of {} ms is longer than the time limit of {} ms",
                route.objective.as_millis(),
                route.timeout.as_millis()
            ),
        ));
    }
    if route.gap_objective > route.timeout {
        findings.push(finding::Finding::error(
            place,
            format!(
                "the objective of {} ms between events is longer than the time limit of {} ms",
                route.gap_objective.as_millis(),
                route.timeout.as_millis()
            ),
        ));
    }
    if route.kind != relay::Kind::Streaming && !route.gap_objective.is_zero() {
        findings.push(finding::Finding::warning(
            place,
            "the objective between events has no effect: its responses are not streams",
        ));
    }
}

fn check_attempts(route: &relay::Route, place: &str, findings: &mut Vec<finding::Finding>) {
    if route.resumable && route.kind != relay::Kind::Streaming {
        findings.push(finding::Finding::warning(
            place,
            "resumable has no effect: its responses are not streams",
        ));
    }
    if route.max_attempts > 1 && !route.is_repeatable() {
        findings.push(finding::Finding::warning(
            place,
            format!(
                "{} attempts are allowed, but its requests may run only once",
                route.max_attempts
            ),
        ));
    }
}

fn check_limits(limits: &relay::Limits, findings: &mut Vec<finding::Finding>) {
    let mut error = |message: &str| findings.push(finding::Finding::error("limits", message));
    if limits.max_header_bytes == 0 {
        error("no request fits: max_header_bytes is 0");
    }
    if limits.header_timeout.is_zero() {
        error("no request arrives in time: header_timeout_ms is 0");
    }
    if limits.idle_timeout.is_zero() {
        error("no connection is kept: idle_timeout_ms is 0");
    }
}
