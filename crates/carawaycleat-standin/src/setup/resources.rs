use carawaycleat_core::key;
use carawaycleat_core::name;
use carawaycleat_core::resource;

const ZONES: usize = 3;

/// Returns a name that is known to be valid.
pub(super) fn name(text: &str) -> name::Name {
    name::Name::parse(text).expect("names of the set-up are valid")
}

pub(super) fn zone(number: usize) -> name::Name {
    name(&format!("zone-{}", number % ZONES + 1))
}

pub(super) fn model(number: usize) -> String {
    format!("model-{}", number + 1)
}

pub(super) fn secret(number: usize) -> String {
    format!("secret-of-workspace-{}", number + 1)
}

/// Returns the resources of a set-up, in an order in which each names only earlier ones.
pub(super) fn of(setup: &super::Setup) -> Vec<(String, resource::Resource)> {
    let mut resources = Vec::new();
    for number in 0..setup.plan.workspaces {
        resources.extend(workspace(setup, number));
    }
    for number in 0..setup.plan.models {
        resources.extend(model_with_version(setup, number));
    }
    for number in 0..setup.plan.adapters {
        let adapter = resource::Adapter {
            model: name(&model(number % setup.plan.models.max(1))),
            bytes: setup.plan.adapter_bytes,
        };
        resources.push((
            format!("adapter-{}", number + 1),
            resource::Resource::Adapter(adapter),
        ));
    }
    resources.extend(upstreams(setup));
    resources.extend(routes());
    resources
}

fn workspace(setup: &super::Setup, number: usize) -> Vec<(String, resource::Resource)> {
    let title = format!("workspace-{}", number + 1);
    let key = resource::Key {
        workspace: name(&title),
        digest: key::Digest::of(&secret(number)).to_hex(),
    };
    let rate = resource::Rate {
        workspace: name(&title),
        tokens_per_second: setup.plan.tokens_per_second,
        burst_tokens: setup.plan.burst_tokens,
    };
    vec![
        (
            title.clone(),
            resource::Resource::Workspace(resource::Workspace { weight: 1 }),
        ),
        (format!("key-{}", number + 1), resource::Resource::Key(key)),
        (title, resource::Resource::Rate(rate)),
    ]
}

fn model_with_version(setup: &super::Setup, number: usize) -> Vec<(String, resource::Resource)> {
    let title = model(number);
    let version = format!("{title}@1");
    let weights = resource::Version {
        model: name(&title),
        bytes: setup.plan.model_bytes,
    };
    let model = resource::Model {
        version: name(&version),
        group: name("engines"),
    };
    vec![
        (version, resource::Resource::Version(weights)),
        (title, resource::Resource::Model(model)),
    ]
}

fn upstreams(setup: &super::Setup) -> Vec<(String, resource::Resource)> {
    let engines = setup
        .accelerators
        .iter()
        .enumerate()
        .map(|(number, accelerator)| {
            let upstream = resource::Upstream {
                group: name("engines"),
                address: accelerator.engine.local_address(),
                side_address: Some(accelerator.side.local_address()),
                availability_zone: zone(number),
                memory_bytes: setup.plan.engine.memory_bytes,
                fencing: setup.plan.engine.fencing,
                leaving: false,
            };
            (
                format!("engine-{}", number + 1),
                resource::Resource::Upstream(upstream),
            )
        });
    let services = setup.backends.iter().enumerate().map(|(number, backend)| {
        let upstream = resource::Upstream {
            group: name("services"),
            address: backend.service.local_address(),
            side_address: Some(backend.side.local_address()),
            availability_zone: zone(number),
            memory_bytes: 0,
            fencing: resource::Fencing::Ignored,
            leaving: false,
        };
        (
            format!("service-{}", number + 1),
            resource::Resource::Upstream(upstream),
        )
    });
    engines.chain(services).collect()
}

fn routes() -> Vec<(String, resource::Resource)> {
    let route = |prefix: &str, target| resource::Route {
        prefix: prefix.to_owned(),
        target,
        group: None,
        open: false,
        workspaces: Vec::new(),
        non_idempotent: Vec::new(),
        cost_tokens: 1,
        timeout_ms: 30_000,
    };
    let mut jobs = route("/jobs", resource::Target::Service);
    jobs.group = Some(name("services"));
    jobs.non_idempotent = vec!["POST".to_owned()];
    let mut catalogue = route("/catalogue", resource::Target::Service);
    catalogue.group = Some(name("services"));
    catalogue.open = true;
    vec![
        (
            "models".to_owned(),
            resource::Resource::Route(route("/v1", resource::Target::Models)),
        ),
        ("jobs".to_owned(), resource::Resource::Route(jobs)),
        ("catalogue".to_owned(), resource::Resource::Route(catalogue)),
    ]
}
