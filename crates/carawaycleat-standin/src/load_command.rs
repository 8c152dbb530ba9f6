//! The sub-command `load`.

use std::future;
use std::io;
use std::io::Write as _;
use std::path;
use std::process;
use std::sync;
use std::thread;

use carawaycleat_net as http;
use carawaycleat_standin::load;

use crate::command;

const BAD_FILE: u8 = 2;

/// Runs a load to its end and writes the report.
pub(crate) fn run(
    executor: &sync::Arc<http::Executor>,
    options: command::Load,
) -> process::ExitCode {
    let mut plan = match load::Plan::read(&options.file) {
        Ok(plan) => plan,
        Err(problem) => {
            eprintln!("{problem}");
            return process::ExitCode::from(BAD_FILE);
        }
    };
    if !options.entries.is_empty() {
        plan.entries.clone_from(&options.entries);
    }
    for _ in 1..options.threads {
        let executor = executor.clone();
        // The threads end with the process.
        thread::spawn(move || {
            futures_lite::future::block_on(executor.run(future::pending::<()>()))
        });
    }
    let run = load::run(executor, &plan, |line| eprintln!("{line}"));
    let written = match futures_lite::future::block_on(executor.run(run)) {
        Ok(report) => write(&report, &options),
        Err(load::Error::NoEntry) => {
            eprintln!("{}: {}", options.file.display(), load::Error::NoEntry);
            return process::ExitCode::from(BAD_FILE);
        }
        Err(error) => Err(error.to_string()),
    };
    match written {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carawaycleat-standin: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn write(report: &load::Report, options: &command::Load) -> Result<(), String> {
    let json = serde_json::to_string_pretty(report).map_err(|error| error.to_string())?;
    let mut out = io::stdout();
    match options.output {
        command::Output::Table => write!(out, "{report}"),
        command::Output::Json => writeln!(out, "{json}"),
    }
    .map_err(|error| error.to_string())?;
    if let Some(file) = &options.json {
        std::fs::write(file, &json).map_err(|error| unwritable(file, &error))?;
    }
    if let Some(file) = &options.plot {
        load::plot(report, file).map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn unwritable(file: &path::Path, error: &io::Error) -> String {
    format!("{} could not be written: {error}", file.display())
}
