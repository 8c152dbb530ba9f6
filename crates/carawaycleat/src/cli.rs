//! The `carawaycleat` command-line interface for operators.

mod apply;
mod check;
mod client;
mod cuts;
mod delete;
mod error;
mod explain;
mod get;
mod options;
mod response;
mod status;
mod text;
mod timeline;
mod watch;

use std::io;

pub use error::Error;
pub use error::Result;
pub use options::Command;
pub use options::Common;
pub use options::Options;
pub use options::Output;

/// The exit code of success.
pub const EXIT_OK: u8 = 0;
/// The exit code when the server refused the request, its response was invalid, the output could not be written, or a log
/// has responses that were cut before their time limit.
pub const EXIT_FAILED: u8 = 1;
/// The exit code for invalid arguments or an invalid file.
pub const EXIT_USAGE: u8 = 2;
/// The exit code when the resource has changed, exists, or is in use.
pub const EXIT_CONFLICT: u8 = 3;
/// The exit code when a server cannot be reached or does not respond, or a log lacks lines.
pub const EXIT_UNREACHABLE: u8 = 4;

/// Parses the command line, runs the command and returns the exit code.
pub fn main() -> u8 {
    match options::parser().run_inner(bpaf::Args::current_args()) {
        Ok(options) => report(run(&options, &mut io::stdout().lock())),
        Err(failure) => {
            failure.print_message(options::WIDTH);
            if failure.exit_code() == 0 {
                EXIT_OK
            } else {
                EXIT_USAGE
            }
        }
    }
}

/// Runs a command and writes its output to `out`.
///
/// # Errors
///
/// Returns an error whose [`Error::code`] is the exit code.
pub fn run(options: &Options, out: &mut dyn io::Write) -> Result<()> {
    let client = client::Client::new(&options.common.servers);
    let output = options.common.output;
    futures_lite::future::block_on(async {
        match &options.command {
            Command::Check { files } => check::run(files, output, out),
            Command::Apply {
                files,
                if_match,
                dry_run,
            } => apply::run(&client, files, *if_match, *dry_run, output, out).await,
            Command::Get { kind, name } => {
                get::run(&client, *kind, name.as_ref(), output, out).await
            }
            Command::Delete {
                kind,
                name,
                if_match,
            } => delete::run(&client, *kind, name, *if_match, output, out).await,
            Command::Watch { kind } => watch::run(&client, *kind, output, out).await,
            Command::Cuts { files } => cuts::run(files, output, out),
            Command::Explain { id, files } => explain::run(id, files, output, out),
            Command::Status => status::run(&client, output, out).await,
            Command::Timeline { local, filter } => {
                timeline::run(&client, filter, *local, output, out).await
            }
        }
    })
}

fn report(result: Result<()>) -> u8 {
    match result {
        Ok(()) => EXIT_OK,
        // The reader of a pipe, such as `head`, has exited, which is no failure of the command.
        Err(Error::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => EXIT_OK,
        Err(error) => {
            eprintln!("{error}");
            error.code()
        }
    }
}
