//! The stand-ins as a program.

use std::future;
use std::io::Write as _;
use std::net;
use std::process;
use std::sync;

use carawaycleat_net as http;
use carawaycleat_standin as standin;

mod command;
mod load_command;

fn main() -> process::ExitCode {
    let executor = sync::Arc::new(http::Executor::new());
    let server = match command::parser().run() {
        command::Command::Serve(server) => server,
        command::Command::Load(load) => return load_command::run(&executor, load),
        command::Command::Demo(options) => return demonstrate(executor, options),
    };
    let started = server
        .start(&executor)
        .and_then(|address| announce(address).map_err(http::Error::from));
    if let Err(error) = started {
        eprintln!("carawaycleat-standin: {error}");
        return process::ExitCode::FAILURE;
    }
    futures_lite::future::block_on(executor.run(future::pending()))
}

fn demonstrate(
    executor: sync::Arc<http::Executor>,
    options: standin::demo::Options,
) -> process::ExitCode {
    let mut out = std::io::stdout();
    let interrupted = future::pending();
    let run = standin::demo::run(executor.clone(), options, &mut out, interrupted);
    match async_io::block_on(executor.run(run)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carawaycleat-standin: {error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Prints the address, for which a starting script waits.
fn announce(address: net::SocketAddr) -> std::io::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "listening on {address}")?;
    out.flush()
}

impl command::Server {
    fn start(self, executor: &sync::Arc<http::Executor>) -> http::Result<net::SocketAddr> {
        Ok(match self {
            Self::Store(options) => standin::Store::start(executor, options)?.local_address(),
            Self::Engine(options) => standin::Engine::start(executor, options)?.local_address(),
            Self::Service(options) => standin::Service::start(executor, options)?.local_address(),
            Self::Weights(options) => standin::Weights::start(executor, options)?.local_address(),
            Self::Hosts(options) => standin::Hosts::start(executor, options)?.local_address(),
        })
    }
}
