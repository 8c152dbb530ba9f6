//! Command line for operators of the carawaycleat serving system.

use std::process;

fn main() -> process::ExitCode {
    carawaycleat::cli::main().into()
}
