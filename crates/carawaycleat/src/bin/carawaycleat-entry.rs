//! Entry host of the carawaycleat serving system.

use std::process;

fn main() -> process::ExitCode {
    carawaycleat::process::entry()
}
