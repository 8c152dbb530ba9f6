use std::io;
use std::time;

use carawaycleat_core::resource;
use carawaycleat_net as http;

use super::client;
use super::response;
use super::text;

/// Delay before a watch that ended without a change is reopened.
const REOPEN_DELAY: time::Duration = time::Duration::from_secs(1);

/// Upper bound of a line, which holds one resource of at most 1 MB and its name.
const MAX_LINE_BYTES: usize = 2 << 20;

const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Prints changes until no server can be reached, a server refuses, or the output is closed.
///
/// A watch that ends is reopened after the last revision that was printed.
pub(super) async fn run(
    client: &client::Client,
    kind: Option<resource::Kind>,
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let mut since = None;
    loop {
        let before = since;
        let request = http::Request::new("GET", watch_path(kind, since));
        let (_, mut reply) = client.open(request).await?;
        if reply.status >= 300 {
            let body = reply
                .body
                .bytes(MAX_REFUSAL_BYTES)
                .await
                .unwrap_or_default();
            return Err(client::refusal(reply.status, &body));
        }
        follow(&mut reply.body, &mut since, output, out).await?;
        if since == before {
            async_io::Timer::after(REOPEN_DELAY).await;
        }
    }
}

fn watch_path(kind: Option<resource::Kind>, since: Option<u64>) -> String {
    let kind = kind.map(|kind| format!("kind={kind}"));
    let since = since.map(|since| format!("since={since}"));
    let query: Vec<_> = kind.into_iter().chain(since).collect();
    match query.is_empty() {
        true => "/v1/watch".to_owned(),
        false => format!("/v1/watch?{}", query.join("&")),
    }
}

/// Prints changes until the body ends or the connection is lost.
async fn follow(
    body: &mut http::Reader,
    since: &mut Option<u64>,
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let mut buffer = Vec::new();
    while let Ok(Some(chunk)) = body.next().await {
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
            let line: Vec<_> = buffer.drain(..=end).collect();
            if line.trim_ascii().is_empty() {
                // The server sends empty lines to keep an idle connection open.
                continue;
            }
            let change: response::Change = serde_json::from_slice(&line)?;
            *since = Some(change.revision);
            write_change(&change, output, out)?;
        }
        if buffer.len() > MAX_LINE_BYTES {
            return Err(super::Error::InvalidResponse(format!(
                "a line of more than {MAX_LINE_BYTES} bytes"
            )));
        }
    }
    Ok(())
}

fn write_change(
    change: &response::Change,
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    if output == super::Output::Json {
        return text::json(out, change);
    }
    let action = if change.resource.is_some() {
        "written"
    } else {
        "deleted"
    };
    writeln!(
        out,
        "revision {}: {}/{} {action}",
        change.revision, change.kind, change.name
    )?;
    if let Some(resource) = &change.resource {
        writeln!(out, "{}", text::table(&change.name, resource)?)?;
    }
    out.flush()?;
    Ok(())
}
