//! Check of a configuration before it is sent: errors, entries that can never match, limits that contradict each other, and
//! what differs from the configuration in force.

mod difference;
mod draft;
mod engines;
mod finding;
mod routes;
mod workspaces;

pub use difference::Change;
pub use difference::Difference;
pub use difference::differences;
pub use draft::Draft;
pub use finding::Finding;
pub use finding::Severity;

/// Returns what is wrong with a configuration, in the order of its entries: routes, services, workspaces, limits.
#[must_use]
pub fn findings(draft: &Draft) -> Vec<Finding> {
    let mut findings = Vec::new();
    routes::check(draft, &mut findings);
    engines::check(draft, &mut findings);
    workspaces::check(draft, &mut findings);
    findings
}
