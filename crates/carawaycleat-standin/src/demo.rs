//! The demonstration: the whole path on loopback in one process.

mod check;
mod error;

pub use error::Error;
pub use error::Result;

use std::io;
use std::sync;

use carawaycleat_net as http;

use crate::setup;

/// The options of the demonstration.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Whether to end after one round of requests.
    pub once: bool,
}

/// Starts the whole path, sends one round of requests through it and prints the answers. Without `once` it then stays
/// until `interrupted` ends.
///
/// # Errors
///
/// Returns an error when something cannot start, when an answer is not whole and right, when a revoked key is
/// accepted, or when the output cannot be written.
pub async fn run(
    executor: sync::Arc<http::Executor>,
    options: Options,
    out: &mut impl io::Write,
    interrupted: impl Future<Output = ()>,
) -> Result<()> {
    let setup = setup::Setup::start(&executor, setup::Plan::default()).await?;
    writeln!(out, "Waiting until the models are loaded ...")?;
    setup.wait_for_models().await?;
    check::round(&setup, out).await?;
    if !options.once {
        let address = setup.entries[0].addresses();
        writeln!(out, "\nTry it:\n")?;
        writeln!(
            out,
            "  curl -N http://{}/v1/chat/completions \\",
            address.callers
        )?;
        writeln!(out, "    -H 'Authorization: Bearer {}' \\", setup.secret(0))?;
        writeln!(
            out,
            "    -d '{{\"model\":\"model-1\",\"stream\":true,\"max_tokens\":16,\
             \"messages\":[{{\"role\":\"user\",\"content\":\"Plan the round\"}}]}}'\n"
        )?;
        writeln!(
            out,
            "  carawaycleat --server {} status\n",
            address.operators
        )?;
        writeln!(out, "Ctrl-C ends the demonstration.")?;
        interrupted.await;
    }
    match setup.stop().await {
        0 => Ok(()),
        cut => Err(Error::Wrong(format!("{cut} requests were cut at the end"))),
    }
}
