use std::io;

use carawaycleat_net as http;

use super::client;
use super::text;

/// Prints the status of each entry host.
pub(super) async fn run(
    client: &client::Client,
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let request = http::Request::new("GET", "/v1/status");
    let (responses, failed) = client.call_all(&request).await?;
    for response in responses {
        let server = response.server;
        let status: serde_json::Value = serde_json::from_slice(&response.body)?;
        if output == super::Output::Json {
            text::json(
                out,
                &serde_json::json!({ "server": server, "status": status }),
            )?;
        } else {
            writeln!(out, "server {server}")?;
            write_status(out, &status)?;
        }
    }
    if failed.is_empty() {
        Ok(())
    } else {
        Err(super::Error::Partial(failed))
    }
}

/// Writes one line per field, and one line per element of an array field.
fn write_status(out: &mut dyn io::Write, status: &serde_json::Value) -> super::Result<()> {
    for (key, value) in status.as_object().into_iter().flatten() {
        match value {
            serde_json::Value::Array(items) => {
                writeln!(out, "  {key}: {}", items.len())?;
                for item in items {
                    writeln!(out, "    {}", format_inline(item))?;
                }
            }
            other => writeln!(out, "  {key}: {}", format_inline(other))?,
        }
    }
    Ok(())
}

fn format_inline(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Object(fields) => {
            let fields: Vec<_> = fields
                .iter()
                .map(|(key, value)| format!("{key}={}", format_inline(value)))
                .collect();
            fields.join(" ")
        }
        serde_json::Value::Array(items) => {
            let items: Vec<_> = items.iter().map(format_inline).collect();
            format!("[{}]", items.join(", "))
        }
        serde_json::Value::String(text) => text.escape_debug().to_string(),
        other => other.to_string(),
    }
}
