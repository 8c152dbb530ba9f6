//! Runs the cases of the second review: `cases CASE REPOSITORY FOLDER`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment, a case does the same without the disruption.

mod engine;
mod freeze;
mod host;
mod http;
mod json;
mod link;
mod model;
mod random;
mod record;
mod roll;
mod store;
mod take_up;
mod versions;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// What a case needs.
pub struct Setup {
    pub repository: PathBuf,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub record: record::Record,
    pub has_trouble: bool,
    /// The present time in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, repository, folder] = &arguments[..] else {
        eprintln!("usage: cases CASE REPOSITORY FOLDER");
        return 2.into();
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    random::seed(now.as_nanos() as u64);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("carawaycleat-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let setup = Setup {
        repository: repository.into(),
        folder: temporary.clone(),
        record: record::Record::create(&format!("{folder}/record.txt")),
        has_trouble,
        now_ms: now.as_millis() as u64,
    };
    let run = || match case.as_str() {
        "freeze" => freeze::run(&setup),
        "model" => model::run(&setup),
        "roll" => roll::run(&setup),
        "take-up" => take_up::run(&setup),
        "versions" => versions::run(&setup),
        _ => 2,
    };
    // The processes of the case end with it, also when it fails.
    let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).unwrap_or(2);
    setup.record.line(&format!("exit code {code}"));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    code.into()
}
