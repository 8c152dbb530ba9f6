use std::collections;
use std::io;

use carawaycleat_core::resource;
use carawaycleat_core::timeline;
use carawaycleat_net as http;

use super::client;
use super::response;
use super::text;

/// Prints the merged timelines of all processes, or with `local` only those of the given servers.
pub(super) async fn run(
    client: &client::Client,
    filter: &timeline::Filter,
    local: bool,
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let query = filter.to_query();
    // The command line accepts any string as a request identifier, which could inject parameters into the query.
    if timeline::Filter::parse(&query).as_ref() != Ok(filter) {
        let text = "a request identifier may contain only the characters a-z, A-Z, 0-9, '-', '_', '.' and '@'";
        return Err(super::Error::Usage(text.to_owned()));
    }
    let request = http::Request::new("GET", format!("/timeline?{query}"));
    let (mut responses, mut failed) = client.call_all(&request).await?;
    if !local {
        let (processes, errors) = other_processes(client, &responses).await;
        failed.extend(errors);
        let (further, errors) = client.call_each(&processes, &request).await;
        responses.extend(further);
        failed.extend(errors);
    }
    let timelines = responses
        .iter()
        .map(|response| serde_json::from_slice(&response.body))
        .collect::<Result<Vec<_>, _>>()?;
    let mut events = timeline::merge(timelines);
    let excess = events
        .len()
        .saturating_sub(filter.limit.unwrap_or(usize::MAX));
    events.drain(..excess);
    match output {
        super::Output::Json => text::json(out, &events)?,
        super::Output::Text => events
            .iter()
            .try_for_each(|event| write_event(out, event))?,
    }
    if failed.is_empty() {
        Ok(())
    } else {
        Err(super::Error::Partial(failed))
    }
}

/// Returns the other entry hosts and the sidecars that `servers` know, and the errors of servers that could not be
/// queried for them.
async fn other_processes(
    client: &client::Client,
    servers: &[client::Response],
) -> (Vec<client::Process>, Vec<String>) {
    let status = http::Request::new("GET", "/v1/status");
    let upstreams = http::Request::new("GET", "/v1/resources/upstream");
    let mut queried = collections::BTreeSet::new();
    let mut found = collections::BTreeMap::new();
    let mut failed = Vec::new();
    for server in servers.iter().map(|response| response.server) {
        match client.read::<response::Status>(server, &status).await {
            Ok(status) => {
                queried.insert(status.host);
                let peers = status.peers.into_iter();
                found.extend(peers.map(|peer| (peer.host, peer.peer_address)));
            }
            Err(error) => failed.push(format!("{server}: {error}")),
        }
        match client.read::<response::Listing>(server, &upstreams).await {
            Ok(list) => found.extend(list.items.into_iter().filter_map(|item| {
                let resource::Resource::Upstream(upstream) = item.resource else {
                    return None;
                };
                let address = upstream.side_address?;
                Some((format!("sidecar of {}", item.name), address))
            })),
            Err(error) => failed.push(format!("{server}: {error}")),
        }
    }
    found.retain(|name, _| !queried.contains(name));
    let processes = found.into_iter();
    let processes = processes.map(|(name, address)| client::Process { name, address });
    (processes.collect(), failed)
}

fn write_event(out: &mut dyn io::Write, event: &timeline::Event) -> super::Result<()> {
    write!(
        out,
        "{} {:<12} {:<21}",
        text::utc(event.stamp.wall_ms),
        event.host.as_str(),
        event.kind
    )?;
    let names = [
        ("workspace", &event.workspace),
        ("model", &event.model),
        ("upstream", &event.upstream),
    ];
    if let Some(request) = &event.request {
        write!(out, " request={}", request.escape_debug())?;
    }
    for (key, name) in names {
        if let Some(name) = name {
            write!(out, " {key}={name}")?;
        }
    }
    if !event.detail.is_empty() {
        write!(out, " {}", event.detail.escape_debug())?;
    }
    writeln!(out)?;
    Ok(())
}
