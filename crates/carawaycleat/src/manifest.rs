//! Manifests: files in which operators define resources.
//!
//! A manifest is a TOML file with any number of `[[model]]`, `[[adapter]]`, `[[version]]`, `[[workspace]]`, `[[key]]`,
//! `[[rate]]`, `[[route]]` and `[[upstream]]` tables. Each has a `name` and the fields of its kind. In place of
//! `digest`, a `[[key]]` may have `secret_file`, the path of a file that contains the secret.

mod item;
mod problem;
mod read;
mod secret;

use std::collections;
use std::fs;
use std::path;

use carawaycleat_core::resource;

pub use item::Item;
pub use problem::Problem;

quick_error! {
    /// An error that occurs while reading manifests.
    #[derive(Debug)]
    pub enum Error {
        /// The files are unreadable, invalid or define a resource twice.
        Invalid(problems: Vec<Problem>) {
            display("{}", format_problems(problems))
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The order in which resources are written, so that a resource comes after those it references.
///
/// A model and its version reference each other. The version comes first, because a model cannot be served without
/// it.
const APPLY_ORDER: [resource::Kind; 8] = [
    resource::Kind::Workspace,
    resource::Kind::Key,
    resource::Kind::Rate,
    resource::Kind::Version,
    resource::Kind::Model,
    resource::Kind::Adapter,
    resource::Kind::Upstream,
    resource::Kind::Route,
];

/// Reads manifests and returns their resources, each after those it references, except that a version precedes its
/// model.
///
/// # Errors
///
/// Returns all problems of all files: unreadable files, invalid values and duplicate definitions.
pub fn load(paths: &[path::PathBuf]) -> Result<Vec<Item>> {
    let mut items = Vec::new();
    let mut problems = Vec::new();
    for path in paths {
        match load_file(path) {
            Ok(found) => items.extend(found),
            Err(found) => problems.extend(found),
        }
    }
    problems.extend(duplicates(&items));
    if !problems.is_empty() {
        return Err(Error::Invalid(problems));
    }
    items.sort_by_key(|item| APPLY_ORDER.iter().position(|&kind| kind == item.id.kind));
    Ok(items)
}

/// Parses the text of one manifest. `path` names the file in problems, and paths of secret files are relative to its
/// directory.
///
/// # Errors
///
/// Returns all problems of the text.
pub fn parse(path: &path::Path, text: &str) -> std::result::Result<Vec<Item>, Vec<Problem>> {
    crate::document::read(text, |table| read::items(table, path)).map_err(|problems| {
        problems
            .into_iter()
            .map(|problem| Problem::new(path, problem))
            .collect()
    })
}

fn load_file(path: &path::Path) -> std::result::Result<Vec<Item>, Vec<Problem>> {
    let text = fs::read_to_string(path).map_err(|error| vec![Problem::unreadable(path, &error)])?;
    parse(path, &text)
}

fn duplicates(items: &[Item]) -> Vec<Problem> {
    let mut first_definitions = collections::HashMap::new();
    let mut problems = Vec::new();
    for item in items {
        match first_definitions.get(&item.id) {
            None => {
                first_definitions.insert(&item.id, item);
            }
            Some(first) => problems.push(Problem::duplicate(item, first)),
        }
    }
    problems
}

/// Returns the references to resources that `items` does not define, each with the resource that contains it.
///
/// Such a reference is not an error, because the resource may already exist on the server.
pub fn undefined_references(items: &[Item]) -> Vec<(&Item, resource::Id)> {
    let defined: collections::HashSet<_> = items.iter().map(|item| &item.id).collect();
    items
        .iter()
        .flat_map(|item| item.references().into_iter().map(move |id| (item, id)))
        .filter(|(_, id)| !defined.contains(id))
        .collect()
}

fn format_problems(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
