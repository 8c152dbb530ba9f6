use std::collections;
use std::fmt;

use super::draft;
use crate::key;
use crate::relay;

/// What happens to an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// One of its fields has another value.
    Changed,
}

impl Change {
    /// Returns the word for reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        }
    }
}

/// A difference between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// What happens to the entry.
    pub change: Change,
    /// The entry, and the field if one has changed, for example `routes/drafts/timeout_ms`.
    pub place: String,
    /// The value before; empty for an entry that is new or gone.
    pub before: String,
    /// The value after; empty for an entry that is new or gone.
    pub after: String,
}

/// The fields of an entry with their values as text.
type Fields = Vec<(&'static str, String)>;

/// Returns what differs between the configuration in force and another one, in the order of the places. Keys are only
/// counted, so that no report holds one.
#[must_use]
pub fn differences(in_force: &draft::Draft, next: &draft::Draft) -> Vec<Difference> {
    let (before, after) = (entries(in_force), entries(next));
    let places: collections::BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let mut differences = Vec::new();
    for place in places {
        match (before.get(place), after.get(place)) {
            (None, _) => differences.push(whole(Change::Added, place)),
            (_, None) => differences.push(whole(Change::Removed, place)),
            (Some(before), Some(after)) => compare(place, before, after, &mut differences),
        }
    }
    differences.extend(key_differences(in_force, next));
    differences
}

/// Returns how many keys are granted to and withdrawn from each workspace that is in both configurations.
fn key_differences<'a>(
    in_force: &'a draft::Draft,
    next: &'a draft::Draft,
) -> impl Iterator<Item = Difference> + 'a {
    in_force.workspaces.iter().filter_map(|before| {
        let mut workspaces = next.workspaces.iter();
        let after = workspaces.find(|workspace| workspace.name == before.name)?;
        let lacking = |keys: &[key::Digest], others: &[key::Digest]| {
            keys.iter().filter(|key| !others.contains(key)).count()
        };
        let withdrawn = lacking(&before.keys, &after.keys);
        let granted = lacking(&after.keys, &before.keys);
        (withdrawn + granted > 0).then(|| Difference {
            change: Change::Changed,
            place: format!("workspaces/{}/keys", before.name),
            before: format!("{} keys, {withdrawn} of them withdrawn", before.keys.len()),
            after: format!("{} keys, {granted} of them granted", after.keys.len()),
        })
    })
}

fn whole(change: Change, place: &str) -> Difference {
    Difference {
        change,
        place: place.to_owned(),
        before: String::new(),
        after: String::new(),
    }
}

fn compare(place: &str, before: &Fields, after: &Fields, differences: &mut Vec<Difference>) {
    for ((field, before), (_, after)) in before.iter().zip(after) {
        if before != after {
            differences.push(Difference {
                change: Change::Changed,
                place: format!("{place}/{field}"),
                before: before.clone(),
                after: after.clone(),
            });
        }
    }
}

fn entries(draft: &draft::Draft) -> collections::BTreeMap<String, Fields> {
    let mut entries = collections::BTreeMap::new();
    for route in &draft.routes {
        entries.insert(format!("routes/{}", route.name), route_fields(route));
    }
    for (name, service) in &draft.services {
        let place = format!("services/{name}");
        if let Some(engine) = &service.engine {
            for (name, model) in &engine.models {
                entries.insert(format!("{place}/models/{name}"), model_fields(model));
            }
        }
        entries.insert(place, service_fields(service));
    }
    for workspace in &draft.workspaces {
        let place = format!("workspaces/{}", workspace.name);
        entries.insert(place, workspace_fields(workspace));
    }
    if let Some(limits) = &draft.limits {
        entries.insert("limits".to_owned(), limit_fields(limits));
    }
    entries
}

fn route_fields(route: &relay::Route) -> Fields {
    let targets = route.targets.iter();
    let targets = targets.map(|target| format!("{}:{}", target.service, target.weight));
    vec![
        ("host", text(&route.host)),
        ("prefix", text(&route.prefix)),
        ("kind", text(route.kind.as_str())),
        ("timeout_ms", text(route.timeout.as_millis())),
        ("objective_ms", text(route.objective.as_millis())),
        ("gap_objective_ms", text(route.gap_objective.as_millis())),
        ("max_attempts", text(route.max_attempts)),
        ("priority", text(route.priority)),
        ("targets", targets.collect::<Vec<_>>().join(" ")),
        ("public", text(route.public)),
        ("resumable", text(route.resumable)),
    ]
}

fn service_fields(service: &relay::Service) -> Fields {
    let engine = service.engine.as_ref();
    let engine_field = |value: &dyn Fn(&relay::EngineSpec) -> String| {
        engine.map_or_else(|| "none".to_owned(), value)
    };
    let cold_start = service.cold_start.map_or_else(
        || "none".to_owned(),
        |cold| format!("{} ms, {}/s", cold.duration.as_millis(), cold.rate),
    );
    vec![
        ("max_connections", text(service.max_connections)),
        ("cold_start", cold_start),
        ("slots", engine_field(&|engine| text(engine.slots))),
        ("kv_tokens", engine_field(&|engine| text(engine.kv_tokens))),
        (
            "weight_memory_mb",
            engine_field(&|engine| text(engine.weight_memory_mb)),
        ),
        (
            "adapter_slots",
            engine_field(&|engine| text(engine.adapter_slots)),
        ),
        (
            "loads_per_second",
            engine_field(&|engine| text(engine.loads_per_second)),
        ),
    ]
}

fn model_fields(model: &relay::Model) -> Fields {
    vec![
        ("weights_mb", text(model.weights_mb)),
        ("store_load_ms", text(model.store_load_time.as_millis())),
        ("memory_load_ms", text(model.memory_load_time.as_millis())),
        ("disk_load_ms", text(model.disk_load_time.as_millis())),
        ("adapter_mb", text(model.adapter_mb)),
        ("adapters", text(model.adapters.len())),
    ]
}

fn workspace_fields(workspace: &relay::Workspace) -> Fields {
    let priority = workspace.priority.map_or_else(|| "none".to_owned(), text);
    vec![
        ("priority", priority),
        ("rate", text(workspace.rate)),
        ("burst", text(workspace.burst)),
        ("default_cost", text(workspace.default_cost)),
    ]
}

fn limit_fields(limits: &relay::Limits) -> Fields {
    vec![
        ("max_header_bytes", text(limits.max_header_bytes)),
        ("max_body_bytes", text(limits.max_body_bytes)),
        ("header_timeout_ms", text(limits.header_timeout.as_millis())),
        ("idle_timeout_ms", text(limits.idle_timeout.as_millis())),
    ]
}

fn text(value: impl fmt::Display) -> String {
    value.to_string()
}
