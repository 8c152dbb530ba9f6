use std::io;

use carawaycleat_core::name;
use carawaycleat_core::resource;
use carawaycleat_net as http;

use super::client;
use super::response;
use super::text;

/// Prints one resource or all of a kind.
pub(super) async fn run(
    client: &client::Client,
    kind: resource::Kind,
    name: Option<&name::Name>,
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let Some(name) = name else {
        let response = client
            .call(http::Request::new("GET", format!("/v1/resources/{kind}")))
            .await?;
        let listing: response::Listing = serde_json::from_slice(&response.body)?;
        return match output {
            super::Output::Json => text::json(out, &listing),
            super::Output::Text => {
                writeln!(
                    out,
                    "# {} resources at revision {}",
                    listing.items.len(),
                    listing.revision
                )?;
                listing.items.iter().try_for_each(|item| write(out, item))
            }
        };
    };
    let item = fetch(client, kind, name).await?;
    match output {
        super::Output::Json => text::json(out, &item),
        super::Output::Text => write(out, &item),
    }
}

/// Fetches the resource `name`.
pub(super) async fn fetch(
    client: &client::Client,
    kind: resource::Kind,
    name: &name::Name,
) -> super::Result<response::Item> {
    let request = http::Request::new("GET", format!("/v1/resources/{kind}/{name}"));
    Ok(serde_json::from_slice(&client.call(request).await?.body)?)
}

fn write(out: &mut dyn io::Write, item: &response::Item) -> super::Result<()> {
    let table = text::table(&item.name, &item.resource)?;
    writeln!(out, "# revision {}\n{table}", item.revision)?;
    Ok(())
}
