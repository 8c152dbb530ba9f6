//! Checks of workspaces, their keys and their allowances.

use std::collections;

use super::draft;
use super::finding;
use crate::key;
use crate::name;
use crate::relay;

/// Adds what is wrong with the workspaces.
pub(super) fn check(draft: &draft::Draft, findings: &mut Vec<finding::Finding>) {
    let mut names = collections::BTreeSet::new();
    let mut holders: Vec<(&key::Digest, &name::Name)> = Vec::new();
    for workspace in &draft.workspaces {
        let place = format!("workspaces/{}", workspace.name);
        if !names.insert(&workspace.name) {
            findings.push(finding::Finding::error(
                &place,
                "another workspace has the same name, and the last one counts",
            ));
        }
        if workspace.keys.is_empty() {
            findings.push(finding::Finding::warning(
                &place,
                "has no keys, so that it never matches a request",
            ));
        }
        for key in &workspace.keys {
            match holders.iter().find(|(other, _)| *other == key) {
                Some((_, other)) if **other == workspace.name => findings.push(
                    finding::Finding::warning(&place, "one of its keys stands twice"),
                ),
                Some((_, other)) => findings.push(finding::Finding::error(
                    &place,
                    format!("the workspace {other} has one of its keys too"),
                )),
                None => {}
            }
            holders.push((key, &workspace.name));
        }
        if workspace.rate == 0 && workspace.burst > 0 {
            findings.push(finding::Finding::warning(
                &place,
                "the burst has no effect: without a rate there is no limit",
            ));
        }
        if workspace.rate > 0 && workspace.default_cost > workspace.rate + workspace.burst {
            findings.push(finding::Finding::error(
                &place,
                format!(
                    "requests without a token count are always refused: they cost {} tokens, and {} a second with a burst of {} \
                     are allowed",
                    workspace.default_cost, workspace.rate, workspace.burst
                ),
            ));
        }
    }
    let requires_keys = !draft.workspaces.is_empty();
    let is_public = |route: &relay::Route| route.public;
    if requires_keys && !draft.routes.is_empty() && draft.routes.iter().all(is_public) {
        findings.push(finding::Finding::warning(
            "workspaces",
            "no route asks for a key: all are public",
        ));
    }
}
