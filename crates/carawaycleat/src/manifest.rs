//! Files of resources that operators write.
//!
//! A manifest is a TOML file with any number of `[[model]]`, `[[adapter]]`, `[[version]]`, `[[workspace]]`, `[[key]]`,
//! `[[rate]]`, `[[route]]` and `[[upstream]]` tables. Each has a `name` and the fields of the kind. A `[[key]]` may have
//! `secret_file` in place of `digest`.

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
    /// An error of reading manifests.
    #[derive(Debug)]
    pub enum Error {
        /// The files have problems.
        Invalid(problems: Vec<Problem>) {
            display("{}", format_problems(problems))
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The kinds in an order in which the resources that others name come first.
///
/// A model names the version that it serves and a version names its model. The version comes first, since a model
/// cannot be served without it.
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

/// Reads manifests and returns their resources in an order in which references exist.
///
/// # Errors
///
/// Returns all problems of all files: what cannot be read, what is not allowed, and what is defined twice.
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

/// Parses one manifest; paths of secrets are relative to the directory of `path`.
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
    let mut first = collections::HashMap::new();
    let mut problems = Vec::new();
    for item in items {
        match first.get(&item.id) {
            None => {
                first.insert(&item.id, item);
            }
            Some(other) => problems.push(Problem::duplicate(item, other)),
        }
    }
    problems
}

/// Returns what the resources name and the manifests do not define.
///
/// This is no error, because it may exist on the server.
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
