use std::io;
use std::path;

use carawaycleat_net as http;

use super::client;
use super::get;
use super::response;
use super::text;
use crate::manifest;

/// The operation that brings a resource to the state in its manifest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Create,
    /// Holds the current revision.
    Update(u64),
    /// Nothing to write; holds the current revision.
    Skip(u64),
}

impl Step {
    const fn result(self) -> &'static str {
        match self {
            Self::Create => "created",
            Self::Update(_) => "updated",
            Self::Skip(_) => "unchanged",
        }
    }
}

/// Creates or updates the resources of manifests.
///
/// Each write is conditional on the revision that was read before it, so that a concurrent change by another operator
/// is reported as a conflict and not overwritten. The command stops at the first failure, because later resources may
/// refer to the one that failed.
pub(super) async fn run(
    client: &client::Client,
    files: &[path::PathBuf],
    if_match: Option<u64>,
    dry_run: bool,
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let items = manifest::load(files)?;
    if if_match.is_some() && items.len() != 1 {
        let text = format!(
            "--if-match needs exactly one resource, the files have {}",
            items.len()
        );
        return Err(super::Error::Usage(text));
    }
    for (index, item) in items.iter().enumerate() {
        let result = apply_one(client, item, if_match, dry_run, output, out).await;
        if result.is_err() {
            eprintln!(
                "{}: line {}: {} failed",
                item.file.display(),
                item.line,
                item.id
            );
            eprintln!(
                "{index} of {} resources were processed before it, the remaining ones were skipped",
                items.len()
            );
        }
        result?;
    }
    Ok(())
}

async fn apply_one(
    client: &client::Client,
    item: &manifest::Item,
    if_match: Option<u64>,
    dry_run: bool,
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let step = plan(client, item, if_match).await?;
    if let Step::Skip(revision) = step {
        return report(
            out,
            output,
            item,
            step,
            &format!("revision {revision}"),
            Some(revision),
        );
    }
    if dry_run {
        return report(out, output, item, step, "dry run, not written", None);
    }
    let response = client.call(request(item, step)?).await?;
    let written: response::Written = serde_json::from_slice(&response.body)?;
    let detail = text::progress(response.status, &written);
    report(out, output, item, step, &detail, Some(written.revision))
}

async fn plan(
    client: &client::Client,
    item: &manifest::Item,
    if_match: Option<u64>,
) -> super::Result<Step> {
    match get::fetch(client, item.id.kind, &item.id.name).await {
        Ok(found) if if_match.is_some_and(|expected| expected != found.revision) => Err(
            super::Error::Conflict(format!("{} has changed", item.id), found.revision),
        ),
        Ok(found) if found.resource == item.resource => Ok(Step::Skip(found.revision)),
        Ok(found) => Ok(Step::Update(found.revision)),
        Err(super::Error::Refused(404, _)) if if_match.is_some() => Err(super::Error::Conflict(
            format!("{} does not exist", item.id),
            0,
        )),
        Err(super::Error::Refused(404, _)) => Ok(Step::Create),
        Err(error) => Err(error),
    }
}

fn request(item: &manifest::Item, step: Step) -> super::Result<http::Request> {
    let body = serde_json::to_vec(&item.resource)?;
    let path = format!("/v1/resources/{}/{}", item.id.kind, item.id.name);
    let request = http::Request::new("PUT", path)
        .header("content-type", "application/json")
        .body(body);
    Ok(match step {
        Step::Create => request.header("if-none-match", "*"),
        Step::Update(revision) | Step::Skip(revision) => {
            request.header("if-match", format!("\"{revision}\""))
        }
    })
}

fn report(
    out: &mut dyn io::Write,
    output: super::Output,
    item: &manifest::Item,
    step: Step,
    detail: &str,
    revision: Option<u64>,
) -> super::Result<()> {
    if output == super::Output::Json {
        let (kind, name) = (item.id.kind, &item.id.name);
        let value = serde_json::json!({
            "kind": kind, "name": name, "result": step.result(), "revision": revision, "detail": detail,
        });
        return text::json(out, &value);
    }
    writeln!(out, "{} {} ({detail})", item.id, step.result())?;
    Ok(())
}
