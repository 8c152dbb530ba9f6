//! Configurations of the host.

use std::time;

use carawaycleat_core::relay;

use crate::relay_fake;

/// The time limit of requests.
pub(super) const TIME_LIMIT: time::Duration = time::Duration::from_secs(12);

/// A later configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Change {
    Timeout,
    RouteGone,
    ServiceGone,
}

/// Returns the event that brings the first configuration.
pub(super) fn first() -> relay::Event {
    changed(2, |_, _| {})
}

impl Change {
    /// Returns the event that brings the configuration.
    pub(super) fn event(self) -> relay::Event {
        changed(3, |routes, services| match self {
            Self::Timeout => {
                for route in routes {
                    route.timeout = relay_fake::millis(1_000);
                }
            }
            Self::RouteGone => routes.retain(|route| !is_of_models(route)),
            Self::ServiceGone => {
                routes.retain(|route| !is_of_models(route));
                services.retain(|service| *service != "models");
            }
        })
    }
}

fn is_of_models(route: &relay::Route) -> bool {
    let mut targets = route.targets.iter();
    targets.any(|target| target.service.as_str() == "models")
}

/// Returns a configuration whose routes have the time limit [`TIME_LIMIT`], changed by `change`.
fn changed(version: u64, change: impl Fn(&mut Vec<relay::Route>, &mut Vec<&str>)) -> relay::Event {
    let base = relay_fake::config(1, 1_000_000);
    let mut routes: Vec<_> = base.routes().cloned().collect();
    for route in &mut routes {
        route.timeout = TIME_LIMIT;
    }
    let mut services = vec!["plain", "models"];
    change(&mut routes, &mut services);
    let services = base
        .services()
        .filter(|(name, _)| services.contains(&name.as_str()))
        .map(|(name, service)| (name.clone(), service.clone()));
    let workspaces = vec![relay_fake::workspace(1_000_000)];
    let config = relay::Config::new(version, routes, services.collect(), workspaces, None);
    relay::Event::Configured(Box::new(config))
}
