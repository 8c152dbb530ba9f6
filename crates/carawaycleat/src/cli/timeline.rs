use std::io;

use carawaycleat_core::timeline;
use carawaycleat_net as http;

use super::client;
use super::text;

/// Shows the events of all servers in one order.
pub(super) async fn run(
    client: &client::Client,
    filter: &timeline::Filter,
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let query = filter.to_query();
    // The command line accepts any text as a request identifier, which could add parameters to the query.
    if timeline::Filter::parse(&query).as_ref() != Ok(filter) {
        let text =
            "a request identifier has only the characters a-z, A-Z, 0-9, '-', '_', '.' and '@'";
        return Err(super::Error::Usage(text.to_owned()));
    }
    let request = http::Request::new("GET", format!("/timeline?{query}"));
    let (answers, failed) = client.call_all(&request).await?;
    let parts = answers
        .iter()
        .map(|answer| serde_json::from_slice(&answer.body))
        .collect::<Result<Vec<_>, _>>()?;
    let mut events = timeline::merge(parts);
    let surplus = events
        .len()
        .saturating_sub(filter.limit.unwrap_or(usize::MAX));
    events.drain(..surplus);
    match output {
        super::Output::Json => text::json(out, &events)?,
        super::Output::Text => events.iter().try_for_each(|event| show(out, event))?,
    }
    if failed.is_empty() {
        Ok(())
    } else {
        Err(super::Error::Partial(failed))
    }
}

fn show(out: &mut dyn io::Write, event: &timeline::Event) -> super::Result<()> {
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
