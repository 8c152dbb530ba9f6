//! Checks of services and of the models that their engines load.

use std::collections;

use super::draft;
use super::finding;
use crate::name;
use crate::relay;

/// Adds what is wrong with the services.
pub(super) fn check(draft: &draft::Draft, findings: &mut Vec<finding::Finding>) {
    let used: collections::BTreeSet<_> = draft
        .routes
        .iter()
        .flat_map(|route| route.targets.iter().filter(|target| target.weight > 0))
        .map(|target| &target.service)
        .collect();
    let mut names = collections::BTreeSet::new();
    for (name, service) in &draft.services {
        let place = format!("services/{name}");
        if !names.insert(name) {
            findings.push(finding::Finding::error(
                &place,
                "another service has the same name, and the last one counts",
            ));
        }
        if !used.contains(name) {
            findings.push(finding::Finding::warning(
                &place,
                "gets no requests: no route leads to it",
            ));
        }
        if let Some(cold_start) = &service.cold_start
            && cold_start.duration.is_zero()
        {
            findings.push(finding::Finding::warning(
                &place,
                "the limit on cold engines has no effect: they are cold for 0 s",
            ));
        }
        if let Some(engine) = &service.engine {
            check_engine(service, engine, &place, findings);
        }
    }
}

fn check_engine(
    service: &relay::Service,
    engine: &relay::EngineSpec,
    place: &str,
    findings: &mut Vec<finding::Finding>,
) {
    if engine.slots == 0 {
        findings.push(finding::Finding::error(place, "its engines have no slots"));
    }
    let connections = u32::try_from(service.max_connections).unwrap_or(u32::MAX);
    if connections > 0 && connections < engine.slots {
        findings.push(finding::Finding::warning(
            place,
            format!(
                "{connections} connections cannot use its {} slots",
                engine.slots
            ),
        ));
    }
    if engine.loads_per_second <= 0.0 {
        findings.push(finding::Finding::error(
            place,
            "models are never loaded: the weight store allows 0 loads per second",
        ));
    }
    for (name, model) in &engine.models {
        check_model(engine, name, model, place, findings);
    }
}

fn check_model(
    engine: &relay::EngineSpec,
    name: &name::Name,
    model: &relay::Model,
    place: &str,
    findings: &mut Vec<finding::Finding>,
) {
    let place = format!("{place}/models/{name}");
    let largest_adapter = engine
        .models
        .values()
        .map(|model| model.adapter_mb)
        .fold(0.0, f64::max);
    let adapters_mb = largest_adapter * engine.adapter_slots as f64;
    if model.weights_mb + adapters_mb > engine.weight_memory_mb {
        findings.push(finding::Finding::error(
            &place,
            format!(
                "is never loaded: {:.0} MB of weights and {adapters_mb:.0} MB for adapters do not fit into {:.0} MB",
                model.weights_mb, engine.weight_memory_mb
            ),
        ));
    }
    if !model.adapters.is_empty() && engine.adapter_slots == 0 {
        findings.push(finding::Finding::error(
            &place,
            format!(
                "its {} adapters are never loaded: engines have no places for adapters",
                model.adapters.len()
            ),
        ));
    }
    if model.memory_load_time > model.disk_load_time || model.disk_load_time > model.store_load_time
    {
        findings.push(finding::Finding::warning(
            &place,
            format!(
                "loads from host memory, disk and the weight store take {}, {} and {} ms, which is not in ascending order",
                model.memory_load_time.as_millis(),
                model.disk_load_time.as_millis(),
                model.store_load_time.as_millis()
            ),
        ));
    }
}
