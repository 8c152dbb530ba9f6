//! Stand-ins of the platform for the scripts of the third review: the store, engines and clients.
//!
//! `standin-3 CASE FOLDER` plays a case whose record goes into FOLDER. It exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run.

mod endless;
mod engine;
mod host;
mod http;
mod json;
mod record;
mod shares;
mod store;
mod versions;

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::process::ExitCode;

/// The result of a case.
pub type Result = std::result::Result<Verdict, Box<dyn std::error::Error>>;

/// Whether the rule held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Calls `play` with a temporary folder, which is removed afterwards.
pub fn in_temporary_folder(play: impl FnOnce(&Path) -> Result) -> Result {
    let folder = env::temp_dir().join(format!("review-3-{}", process::id()));
    fs::create_dir_all(&folder)?;
    let result = play(&folder);
    fs::remove_dir_all(&folder)?;
    result
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let is_disturbed = env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "endless" => endless::run(&folder, is_disturbed),
        "shares" => shares::run(&folder, is_disturbed, &shares::ALLOWANCE),
        "slots" => shares::run(&folder, is_disturbed, &shares::SLOTS_IN_USE),
        "versions" => versions::run(&folder, is_disturbed),
        other => Err(format!("unknown case {other:?}").into()),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
