use std::io;
use std::path;

use super::text;
use crate::manifest;

/// Validates manifests without a server, and notes references to resources that they do not define.
pub(super) fn run(
    files: &[path::PathBuf],
    output: super::Output,
    out: &mut dyn io::Write,
) -> super::Result<()> {
    let loaded = manifest::load(files);
    if output == super::Output::Json {
        let empty = Vec::new();
        let problems = match &loaded {
            Ok(_) => &empty,
            Err(manifest::Error::Invalid(problems)) => problems,
        };
        text::json(out, &serde_json::json!({ "problems": problems }))?;
    }
    let items = loaded?;
    for (item, id) in manifest::undefined_references(&items) {
        let (file, line) = (item.file.display(), item.line);
        eprintln!(
            "note: {file}: line {line}: {} names {id}, which must exist on the server",
            item.id
        );
    }
    if output == super::Output::Text {
        writeln!(
            out,
            "{} resources in {} files are valid",
            items.len(),
            files.len()
        )?;
    }
    Ok(())
}
