use std::io;

use carawaycleat_core::name;
use carawaycleat_core::resource;
use carawaycleat_net as http;

use super::client;
use super::response;
use super::text;

/// Deletes a resource.
pub(super) async fn run(
    client: &client::Client,
    kind: resource::Kind,
    name: &name::Name,
    if_match: Option<u64>,
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let mut request = http::Request::new("DELETE", format!("/v1/resources/{kind}/{name}"));
    if let Some(revision) = if_match {
        request = request.header("if-match", format!("\"{revision}\""));
    }
    let response = client.call(request).await?;
    let written: response::Written = serde_json::from_slice(&response.body)?;
    match output {
        super::Output::Json => text::json(out, &written),
        super::Output::Text => {
            let detail = text::progress(response.status, &written);
            writeln!(out, "{kind}/{name} deleted ({detail})")?;
            Ok(())
        }
    }
}
